package org.radishspan.routing;

import java.util.List;

/**
 * The parts of a prompt and their lengths, by which {@link Placement} chooses a target. All parts but the last are
 * shared with other prompts.
 */
public final class PromptShape {
    private final List<String> partIds;
    private final long[] leadingTokens;
    private final int sharedPartHash;

    /**
     * Creates the shape of a prompt.
     *
     * @param sharedPartId the shared part by which targets are ranked; empty if there is none
     * @param partIds the parts in their order
     * @param partTokens the lengths of the parts in tokens
     */
    public PromptShape(String sharedPartId, List<String> partIds, List<Long> partTokens) {
        this.partIds = List.copyOf(partIds);
        this.sharedPartHash = RendezvousRank.hash(sharedPartId);
        this.leadingTokens = new long[partIds.size() + 1];
        for (int i = 0; i < partIds.size(); i++) {
            leadingTokens[i + 1] = leadingTokens[i] + partTokens.get(i);
        }
    }

    /** Returns the parts in their order. */
    public List<String> partIds() {
        return partIds;
    }

    /** Returns the leading parts that are shared with other prompts; the last part belongs to this request alone. */
    public List<String> sharedPartIds() {
        return partIds.subList(0, sharedPartCount());
    }

    /** Returns the number of leading parts that are shared with other prompts. */
    public int sharedPartCount() {
        return Math.max(0, partIds.size() - 1);
    }

    /** Returns the length of the whole prompt in tokens. */
    public long tokens() {
        return leadingTokens[partIds.size()];
    }

    /** Returns the length of the first {@code parts} parts in tokens. */
    public long leadingTokens(int parts) {
        return leadingTokens[parts];
    }

    /** Returns the length of one part in tokens. */
    public long partTokens(int part) {
        return leadingTokens[part + 1] - leadingTokens[part];
    }

    int sharedPartHash() {
        return sharedPartHash;
    }
}
