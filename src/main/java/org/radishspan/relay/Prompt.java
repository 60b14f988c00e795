package org.radishspan.relay;

import java.util.List;

/**
 * The prompt of a request to a model, described by its token counts.
 *
 * @param inputTokens the number of tokens of the whole prompt
 * @param maxOutputTokens the maximum number of tokens of the answer
 * @param parts the parts of the prompt in their order; requests share leading parts
 */
public record Prompt(long inputTokens, long maxOutputTokens, List<Part> parts) {

    /**
     * A part of a prompt.
     *
     * @param id identifies the text: parts with the same text have the same id
     * @param tokens the length of the part in tokens
     */
    public record Part(String id, long tokens) {}

    /** Returns the maximum number of tokens that the request can use. */
    public long worstCaseTokens() {
        return inputTokens + maxOutputTokens;
    }

    /**
     * Returns the id of the last part that is shared by the prompts of one session or subject, which is the last but one part
     * of the prompt. Returns the only part if there is one, and an empty text if there is none.
     */
    public String sharedPartId() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
