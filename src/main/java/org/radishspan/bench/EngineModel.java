package org.radishspan.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import org.radishspan.routing.PromptShape;
import org.radishspan.virtual.VirtualTime;

/**
 * A model of an inference engine with continuous batching, chunked prefill and a prefix cache.
 *
 * <p>Each step generates one token for every running request and prefills a chunk of the first waiting prompt. Prefilled prompt
 * parts stay in the cache until it is full, when the least recently used parts are evicted. The figures are those of the
 * users' data sheet.
 */
final class EngineModel {
    private static final double STEP_MILLIS = 6.17;
    private static final double STEP_MILLIS_PER_RUNNING = 0.0329;
    private static final double PREFILL_MILLIS_PER_TOKEN = 1 / 30.9;
    private static final long CHUNK_TOKENS = 2_048;
    private static final int MAX_RUNNING = 64;
    private static final int TOKENS_PER_EVENT = 3;
    private static final long CACHE_TOKENS = 283_444;

    /** A request that waits or runs at the engine. */
    private static final class Job {
        private final int events;
        private final LongConsumer onEvent;
        private long pendingTokens;
        private int generatedTokens;

        Job(long pendingTokens, int events, LongConsumer onEvent) {
            this.pendingTokens = pendingTokens;
            this.events = events;
            this.onEvent = onEvent;
        }
    }

    private final VirtualTime time;
    private double slowdown;
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, Long> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cacheUseTokens;
    private double fractionalMillis;
    private boolean stepScheduled;
    private long prefilledTokens;

    /**
     * Creates an idle engine.
     *
     * @param slowdown the ratio of each duration to that of the users' data sheet
     */
    EngineModel(VirtualTime time, double slowdown) {
        this.time = time;
        this.slowdown = slowdown;
    }

    /** Multiplies the duration of all following steps by a factor. */
    void multiplySlowdown(double factor) {
        slowdown *= factor;
    }

    /** Returns the time in milliseconds until a prompt would have its first event if it were submitted now. */
    double firstEventDelayMillis(PromptShape prompt) {
        long pendingTokens =
                waiting.stream().mapToLong(job -> job.pendingTokens).sum() + prompt.tokens() - findCachedTokens(prompt);
        double steps = Math.ceil((double) pendingTokens / CHUNK_TOKENS) + 1;
        return slowdown
                * (pendingTokens * PREFILL_MILLIS_PER_TOKEN
                        + steps * (STEP_MILLIS + STEP_MILLIS_PER_RUNNING * running.size()));
    }

    /** Returns the length in tokens of the longest sequence of leading prompt parts that is in the cache. */
    private long findCachedTokens(PromptShape prompt) {
        int parts = 0;
        while (parts < prompt.partIds().size()
                && cache.containsKey(prompt.partIds().get(parts))) {
            parts++;
        }
        return prompt.leadingTokens(parts);
    }

    /** Returns the total of all prompt tokens that were not found in the cache when their prompts were submitted. */
    long prefilledTokens() {
        return prefilledTokens;
    }

    int runningRequests() {
        return running.size();
    }

    int waitingRequests() {
        return waiting.size();
    }

    /**
     * Queues a prompt, adds its parts to the cache and calls {@code onEvent} with the time of each event of its answer.
     *
     * @return the number of its leading tokens that were in the cache already
     */
    long submit(PromptShape prompt, int events, LongConsumer onEvent) {
        long cachedTokens = findCachedTokens(prompt);
        for (int i = 0; i < prompt.partIds().size(); i++) {
            addToCache(prompt.partIds().get(i), prompt.partTokens(i));
        }
        prefilledTokens += prompt.tokens() - cachedTokens;
        waiting.add(new Job(prompt.tokens() - cachedTokens, events, onEvent));
        if (!stepScheduled) {
            stepScheduled = true;
            step();
        }
        return cachedTokens;
    }

    private void addToCache(String part, long tokens) {
        if (cache.put(part, tokens) == null) {
            cacheUseTokens += tokens;
        }
        while (cacheUseTokens > CACHE_TOKENS) {
            Map.Entry<String, Long> oldest = cache.entrySet().iterator().next();
            cache.remove(oldest.getKey());
            cacheUseTokens -= oldest.getValue();
        }
    }

    private void step() {
        if (waiting.isEmpty() && running.isEmpty()) {
            stepScheduled = false;
            return;
        }
        long chunk = 0;
        Job prefilling = running.size() < MAX_RUNNING ? waiting.peek() : null;
        if (prefilling != null) {
            chunk = Math.min(CHUNK_TOKENS, prefilling.pendingTokens);
        }
        double stepMillis = STEP_MILLIS + STEP_MILLIS_PER_RUNNING * running.size() + chunk * PREFILL_MILLIS_PER_TOKEN;
        double millis = slowdown * stepMillis + fractionalMillis;
        long wholeMillis = (long) millis;
        fractionalMillis = millis - wholeMillis;
        long prefilledChunk = chunk;
        time.schedule(wholeMillis, () -> endStep(prefilling, prefilledChunk));
    }

    private void endStep(@Nullable Job prefilling, long chunk) {
        running.removeIf(this::generateToken);
        if (prefilling != null) {
            prefilling.pendingTokens -= chunk;
            if (prefilling.pendingTokens <= 0) {
                waiting.remove(prefilling);
                running.add(prefilling);
            }
        }
        step();
    }

    /** Generates a token, and an event if one is due; returns whether the answer is complete. */
    private boolean generateToken(Job job) {
        job.generatedTokens++;
        boolean event = job.generatedTokens == 1 || job.generatedTokens % TOKENS_PER_EVENT == 0;
        if (event) {
            job.onEvent.accept(time.nowMillis());
        }
        return job.generatedTokens >= job.events * TOKENS_PER_EVENT;
    }
}
