package org.radishspan.front;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.radishspan.proto.RequestTokens;
import org.radishspan.proto.TargetLoad;
import org.radishspan.proto.TargetLoads;
import org.radishspan.routing.FleetLoads;

/**
 * The loads and speeds of targets that have not been sent yet to a group of receivers: of each target the newest load, and
 * the mean of the measured speeds.
 */
final class LoadNews {

    /**
     * The requests that were sent to targets.
     *
     * @param requests their number
     * @param tokens the sum of the tokens that they occupy at most
     * @param tokensSquared the sum of the squares of those tokens
     * @param largestTokens the tokens of the largest of them
     */
    record Requests(long requests, long tokens, double tokensSquared, long largestTokens) {
        static final Requests NONE = new Requests(0, 0, 0, 0);

        /** Upper bound of the tokens of a request, so that a faulty message cannot exceed the range of a sum. */
        private static final long MAX_TOKENS = 100_000_000;

        /** Upper bound of the requests in one message. */
        private static final long MAX_REQUESTS = 1_000_000;

        /** Returns the requests that a message reports, or none if they are not credible. */
        static Requests of(TargetLoads message) {
            RequestTokens requests = message.getRequests();
            boolean credible = requests.getRequests() > 0
                    && requests.getRequests() <= MAX_REQUESTS
                    && requests.getTokens() >= 0
                    && requests.getTokens() / requests.getRequests() <= MAX_TOKENS
                    && requests.getTokensSquared() >= 0
                    && requests.getTokensSquared() / requests.getRequests() <= (double) MAX_TOKENS * MAX_TOKENS
                    && requests.getLargestTokens() >= 0
                    && requests.getLargestTokens() <= MAX_TOKENS;
            return credible
                    ? new Requests(
                            requests.getRequests(),
                            requests.getTokens(),
                            requests.getTokensSquared(),
                            requests.getLargestTokens())
                    : NONE;
        }
    }

    /** Upper bound of the targets of which news are kept: more than the largest deployment has. */
    private static final int MAX_TARGETS = 20_000;

    /** Upper bound of the age in a message; older reports say no more than the mean of all targets. */
    private static final long MAX_AGE_MILLIS = 60_000;

    /** Time between two messages with speeds, which change slowly and would be a third of the bytes of each message. */
    private static final long SPEEDS_MILLIS = 1_000;

    /** Bytes that a load takes in a message in addition to its own size. */
    private static final int LOAD_FRAME_BYTES = 2;

    /** Bytes of the other fields of a message. */
    private static final int MESSAGE_BYTES = 40;

    private static final double MICROS_PER_MILLI = 1_000;
    private static final double NANOS_PER_MILLI = 1_000_000;

    /** Upper bound of the answers from which a speed was measured; a mean of more is not more exact. */
    private static final int MAX_ANSWERS = 1_000;

    /** The news of one target. */
    private static final class Row {
        private boolean reported;
        private FleetLoads.Report report = new FleetLoads.Report(0, 0, 0);
        private long reportedAtMillis = Long.MIN_VALUE / 2;
        private int startAnswers;
        private double startMillisSum;
        private int readAnswers;
        private double readMillisPerTokenSum;

        boolean hasSpeeds() {
            return startAnswers + readAnswers > 0;
        }
    }

    private final Map<Integer, Row> rows = new LinkedHashMap<>();
    private Requests requests = Requests.NONE;
    private long nextSpeedsAtMillis;

    /** Returns whether there is anything to send now. */
    boolean isDue(long nowMillis) {
        if (requests.requests() > 0) {
            return true;
        }
        boolean speedsDue = nowMillis >= nextSpeedsAtMillis;
        for (Row row : rows.values()) {
            if (row.reported || (speedsDue && row.hasSpeeds())) {
                return true;
            }
        }
        return false;
    }

    void clear() {
        rows.clear();
        requests = Requests.NONE;
    }

    private Row row(int key) {
        if (rows.size() >= MAX_TARGETS && !rows.containsKey(key)) {
            rows.remove(rows.keySet().iterator().next());
        }
        return rows.computeIfAbsent(key, ignored -> new Row());
    }

    void addReport(int key, FleetLoads.Report report, long reportedAtMillis) {
        Row row = row(key);
        if (reportedAtMillis > row.reportedAtMillis) {
            row.reported = true;
            row.report = report;
            row.reportedAtMillis = reportedAtMillis;
        }
    }

    void addSpeeds(int key, FleetLoads.Speeds speeds) {
        Row row = row(key);
        row.startAnswers += speeds.startAnswers();
        row.startMillisSum += speeds.startAnswers() * speeds.startMillis();
        row.readAnswers += speeds.readAnswers();
        row.readMillisPerTokenSum += speeds.readAnswers() * speeds.readMillisPerToken();
    }

    void addRequests(Requests added) {
        requests = new Requests(
                requests.requests() + added.requests(),
                requests.tokens() + added.tokens(),
                requests.tokensSquared() + added.tokensSquared(),
                Math.max(requests.largestTokens(), added.largestTokens()));
    }

    /** Adds what a message says of one target. */
    void add(TargetLoad load, long nowMillis) {
        if (load.hasAgeMillis() && load.getAgeMillis() >= 0) {
            addReport(load.getTarget(), report(load), nowMillis - load.getAgeMillis());
        }
        FleetLoads.Speeds speeds = speeds(load);
        if (speeds.startAnswers() + speeds.readAnswers() > 0) {
            addSpeeds(load.getTarget(), speeds);
        }
    }

    static FleetLoads.Report report(TargetLoad load) {
        return new FleetLoads.Report(load.getRunning(), load.getWaiting(), load.getPacePercent());
    }

    static FleetLoads.Speeds speeds(TargetLoad load) {
        return new FleetLoads.Speeds(
                answers(load.getStartMicros(), load.getStartSamples()),
                load.getStartMicros() / MICROS_PER_MILLI,
                answers(load.getReadNanosPerToken(), load.getReadSamples()),
                load.getReadNanosPerToken() / NANOS_PER_MILLI);
    }

    /** Returns the number of answers from which a value was measured; 0 if it is not a possible value. */
    private static int answers(int value, int samples) {
        return value <= 0 ? 0 : Math.max(1, Math.min(MAX_ANSWERS, samples));
    }

    /**
     * Moves news to a message, those of the targets that wait longest first, and leaves what does not fit into {@code
     * maxBytes}.
     */
    void moveTo(TargetLoads.Builder message, int maxBytes, long nowMillis) {
        boolean speedsDue = nowMillis >= nextSpeedsAtMillis;
        if (speedsDue) {
            nextSpeedsAtMillis = nowMillis + SPEEDS_MILLIS;
        }
        int bytes = MESSAGE_BYTES;
        Map<Integer, Row> speedsLeft = new LinkedHashMap<>();
        Iterator<Map.Entry<Integer, Row>> remaining = rows.entrySet().iterator();
        while (remaining.hasNext()) {
            Map.Entry<Integer, Row> next = remaining.next();
            Row row = next.getValue();
            if (!row.reported && !speedsDue) {
                continue;
            }
            TargetLoad load = encode(next.getKey(), row, speedsDue, nowMillis);
            bytes += load.getSerializedSize() + LOAD_FRAME_BYTES;
            if (bytes > maxBytes) {
                break;
            }
            message.addLoads(load);
            remaining.remove();
            row.reported = false;
            if (!speedsDue && row.hasSpeeds()) {
                speedsLeft.put(next.getKey(), row);
            }
        }
        rows.putAll(speedsLeft);
        moveRequestsTo(message);
    }

    private void moveRequestsTo(TargetLoads.Builder message) {
        if (requests.requests() == 0) {
            return;
        }
        RequestTokens earlier = message.getRequests();
        message.setRequests(RequestTokens.newBuilder()
                .setRequests(earlier.getRequests() + requests.requests())
                .setTokens(earlier.getTokens() + requests.tokens())
                .setTokensSquared(earlier.getTokensSquared() + requests.tokensSquared())
                .setLargestTokens(Math.max(earlier.getLargestTokens(), requests.largestTokens())));
        requests = Requests.NONE;
    }

    private static TargetLoad encode(int key, Row row, boolean withSpeeds, long nowMillis) {
        TargetLoad.Builder load = TargetLoad.newBuilder().setTarget(key);
        if (row.reported) {
            load.setRunning(row.report.running())
                    .setWaiting(row.report.waiting())
                    .setPacePercent(row.report.pacePercent())
                    .setAgeMillis((int) Math.min(MAX_AGE_MILLIS, Math.max(0, nowMillis - row.reportedAtMillis)));
        }
        if (withSpeeds && row.startAnswers > 0) {
            load.setStartMicros((int) Math.max(1, row.startMillisSum / row.startAnswers * MICROS_PER_MILLI));
            load.setStartSamples(row.startAnswers == 1 ? 0 : row.startAnswers);
        }
        if (withSpeeds && row.readAnswers > 0) {
            load.setReadNanosPerToken((int) Math.max(1, row.readMillisPerTokenSum / row.readAnswers * NANOS_PER_MILLI));
            load.setReadSamples(row.readAnswers == 1 ? 0 : row.readAnswers);
        }
        return load.build();
    }
}
