package org.radishspan.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * This router's view of a target's prompt cache: the parts of prompts that the target has read, in order of last use.
 */
public final class PromptCacheView {
    /**
     * Maximum number of parts kept for a target: far more than fit into its prompt cache at usual prompt lengths. It is
     * the only bound while the memory of the target is not known.
     */
    private static final int MAX_PARTS = 512;

    /** The prefix of the keys of parts whose id is not known; ids of parts do not contain this character. */
    private static final char UNNAMED = '\0';

    /** The length of a part and when it was last used. */
    private record Entry(long tokens, long usedAtMillis) {}

    private final Map<String, Entry> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long heldTokens;
    private long unnamedCount;
    private boolean memoryKnown;

    /** Records that the target reads parts of unknown length, and drops the least recently used parts beyond the maximum. */
    public void onRead(List<String> partIds) {
        for (String part : partIds) {
            put(part, new Entry(0, Long.MAX_VALUE));
        }
        dropBeyondMaximum();
    }

    /** Records that the target reads the parts of a prompt, and drops the least recently used parts beyond the maximum. */
    public void onRead(PromptShape prompt, long nowMillis) {
        for (int i = 0; i < prompt.partIds().size(); i++) {
            put(prompt.partIds().get(i), new Entry(prompt.partTokens(i), nowMillis));
        }
        dropBeyondMaximum();
    }

    /**
     * Records that the target reads a prompt of another router, whose notice states the shared parts and the number of
     * tokens to read. These tokens are divided evenly among the parts that were not recorded and the part of the prompt that
     * is not shared.
     */
    public void onReadForPeer(List<String> sharedPartIds, long uncachedTokens, long nowMillis) {
        if (!memoryKnown) {
            onRead(sharedPartIds);
            return;
        }
        long recorded = sharedPartIds.stream().filter(parts::containsKey).count();
        long tokensEach = uncachedTokens / (sharedPartIds.size() - recorded + 1);
        for (String part : sharedPartIds) {
            Entry before = parts.get(part);
            put(part, new Entry(before == null ? tokensEach : before.tokens, nowMillis));
        }
        unnamedCount++;
        put(UNNAMED + Long.toString(unnamedCount), new Entry(tokensEach, nowMillis));
        dropBeyondMaximum();
    }

    private void put(String part, Entry entry) {
        Entry before = parts.put(part, entry);
        heldTokens += entry.tokens - (before == null ? 0 : before.tokens);
    }

    private void dropBeyondMaximum() {
        Iterator<Entry> oldestFirst = parts.values().iterator();
        while (parts.size() > MAX_PARTS) {
            removeNext(oldestFirst);
        }
    }

    private void removeNext(Iterator<Entry> oldestFirst) {
        heldTokens -= oldestFirst.next().tokens;
        oldestFirst.remove();
    }

    /**
     * Drops the least recently used parts that no longer fit into a part of the target's memory, as the target does when
     * its memory fills.
     */
    void evictBeyond(double capacityTokens) {
        memoryKnown = true;
        Iterator<Entry> oldestFirst = parts.values().iterator();
        while (heldTokens > capacityTokens && oldestFirst.hasNext()) {
            removeNext(oldestFirst);
        }
    }

    /** Drops the parts that were last used before a time, because other routers have filled the memory since. */
    void evictUnusedSince(double sinceMillis) {
        Iterator<Entry> oldestFirst = parts.values().iterator();
        while (oldestFirst.hasNext()) {
            Entry oldest = oldestFirst.next();
            if (oldest.usedAtMillis >= sinceMillis) {
                return;
            }
            heldTokens -= oldest.tokens;
            oldestFirst.remove();
        }
    }

    /** Returns how many leading parts of a prompt the target has read. */
    public int cachedLeadingParts(List<String> partIds) {
        int count = 0;
        for (String part : partIds) {
            if (!parts.containsKey(part)) {
                return count;
            }
            count++;
        }
        return count;
    }
}
