package org.radishspan.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * This router's view of a target's prompt cache: the parts of prompts that the target has read, in order of last use.
 */
public final class PromptCacheView {
    /**
     * Maximum number of parts kept for a target: far more than fit into its prompt cache at usual prompt lengths.
     */
    private static final int MAX_PARTS = 512;

    private final Map<String, Boolean> parts = new LinkedHashMap<>(16, 0.75f, true);

    /** Records that the target reads a prompt, and drops the least recently used parts beyond the maximum. */
    public void onRead(List<String> partIds) {
        for (String part : partIds) {
            parts.put(part, true);
        }
        while (parts.size() > MAX_PARTS) {
            parts.remove(parts.keySet().iterator().next());
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
