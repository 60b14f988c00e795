package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

import org.jspecify.annotations.Nullable;

/** The targets of a {@link FrontFleet}: what they say in their answers, and when requests arrived. */
final class FleetTargets {
    private static final String NAME_HEADER = "X-Expect-Instance";

    private final Map<String, List<Long>> arrivalsMillis = new HashMap<>();
    private final Map<String, OptionalDouble> rateLimits = new HashMap<>();
    private final Map<String, Integer> inProgress = new HashMap<>();
    private int mostAtOnce;

    /** Returns the header of a request that names the target. */
    static String nameHeader() {
        return NAME_HEADER;
    }

    /** Lets a target name a limit in its answers from now on, or none. */
    void setRateLimit(String target, OptionalDouble requestsPerSecond) {
        rateLimits.put(target, requestsPerSecond);
    }

    void onArrival(String target, long atMillis) {
        arrivalsMillis.computeIfAbsent(target, ignored -> new ArrayList<>()).add(atMillis);
        mostAtOnce = Math.max(mostAtOnce, inProgress.merge(target, 1, Integer::sum));
    }

    void onEnd(String target) {
        inProgress.merge(target, -1, Integer::sum);
    }

    /** Returns the most requests that one target had at once. */
    int mostAtOnce() {
        return mostAtOnce;
    }

    /** Returns a header of a target's answer. */
    @Nullable
    String answerHeader(String target, String header) {
        if (header.equalsIgnoreCase("X-Server-Stamp")) {
            return "signed";
        }
        OptionalDouble limit = rateLimits.getOrDefault(target, OptionalDouble.empty());
        return header.equalsIgnoreCase("Server-Limit") && limit.isPresent()
                ? Double.toString(limit.getAsDouble())
                : null;
    }

    /** Returns how many requests arrived at a target in a span of time. */
    int arrivals(String target, long fromMillis, long untilMillis) {
        return (int) arrivalsMillis.getOrDefault(target, List.of()).stream()
                .filter(atMillis -> atMillis >= fromMillis && atMillis < untilMillis)
                .count();
    }

    /** Returns the most requests that arrived at a target in any window that begins in a span of time. */
    int mostArrivals(String target, long fromMillis, long untilMillis, long windowMillis) {
        int most = 0;
        for (long beginMillis : arrivalsMillis.getOrDefault(target, List.of())) {
            if (beginMillis >= fromMillis && beginMillis < untilMillis) {
                most = Math.max(most, arrivals(target, beginMillis, beginMillis + windowMillis));
            }
        }
        return most;
    }
}
