package org.radishspan.relay;

import java.util.List;

/**
 * What a request asks of a model.
 *
 * @param inputTokens the tokens of the whole prompt
 * @param maxOutputTokens the most tokens of the answer
 * @param parts the parts of the prompt in their order; requests share leading parts
 */
public record Prompt(long inputTokens, long maxOutputTokens, List<Part> parts) {

    /**
     * A part of a prompt.
     *
     * @param id the same for the same text
     * @param tokens its length
     */
    public record Part(String id, long tokens) {}

    /** Returns the most tokens that the request can use. */
    public long worstCaseTokens() {
        return inputTokens + maxOutputTokens;
    }

    /** Returns the part up to which prompts of one session or subject are the same; empty text if there is none. */
    public String sharedPartId() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
