package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspan.error.Failure;
import org.radishspan.request.StrikeTable;
import org.radishspan.routing.Target;

/**
 * Finds the requests that crash targets.
 *
 * <p>A lost connection alone does not tell: answers are also lost, and connections also reset, by targets that live on. A
 * request whose connection was lost is blamed once its target is known to have ended, because it takes no connections or
 * has started anew.
 */
final class CrashWatch {
    /** A crashed target is known to have ended after some failed connections, or when it has started again. */
    private static final long CONFIRM_MILLIS = 10_000;

    private static final int MAX_SUSPICIONS = 4_096;

    private record Suspicion(String fingerprint, long atMillis) {}

    private final StrikeTable strikes;
    private final Map<String, List<Suspicion>> byTarget = new HashMap<>();
    private int suspicions;

    CrashWatch(StrikeTable strikes) {
        this.strikes = strikes;
    }

    private static String incarnation(Target target) {
        return target.name() + "@" + target.startedAtUnixMillis();
    }

    /** Notes that the connection of a request to a target was lost. */
    void onConnectionLost(Target target, String fingerprint, long nowMillis) {
        forgetOld(nowMillis);
        if (suspicions < MAX_SUSPICIONS) {
            suspicions++;
            byTarget.computeIfAbsent(incarnation(target), ignored -> new ArrayList<>())
                    .add(new Suspicion(fingerprint, nowMillis));
        }
    }

    /** Notes that a target takes no connections, or that another incarnation has taken its place. */
    void onTargetEnded(Target target, long nowMillis) {
        forgetOld(nowMillis);
        List<Suspicion> blamed = byTarget.remove(incarnation(target));
        if (blamed == null) {
            return;
        }
        suspicions -= blamed.size();
        for (Suspicion suspicion : blamed) {
            strikes.strike(suspicion.fingerprint(), incarnation(target), nowMillis);
        }
    }

    private void forgetOld(long nowMillis) {
        Iterator<List<Suspicion>> lists = byTarget.values().iterator();
        while (lists.hasNext()) {
            List<Suspicion> list = lists.next();
            int before = list.size();
            list.removeIf(suspicion -> nowMillis - suspicion.atMillis() >= CONFIRM_MILLIS);
            suspicions -= before - list.size();
            if (list.isEmpty()) {
                lists.remove();
            }
        }
    }

    /** Returns the refusal of a request that crashed several targets; empty if it may run. */
    Optional<Failure> refusal(CallerRequest request, long nowMillis) {
        // The fingerprint hashes the whole body, which most of the time nobody asks for.
        return strikes.isEmpty() ? Optional.empty() : strikes.refusal(request.fingerprint(), Failure.Ran.NO, nowMillis);
    }
}
