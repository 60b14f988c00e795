package org.radishspan.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;

/**
 * Requests that broke targets, by their fingerprint.
 *
 * <p>A request that broke two targets is refused by every router for a while, so that a caller who sends it again does
 * not bring down one target after the other. When a target breaks, every request on it gets a strike, as any may be the
 * cause. A request with a strike is a suspect: it is sent where no other suspect of this router is, and if that target breaks
 * as well, the suspect alone is to blame. A whole answer clears it.
 */
public final class StrikeTable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Tells the other routers of a strike or a release. */
    @FunctionalInterface
    public interface Notice {
        /** Sends one; {@code target} is empty for a release. */
        void send(String fingerprint, String target);
    }

    /**
     * A request that is refused.
     *
     * @param fingerprint the hash of workspace, path and body
     * @param targets what it broke
     * @param untilMillis when it is let in again
     */
    public record Quarantined(String fingerprint, List<String> targets, long untilMillis) {}

    /** How many targets a request of the product's own interface may break. */
    static final int USUAL_TARGETS = 2;

    private static final long QUARANTINE_MILLIS = 300_000;
    private static final int MAX_ROWS = 10_000;

    private static final class Row {
        private final Set<String> targets = new HashSet<>();
        private long untilMillis;
    }

    private final Map<String, Row> rows = new LinkedHashMap<>();
    private final Notice notice;
    private final int targetsBeforeQuarantine;

    /**
     * Creates an empty table.
     *
     * @param targetsBeforeQuarantine a request that broke so many targets is refused
     */
    public StrikeTable(Notice notice, int targetsBeforeQuarantine) {
        this.notice = notice;
        this.targetsBeforeQuarantine = targetsBeforeQuarantine;
    }

    /** Notes that a request broke a target, and tells the other routers. */
    public void strike(String fingerprint, String target, long nowMillis) {
        add(fingerprint, target, nowMillis);
        notice.send(fingerprint, target);
    }

    /** Takes over what another router saw; an empty target releases the request. */
    public void onNotice(String fingerprint, String target, long nowMillis) {
        if (target.isEmpty()) {
            rows.remove(fingerprint);
            return;
        }
        add(fingerprint, target, nowMillis);
    }

    private void add(String fingerprint, String target, long nowMillis) {
        Row row = rows.computeIfAbsent(fingerprint, ignored -> new Row());
        row.targets.add(target);
        row.untilMillis = nowMillis + QUARANTINE_MILLIS;
        if (row.targets.size() == targetsBeforeQuarantine) {
            LOGGER.atWarning().log("request %s broke %s and is refused for a while", fingerprint, row.targets);
        }
        if (rows.size() > MAX_ROWS) {
            rows.remove(rows.keySet().iterator().next());
        }
    }

    /** Returns whether no request has a strike. */
    public boolean isEmpty() {
        return rows.isEmpty();
    }

    /** Returns whether a request has broken a target and was not answered since. */
    boolean suspect(String fingerprint) {
        return rows.containsKey(fingerprint);
    }

    /** Clears a request that was answered whole. */
    void clear(String fingerprint) {
        if (rows.remove(fingerprint) != null) {
            notice.send(fingerprint, "");
        }
    }

    private long refusedMillis(String fingerprint, long nowMillis) {
        Row row = rows.get(fingerprint);
        if (row == null) {
            return 0;
        }
        if (nowMillis >= row.untilMillis) {
            rows.remove(fingerprint);
            return 0;
        }
        return row.targets.size() >= targetsBeforeQuarantine ? row.untilMillis - nowMillis : 0;
    }

    /** Returns the refusal of a request in quarantine; empty if it may run. */
    public Optional<Failure> refusal(String fingerprint, Failure.Ran ran, long nowMillis) {
        long millis = refusedMillis(fingerprint, nowMillis);
        if (millis == 0) {
            return Optional.empty();
        }
        String message = "the request broke several targets and is refused for a while";
        return Optional.of(new Failure(ErrorKind.QUARANTINED, message, ran, millis));
    }

    /** Lets a request in again, here and at the other routers; returns whether it was known. */
    public boolean release(String fingerprint) {
        boolean known = rows.remove(fingerprint) != null;
        notice.send(fingerprint, "");
        return known;
    }

    /** Returns the requests that are refused. */
    public List<Quarantined> quarantined(long nowMillis) {
        List<Quarantined> result = new ArrayList<>();
        for (String fingerprint : List.copyOf(rows.keySet())) {
            if (refusedMillis(fingerprint, nowMillis) > 0) {
                Row row = rows.get(fingerprint);
                if (row != null) {
                    result.add(new Quarantined(fingerprint, List.copyOf(row.targets), row.untilMillis));
                }
            }
        }
        return result;
    }
}
