package org.radishspan.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What incarnations of targets have asked of routers in their answers.
 *
 * <p>Kept apart from the rows of the {@link TargetTable}, as a row goes and comes back with each lapse of the target's entry,
 * while what an incarnation has asked for holds until it takes it back.
 */
final class TargetSignals {
    /** Incarnations remembered: more than a day's releases of the largest deployment. */
    private static final int MAX_INCARNATIONS = 50_000;

    private record Incarnation(String name, long startedAtUnixMillis) {}

    /** What one incarnation has asked for; shared with the target's row while there is one. */
    static final class Signals {
        boolean saidLeaving;
        boolean heardLeaving;
        long pausedUntilMillis = Long.MIN_VALUE / 2;

        @Nullable
        RateLimit rateLimit;
    }

    private final Map<Incarnation, Signals> rows = new LinkedHashMap<>();

    /** Returns what an incarnation has asked for so far; a row that is not kept if that is nothing. */
    Signals of(String name, long startedAtUnixMillis) {
        Signals known = rows.get(new Incarnation(name, startedAtUnixMillis));
        return known == null ? new Signals() : known;
    }

    /** Keeps what an incarnation asks for beyond the life of the target's row. */
    void keep(String name, long startedAtUnixMillis, Signals signals) {
        rows.putIfAbsent(new Incarnation(name, startedAtUnixMillis), signals);
        if (rows.size() > MAX_INCARNATIONS) {
            Iterator<Incarnation> oldest = rows.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Forgets limits of which nothing was heard for long; returns the names of their targets. */
    List<String> forgetLapsedRateLimits(long nowMillis) {
        List<String> names = new ArrayList<>();
        rows.forEach((incarnation, signals) -> {
            if (signals.rateLimit != null && signals.rateLimit.lapsed(nowMillis)) {
                signals.rateLimit = null;
                names.add(incarnation.name());
            }
        });
        return names;
    }
}
