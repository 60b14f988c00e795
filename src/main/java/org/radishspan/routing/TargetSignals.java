package org.radishspan.routing;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The signals that incarnations of targets sent to routers in their answers: that they are leaving, that they request a
 * pause, or that they limit the rate of requests.
 *
 * <p>Signals are kept apart from the rows of the {@link TargetTable}, because a row is removed and created again each
 * time the target's entry in the store expires, while a signal stays in force until it expires or the incarnation
 * withdraws it.
 */
final class TargetSignals {
    /** Maximum number of incarnations kept: more than a day's releases of the largest deployment. */
    private static final int MAX_INCARNATIONS = 50_000;

    private record Incarnation(String name, long startedAtUnixMillis) {}

    /** The signals of one incarnation. While the target has a row, the row refers to the same object. */
    static final class Signals {
        boolean leavingReported;
        boolean leavingReportedByPeer;
        long pausedUntilMillis = Long.MIN_VALUE / 2;

        @Nullable
        RateLimit rateLimit;

        /** When the cold time ends, which the target's entry states. */
        long coldUntilMillis = Long.MIN_VALUE / 2;

        /** Set while the target is cold and the rate of its service is known. */
        @Nullable
        RateLimit coldLimit;

        /** When this router last sent a request to the cold target. */
        long warmedAtMillis = Long.MIN_VALUE / 2;
    }

    private final Map<Incarnation, Signals> rows = new LinkedHashMap<>();

    /** Returns the signals of an incarnation. If it has sent none, returns a new object that is not kept. */
    Signals of(String name, long startedAtUnixMillis) {
        Signals existing = rows.get(new Incarnation(name, startedAtUnixMillis));
        return existing == null ? new Signals() : existing;
    }

    /**
     * Keeps the signals of an incarnation even when its row is removed. Drops the oldest incarnation if there are too
     * many.
     */
    void keep(String name, long startedAtUnixMillis, Signals signals) {
        rows.putIfAbsent(new Incarnation(name, startedAtUnixMillis), signals);
        if (rows.size() > MAX_INCARNATIONS) {
            Iterator<Incarnation> oldest = rows.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Removes limits that have not been reported for so long that they expired; returns the names of their targets. */
    List<String> removeExpiredRateLimits(long nowMillis) {
        List<String> names = new ArrayList<>();
        rows.forEach((incarnation, signals) -> {
            if (signals.rateLimit != null && signals.rateLimit.expired(nowMillis)) {
                signals.rateLimit = null;
                names.add(incarnation.name());
            }
        });
        return names;
    }
}
