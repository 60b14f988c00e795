package org.radishspan.bench;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/** What callers and engines saw in one run of the routing benchmark. */
final class RoutingResult {
    private static final long HIGHEST_MILLIS = 600_000;
    private static final int DIGITS = 3;

    /** One answer on its way. */
    static final class Answer {
        private final RoutingLoad.Arrival arrival;
        private final long sentAtMillis;
        private long firstAtMillis;
        private long lastAtMillis;
        private long longestPauseMillis;
        private int events;

        Answer(RoutingLoad.Arrival arrival, long sentAtMillis) {
            this.arrival = arrival;
            this.sentAtMillis = sentAtMillis;
        }

        /** Notes an event; returns whether it is the first. */
        boolean onEvent(long atMillis) {
            events++;
            if (events == 1) {
                firstAtMillis = atMillis;
            } else {
                longestPauseMillis = Math.max(longestPauseMillis, atMillis - lastAtMillis);
            }
            lastAtMillis = atMillis;
            return events == 1;
        }

        boolean complete() {
            // The first token is an event of its own.
            return events > arrival.events();
        }
    }

    private final String policy;
    private final String load;
    private final Map<RoutingLoad.Kind, Histogram> firstEvents = new EnumMap<>(RoutingLoad.Kind.class);
    private final Histogram pauses = new Histogram(HIGHEST_MILLIS, DIGITS);
    private long sharedTokens;
    private long foundTokens;
    private long busiestReadTokens;
    private long allReadTokens;
    private int engines;

    RoutingResult(String policy, String load) {
        this.policy = policy;
        this.load = load;
        for (RoutingLoad.Kind kind : RoutingLoad.Kind.values()) {
            firstEvents.put(kind, new Histogram(HIGHEST_MILLIS, DIGITS));
        }
    }

    void onSent(RoutingLoad.Arrival arrival, long found) {
        sharedTokens += arrival.kind().familyTokens + arrival.kind().subjectTokens;
        foundTokens += found;
    }

    void onAnswer(Answer answer) {
        histogram(answer.arrival.kind()).recordValue(answer.firstAtMillis - answer.sentAtMillis);
        pauses.recordValue(answer.longestPauseMillis);
    }

    void onEngine(long readTokens) {
        engines++;
        allReadTokens += readTokens;
        busiestReadTokens = Math.max(busiestReadTokens, readTokens);
    }

    private Histogram histogram(RoutingLoad.Kind kind) {
        Histogram histogram = firstEvents.get(kind);
        if (histogram == null) {
            throw new IllegalStateException("no histogram for " + kind);
        }
        return histogram;
    }

    String policy() {
        return policy;
    }

    String load() {
        return load;
    }

    /** Returns the part of the shared tokens that engines had kept. */
    double hitRate() {
        return (double) foundTokens / Math.max(1, sharedTokens);
    }

    /** Returns the shared tokens that were read though they might have been kept. */
    long readAgainTokens() {
        return sharedTokens - foundTokens;
    }

    /** Returns what the busiest engine read, in relation to the mean. */
    double busiestOverMean() {
        return (double) busiestReadTokens * engines / Math.max(1, allReadTokens);
    }

    long firstEventMillis(RoutingLoad.Kind kind, double percentile) {
        return histogram(kind).getValueAtPercentile(percentile);
    }

    long pauseMillis(double percentile) {
        return pauses.getValueAtPercentile(percentile);
    }
}
