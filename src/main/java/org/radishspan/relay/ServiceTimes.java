package org.radishspan.relay;

import java.util.HashMap;
import java.util.Map;

import org.radishspan.deployment.Route;

/** Measures how long targets take for the requests of each route, from the send to the start and to the end of the answer. */
final class ServiceTimes {
    /** Weight of a new measurement in the mean: engines change their pace within some answers. */
    private static final double NEWEST_WEIGHT = 1 / 8.0;

    private final Map<String, Double> meanStartMillis = new HashMap<>();
    private final Map<String, Double> meanAnswerMillis = new HashMap<>();

    /** Records the first event of a stream, or the head of another answer. */
    void onAnswerStarted(Route route, long elapsedMillis) {
        record(meanStartMillis, route, elapsedMillis);
    }

    /** Records a complete answer. */
    void onAnswered(Route route, long elapsedMillis) {
        record(meanAnswerMillis, route, elapsedMillis);
    }

    private static void record(Map<String, Double> means, Route route, long elapsedMillis) {
        means.merge(route.name(), (double) elapsedMillis, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
    }

    /** Returns the expected time until an answer starts; 0 until one has been measured. */
    long startMillis(Route route) {
        return Math.round(meanStartMillis.getOrDefault(route.name(), 0.0));
    }

    /** Returns the expected time until an answer ends; the latency objective of the route until one has been measured. */
    long answerMillis(Route route) {
        return Math.round(meanAnswerMillis.getOrDefault(route.name(), (double) route.latencyObjectiveMillis()));
    }
}
