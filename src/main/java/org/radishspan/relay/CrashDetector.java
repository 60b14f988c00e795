package org.radishspan.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.log.EventLog;
import org.radishspan.request.Fingerprint;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.Target;

/**
 * Detects requests that crash targets.
 *
 * <p>A target that crashes does so before it has begun to answer the request that is the cause. A lost connection alone is no
 * evidence of a crash, because targets that continue to run also lose answers and reset connections. So a crash is recorded for
 * a request if its connection was lost before any part of the answer, and its target is known to have terminated: it refuses
 * connections, which is tested at once, or has started again.
 */
final class CrashDetector {
    /** How long a lost connection can still lead to a record, if the target was not found terminated at once. */
    private static final long CONFIRM_MILLIS = 10_000;

    private static final int MAX_LOST_CONNECTIONS = 4_096;

    private record LostConnection(String requestId, String service, List<String> fingerprints, long atMillis) {}

    private final QuarantineTable crashes;
    private final EventLog log;
    private final RelayMetrics metrics;
    private final Map<String, List<LostConnection>> byTarget = new HashMap<>();
    private final Map<String, Long> answerBeganAtMillis = new HashMap<>();
    private final Set<String> tested = new HashSet<>();
    private int lostConnections;

    CrashDetector(QuarantineTable crashes, EventLog log, RelayMetrics metrics) {
        this.crashes = crashes;
        this.log = log;
        this.metrics = metrics;
    }

    private static String incarnation(Target target) {
        return target.name() + "@" + target.startedAtUnixMillis();
    }

    /**
     * Records that the connection of a request was lost before its target had begun to answer; ignored while too many others
     * are recorded.
     */
    void onConnectionLost(Target target, RelayRequest request, long nowMillis) {
        removeExpired(nowMillis);
        if (lostConnections < MAX_LOST_CONNECTIONS) {
            lostConnections++;
            byTarget.computeIfAbsent(incarnation(target), ignored -> new ArrayList<>())
                    .add(new LostConnection(request.id(), request.service, request.fingerprints(), nowMillis));
        }
    }

    /** Tests whether a target refuses connections, unless such a test is in progress; calls {@code onRefused} if it does. */
    void testConnection(Target target, HttpTransport transport, Runnable onRefused) {
        String incarnation = incarnation(target);
        if (!tested.add(incarnation)) {
            return;
        }
        transport.test(target.host(), target.port(), result -> {
            tested.remove(incarnation);
            if (result == HttpTransport.ConnectionTest.REFUSED) {
                onRefused.run();
            }
        });
    }

    /**
     * Records that a target has terminated. A crash is recorded for the requests whose connections to it were lost.
     *
     * <p>For a part of a prompt, which other requests share, a further crash is recorded only if it is no consequence of what
     * caused the previous one. Targets that fail together, or crash each time that they start, are no evidence against a part.
     */
    void onTargetEnded(Target target, long nowMillis) {
        removeExpired(nowMillis);
        List<LostConnection> confirmed = byTarget.remove(incarnation(target));
        if (confirmed == null) {
            return;
        }
        lostConnections -= confirmed.size();
        for (LostConnection lostConnection : confirmed) {
            List<String> fingerprints = lostConnection.fingerprints().stream()
                    .filter(fingerprint ->
                            !Fingerprint.isPart(fingerprint) || isFurtherEvidence(target, lostConnection, fingerprint))
                    .toList();
            crashes.strike(fingerprints, incarnation(target), lostConnection.atMillis(), nowMillis);
            metrics.onCrashRecorded();
            log.trouble("crash_recorded", lostConnection.requestId())
                    .with("fingerprints", String.join(",", lostConnection.fingerprints()))
                    .with("target", incarnation(target))
                    .with("since_loss_ms", nowMillis - lostConnection.atMillis())
                    .write();
        }
    }

    /**
     * Returns whether a crash is independent of the previous one recorded for a fingerprint: targets of the service have begun
     * answers in between, or the target was already running then and kept running for a while.
     */
    private boolean isFurtherEvidence(Target target, LostConnection lostConnection, String fingerprint) {
        long previousMillis = crashes.lastCrashAtMillis(fingerprint);
        if (previousMillis == Long.MIN_VALUE) {
            return true;
        }
        long answerBeganMillis = answerBeganAtMillis.getOrDefault(lostConnection.service(), Long.MIN_VALUE);
        boolean outlivedPrevious = target.registeredAtMillis() < previousMillis
                && lostConnection.atMillis() - previousMillis >= QuarantineTable.SAME_FAILURE_MILLIS;
        return answerBeganMillis > previousMillis || outlivedPrevious;
    }

    /** Records that a target has begun to answer a request, which therefore does not crash targets. */
    void onAnswerBegan(RelayRequest request, long nowMillis) {
        answerBeganAtMillis.put(request.service, nowMillis);
        crashes.onAnswerBegan(crashes.isEmpty() ? request.partFingerprints() : request.fingerprints(), nowMillis);
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

    /** Returns the failure of a request that is refused because such requests crashed several targets. */
    Optional<Failure> refusal(CallerRequest request, String service, long nowMillis) {
        // Computing the fingerprint hashes the whole body, so it is skipped while nothing is refused.
        return crashes.refusesAny() ? refusal(request.fingerprints(service), nowMillis) : Optional.empty();
    }

    /** Returns the failure of a request that is refused because such requests crashed several targets. */
    Optional<Failure> refusal(RelayRequest request, long nowMillis) {
        return crashes.refusesAny() ? refusal(request.fingerprints(), nowMillis) : Optional.empty();
    }

    /** Returns whether a request is cancelled where it is in progress, because such requests crashed several targets. */
    boolean isCancelled(RelayRequest request) {
        return crashes.refusesAny() && crashes.isCancelled(request.fingerprints());
    }

    private Optional<Failure> refusal(Collection<String> fingerprints, long nowMillis) {
        return crashes.refusal(fingerprints, Failure.Ran.NO, nowMillis);
    }

    /** Returns a number that changes with each change of the records. */
    int changes() {
        return crashes.changes();
    }
}
