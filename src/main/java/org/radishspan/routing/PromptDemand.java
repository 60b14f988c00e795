package org.radishspan.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * How often each shared part of a prompt is requested, and how many prompt tokens targets read, by the requests of this
 * router in the last 30 to 60 seconds.
 *
 * <p>One router of a large fleet sees most parts once or never in that time, although the fleet requests them every few
 * seconds. The rate of a part that was requested once is therefore estimated by the method of Good and Turing: from how many
 * parts of its population were requested once and how many twice. A population consists of the parts at the same position of
 * a prompt that have a similar length.
 */
final class PromptDemand {
    /** Two windows of this length are kept. Demand moves in waves of some 17 s, and shorter windows hold few repetitions. */
    private static final long WINDOW_MILLIS = 30_000;

    /**
     * Shortest time that counts as observed. Without it, the first request of a router that has just started would count
     * as a part of high demand.
     */
    private static final long MIN_SPAN_MILLIS = 10_000;

    /** Maximum number of parts counted. Further parts count as requested once. */
    private static final int MAX_PARTS = 8_192;

    /** The numbers of parts of a population that were requested once and twice. */
    private static final class Population {
        private int once;
        private int twice;

        /** Counts one more request of a part that has been requested {@code before} times. */
        void onRequest(int before) {
            if (before == 0) {
                once++;
            } else if (before == 1) {
                once--;
                twice++;
            } else if (before == 2) {
                twice--;
            }
        }
    }

    /** The requests of one part in both windows. */
    private static final class PartCount {
        private final Population population;
        private int previous;
        private int current;

        PartCount(Population population) {
            this.population = population;
        }

        int total() {
            return previous + current;
        }
    }

    /** The sums over all requests of a window. */
    private static final class Sums {
        private long requests;
        private long promptTokens;
        private double readTokens;
    }

    private final Map<String, PartCount> parts = new HashMap<>();
    private final Map<Integer, Population> populations = new HashMap<>();
    private Sums previous = new Sums();
    private Sums current = new Sums();
    private long previousStartMillis = Long.MIN_VALUE;
    private long currentStartMillis = Long.MIN_VALUE;

    /** Records a request of this router. */
    void onRequest(PromptShape prompt, long nowMillis) {
        startWindowIfDue(nowMillis);
        current.requests++;
        current.promptTokens += prompt.tokens();
        for (int part = 0; part < prompt.sharedPartCount(); part++) {
            onPart(prompt, part);
        }
    }

    private void onPart(PromptShape prompt, int part) {
        String id = prompt.partIds().get(part);
        PartCount count = parts.get(id);
        if (count == null) {
            if (parts.size() >= MAX_PARTS) {
                return;
            }
            count = new PartCount(populationOf(prompt, part));
            parts.put(id, count);
        }
        count.population.onRequest(count.total());
        count.current++;
    }

    /** Parts at one position whose lengths have the same power of two form a population. */
    private Population populationOf(PromptShape prompt, int part) {
        int key = part * Long.SIZE + Long.numberOfLeadingZeros(prompt.partTokens(part));
        return populations.computeIfAbsent(key, ignored -> new Population());
    }

    /** Records the prompt tokens that a target reads for a request of this router. */
    void onRead(double tokens, long nowMillis) {
        startWindowIfDue(nowMillis);
        current.readTokens += tokens;
    }

    private void startWindowIfDue(long nowMillis) {
        if (currentStartMillis == Long.MIN_VALUE) {
            currentStartMillis = nowMillis;
            previousStartMillis = nowMillis;
        }
        if (nowMillis - currentStartMillis < WINDOW_MILLIS) {
            return;
        }
        if (nowMillis - currentStartMillis >= 2 * WINDOW_MILLIS) {
            // Nothing was requested in the window before this one.
            startWindow(nowMillis);
            previousStartMillis = nowMillis;
        }
        startWindow(nowMillis);
    }

    private void startWindow(long nowMillis) {
        previous = current;
        current = new Sums();
        previousStartMillis = currentStartMillis;
        currentStartMillis = nowMillis;
        Iterator<PartCount> counts = parts.values().iterator();
        while (counts.hasNext()) {
            PartCount count = counts.next();
            count.previous = count.current;
            count.current = 0;
            if (count.previous == 0) {
                counts.remove();
            }
        }
        recountPopulations();
    }

    private void recountPopulations() {
        for (Population population : populations.values()) {
            population.once = 0;
            population.twice = 0;
        }
        for (PartCount count : parts.values()) {
            count.population.once += count.previous == 1 ? 1 : 0;
            count.population.twice += count.previous == 2 ? 1 : 0;
        }
    }

    /**
     * Returns the rate of this router's requests with a shared part, in requests per millisecond. The request in progress
     * was recorded and does not count, because the part is chosen by it.
     */
    double requestsPerMilli(PromptShape prompt, int part, long nowMillis) {
        PartCount count = parts.get(prompt.partIds().get(part));
        int total = count == null ? 1 : count.total();
        if (total > 1) {
            return (total - 1) / spanMillis(nowMillis);
        }
        Population population = count == null ? populationOf(prompt, part) : count.population;
        // One more part and request keep the rate finite and above 0 while nothing has been requested twice.
        return (2.0 * population.twice + 1) / (population.once + 1) / spanMillis(nowMillis);
    }

    /** Returns the prompt tokens that targets read for this router, per millisecond. */
    double readTokensPerMilli(long nowMillis) {
        return (previous.readTokens + current.readTokens) / spanMillis(nowMillis);
    }

    /** Returns the mean length of the prompts, in tokens; 0 if there were none. */
    double meanPromptTokens() {
        long requests = previous.requests + current.requests;
        return requests == 0 ? 0 : (double) (previous.promptTokens + current.promptTokens) / requests;
    }

    private double spanMillis(long nowMillis) {
        return Math.max(
                MIN_SPAN_MILLIS, nowMillis - (previousStartMillis == Long.MIN_VALUE ? nowMillis : previousStartMillis));
    }
}
