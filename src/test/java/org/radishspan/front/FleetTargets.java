package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/** The simulated targets of a {@link FrontFleet}: sets the headers of their answers and records when requests arrive. */
final class FleetTargets {
    private static final String NAME_HEADER = "X-Expect-Instance";

    private final Map<String, List<Long>> arrivalsMillis = new HashMap<>();
    private final Map<String, OptionalDouble> rateLimits = new HashMap<>();
    private final Map<String, Integer> inProgress = new HashMap<>();
    private final Set<String> crashed = new HashSet<>();
    private int maxInProgress;
    private boolean streams;

    /** Returns the name of the request header that holds the name of the target. */
    static String nameHeader() {
        return NAME_HEADER;
    }

    /** Sets the rate limit that a target reports in its answers from now on; empty to report none. */
    void setRateLimit(String target, OptionalDouble requestsPerSecond) {
        rateLimits.put(target, requestsPerSecond);
    }

    /** Lets all targets answer with streams of events. */
    void useStreams() {
        streams = true;
    }

    void onArrival(String target, long arrivedAtMillis) {
        arrivalsMillis.computeIfAbsent(target, ignored -> new ArrayList<>()).add(arrivedAtMillis);
        maxInProgress = Math.max(maxInProgress, inProgress.merge(target, 1, Integer::sum));
    }

    void onCrash(String target) {
        crashed.add(target);
    }

    /** Returns whether a target has crashed. It does not come back under the same name. */
    boolean isDown(String target) {
        return crashed.contains(target);
    }

    void onEnd(String target) {
        inProgress.merge(target, -1, Integer::sum);
    }

    /** Returns the largest number of requests that any one target has had in progress at the same time. */
    int maxInProgress() {
        return maxInProgress;
    }

    /** Returns the value of a header of a target's answer, or null if the answer has no such header. */
    @Nullable
    String answerHeader(String target, String header) {
        if (header.equalsIgnoreCase("X-Server-Stamp")) {
            return "signed";
        }
        if (streams && header.equalsIgnoreCase("Content-Type")) {
            return "text/event-stream";
        }
        OptionalDouble limit = rateLimits.getOrDefault(target, OptionalDouble.empty());
        return header.equalsIgnoreCase("Server-Limit") && limit.isPresent()
                ? Double.toString(limit.getAsDouble())
                : null;
    }

    /** Returns how many requests arrived at a target from {@code fromMillis} to before {@code untilMillis}. */
    int arrivals(String target, long fromMillis, long untilMillis) {
        return (int) arrivalsMillis.getOrDefault(target, List.of()).stream()
                .filter(arrivedAtMillis -> arrivedAtMillis >= fromMillis && arrivedAtMillis < untilMillis)
                .count();
    }

    /** Returns the largest number of requests that arrived at a target in any window that begins in the given time span. */
    int maxArrivalsInWindow(String target, long fromMillis, long untilMillis, long windowMillis) {
        int maxArrivals = 0;
        for (long windowStartMillis : arrivalsMillis.getOrDefault(target, List.of())) {
            if (windowStartMillis >= fromMillis && windowStartMillis < untilMillis) {
                maxArrivals =
                        Math.max(maxArrivals, arrivals(target, windowStartMillis, windowStartMillis + windowMillis));
            }
        }
        return maxArrivals;
    }
}
