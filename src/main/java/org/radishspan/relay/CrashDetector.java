package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.Target;

/**
 * Detects requests that crash targets.
 *
 * <p>A lost connection alone is no evidence of a crash, because targets that continue to run also lose answers and reset
 * connections. A request whose connection was lost gets a strike once its target is known to have terminated, which is the
 * case when the target accepts no connections or has started again.
 */
final class CrashDetector {
    /**
     * How long a lost connection can still lead to a strike. A crash is confirmed only after some failed connections to the
     * target, or when the target has started again.
     */
    private static final long CONFIRM_MILLIS = 10_000;

    private static final int MAX_LOST_CONNECTIONS = 4_096;

    private record LostConnection(String requestId, String fingerprint, long atMillis) {}

    private final QuarantineTable strikes;
    private final Map<String, List<LostConnection>> byTarget = new HashMap<>();
    private int lostConnections;
    private final EventLog log;
    private final RelayMetrics metrics;

    CrashDetector(QuarantineTable strikes, EventLog log, RelayMetrics metrics) {
        this.strikes = strikes;
        this.log = log;
        this.metrics = metrics;
    }

    private static String incarnation(Target target) {
        return target.name() + "@" + target.startedAtUnixMillis();
    }

    /** Records that the connection of a request to a target was lost; ignored while too many others are recorded. */
    void onConnectionLost(Target target, CallerRequest request, long nowMillis) {
        removeExpired(nowMillis);
        if (lostConnections < MAX_LOST_CONNECTIONS) {
            lostConnections++;
            byTarget.computeIfAbsent(incarnation(target), ignored -> new ArrayList<>())
                    .add(new LostConnection(request.requestId(), request.fingerprint(), nowMillis));
        }
    }

    /**
     * Records that a target accepts no connections or was replaced by another incarnation. Requests whose connections to it
     * were lost get a strike.
     */
    void onTargetEnded(Target target, long nowMillis) {
        removeExpired(nowMillis);
        List<LostConnection> confirmed = byTarget.remove(incarnation(target));
        if (confirmed == null) {
            return;
        }
        lostConnections -= confirmed.size();
        for (LostConnection lostConnection : confirmed) {
            strikes.strike(lostConnection.fingerprint(), incarnation(target), nowMillis);
            metrics.onCrashRecorded();
            log.trouble("crash_recorded", lostConnection.requestId())
                    .with("fingerprint", lostConnection.fingerprint())
                    .with("target", incarnation(target))
                    .with("since_loss_ms", nowMillis - lostConnection.atMillis())
                    .write();
        }
    }

    private void removeExpired(long nowMillis) {
        Iterator<List<LostConnection>> lists = byTarget.values().iterator();
        while (lists.hasNext()) {
            List<LostConnection> list = lists.next();
            int sizeBefore = list.size();
            list.removeIf(lostConnection -> nowMillis - lostConnection.atMillis() >= CONFIRM_MILLIS);
            lostConnections -= sizeBefore - list.size();
            if (list.isEmpty()) {
                lists.remove();
            }
        }
    }

    /** Returns the failure of a request that is refused because it crashed several targets; empty if it may run. */
    Optional<Failure> refusal(CallerRequest request, long nowMillis) {
        // Computing the fingerprint hashes the whole body, so it is skipped while there are no strikes.
        return strikes.isEmpty() ? Optional.empty() : strikes.refusal(request.fingerprint(), Failure.Ran.NO, nowMillis);
    }
}
