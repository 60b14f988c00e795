package org.radishspan.routing;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/** A strategy that chooses the target of a request among candidates. */
@FunctionalInterface
public interface TargetChooser {

    /** Returns one of the candidates, or empty if there are none. */
    Optional<Target> choose(List<Target> candidates, String failureDomain);

    /**
     * Returns a chooser that draws two random candidates and takes the one with the lower expected load. If the loads
     * are equal, it takes the first one drawn if that is in the router's failure domain, else the second.
     */
    static TargetChooser twoChoices(UniformRandomProvider random) {
        return (candidates, failureDomain) -> {
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            Target first = candidates.get(random.nextInt(candidates.size()));
            Target second = candidates.get(random.nextInt(candidates.size()));
            return Optional.of(better(first, second, failureDomain));
        };
    }

    private static Target better(Target first, Target second, String failureDomain) {
        if (first.expectedLoad() != second.expectedLoad()) {
            return first.expectedLoad() < second.expectedLoad() ? first : second;
        }
        return first.failureDomain().equals(failureDomain) ? first : second;
    }
}
