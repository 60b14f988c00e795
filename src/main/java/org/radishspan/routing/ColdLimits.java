package org.radishspan.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The limits of cold targets: the requests a second that a target accepts from all routers together for some time after its
 * start.
 *
 * <p>The cold time comes from the target's entry and the rate from the configuration, in any order. The rate is divided among
 * the routers like a limit that a target reports, and applies in addition to such a limit.
 */
final class ColdLimits {
    /**
     * Interval at which each router that has a share of the limit prefers the cold target for one request. Few routers have a
     * share, and by their estimates alone they would hardly ever choose a target that has no part of a prompt cached. At one
     * request in two seconds, routers with the minimum share use half of the limit for this.
     */
    private static final long WARM_UP_MILLIS = 2_000;

    private final LimitDivision limitDivision;
    private Map<String, Double> requestsPerSecond = Map.of();

    ColdLimits(LimitDivision limitDivision) {
        this.limitDivision = limitDivision;
    }

    /** Replaces the rates that cold targets accept, by service; a rate of 0 means no limit. */
    void replaceRates(Map<String, Double> rates) {
        requestsPerSecond = new HashMap<>(rates);
    }

    /** Sets how long a target stays cold; 0 if it is not cold any more. */
    void setColdTime(Target target, long coldMillis, long nowMillis) {
        target.signals.coldUntilMillis = nowMillis + coldMillis;
        // Creates the limit now, so that its bucket begins to fill.
        limitOf(target, nowMillis);
    }

    private double rateOf(Target target) {
        return target.serves.stream()
                .mapToDouble(service -> requestsPerSecond.getOrDefault(service, 0.0))
                .filter(rate -> rate > 0)
                .min()
                .orElse(0);
    }

    /** Returns the limit in force; null if the target is not cold or its service has no rate for cold targets. */
    private @Nullable RateLimit limitOf(Target target, long nowMillis) {
        TargetSignals.Signals signals = target.signals;
        if (nowMillis >= signals.coldUntilMillis) {
            signals.coldLimit = null;
            return null;
        }
        double rate = rateOf(target);
        if (rate <= 0) {
            signals.coldLimit = null;
            return null;
        }
        RateLimit limit = signals.coldLimit;
        if (limit == null) {
            limit = RateLimit.ofColdTarget(target.nameHash, limitDivision, rate, nowMillis);
            signals.coldLimit = limit;
        } else if (limit.requestsPerSecond() != rate) {
            limit.onReported(rate, nowMillis);
        }
        return limit;
    }

    /** Returns whether a target is limited because it is cold. */
    boolean inForce(Target target, long nowMillis) {
        return limitOf(target, nowMillis) != null;
    }

    /** Returns whether this router may send a request to a target now, as far as the cold limit is concerned. */
    boolean allows(Target target, long nowMillis) {
        RateLimit limit = limitOf(target, nowMillis);
        return limit == null || limit.allows(nowMillis);
    }

    /** Returns the time until this router may send a request to a target; at most until the cold time ends. */
    long waitMillis(Target target, long nowMillis) {
        RateLimit limit = limitOf(target, nowMillis);
        return limit == null ? 0 : Math.min(limit.waitMillis(nowMillis), target.signals.coldUntilMillis - nowMillis);
    }

    /** Takes the token of a request that was sent to a target. */
    void onSent(Target target, long nowMillis) {
        RateLimit limit = limitOf(target, nowMillis);
        if (limit != null) {
            limit.onSent(nowMillis);
            target.signals.warmedAtMillis = nowMillis;
        }
    }

    /**
     * Returns only the cold target that this router has not sent a request to for longest, if that is due; otherwise all
     * candidates.
     */
    List<Target> preferWarmUp(List<Target> candidates, long nowMillis) {
        Target due = null;
        for (Target candidate : candidates) {
            boolean isDue =
                    nowMillis - candidate.signals.warmedAtMillis >= WARM_UP_MILLIS && inForce(candidate, nowMillis);
            if (isDue && (due == null || candidate.signals.warmedAtMillis < due.signals.warmedAtMillis)) {
                due = candidate;
            }
        }
        return due == null ? candidates : List.of(due);
    }
}
