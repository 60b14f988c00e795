package org.radishspan.bench;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Placement.PromptShape;
import org.radishspan.routing.Target;

/** Chooses the target of a prompt in the routing benchmark. */
@FunctionalInterface
interface RoutingPolicy {
    /** Returns one of the targets. */
    Target choose(List<Target> targets, PromptShape prompt, long nowMillis);

    /** Any target. */
    static RoutingPolicy random(UniformRandomProvider random) {
        return (targets, prompt, nowMillis) -> targets.get(random.nextInt(targets.size()));
    }

    /** The target with the fewest requests, by this router's own and the load that came with answers. */
    static RoutingPolicy leastLoaded(UniformRandomProvider random) {
        return (targets, prompt, nowMillis) -> {
            int offset = random.nextInt(targets.size());
            Target best = targets.get(offset);
            for (int i = 1; i < targets.size(); i++) {
                Target candidate = targets.get((offset + i) % targets.size());
                if (load(candidate) < load(best)) {
                    best = candidate;
                }
            }
            return best;
        };
    }

    private static int load(Target target) {
        return Math.max(target.inFlight(), target.expectedLoad());
    }

    /** The target that ranks first for the prompt's shared part, however much it has to do. */
    static RoutingPolicy prefixOnly() {
        return (targets, prompt, nowMillis) -> Placement.home(targets, prompt).orElseThrow();
    }

    /** The router's own placement. */
    static RoutingPolicy placement(UniformRandomProvider random) {
        Placement placement = new Placement(random);
        return (targets, prompt, nowMillis) ->
                placement.choose(targets, prompt, nowMillis).orElseThrow().target();
    }
}
