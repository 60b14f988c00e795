package org.radishspan.routing;

import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;

/** Chooses the target of a request. */
@FunctionalInterface
public interface TargetChooser {

    /** Returns one of the candidates; empty if there are none. */
    Optional<Target> choose(List<Target> candidates, String failureDomain);

    /** Draws two candidates and takes the one with the lower expected load, the nearer one when equal. */
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
