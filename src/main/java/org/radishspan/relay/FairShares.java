package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides sends among workspaces with waiting requests by deficit round robin over the tokens of their requests.
 *
 * <p>Each round credits every workspace with {@link #QUANTUM_TOKENS}, and a workspace may send a request once its credit covers
 * the request. A workspace without waiting requests loses its credit, so nothing is saved up while it is idle. Without this
 * division, a workspace that sends many times its usual load would take the places of all others.
 */
final class FairShares {
    /** Credit per round: about the tokens of a short question, so that small requests are not delayed by the rounding. */
    static final long QUANTUM_TOKENS = 1_000;

    /**
     * The workspace that may send next.
     *
     * @param workspace the name of the workspace
     * @param rounds the rounds of credit that pass until its credit covers the request
     */
    record Turn(String workspace, long rounds) {}

    private final List<String> ring = new ArrayList<>();
    private final Map<String, Long> credits = new HashMap<>();
    private long largestTokens = QUANTUM_TOKENS;
    private int next;

    /** Adds a workspace with a waiting request of {@code tokens}; does not change the credit of one that has others. */
    void join(String workspace, long tokens) {
        largestTokens = Math.max(largestTokens, tokens);
        if (credits.putIfAbsent(workspace, 0L) == null) {
            ring.add(workspace);
        }
    }

    /** Removes a workspace that has no waiting requests any more. */
    void leave(String workspace) {
        int index = ring.indexOf(workspace);
        if (index < 0) {
            return;
        }
        ring.remove(index);
        credits.remove(workspace);
        if (index < next) {
            next--;
        }
    }

    /**
     * Returns the workspace whose turn it is; empty if no workspace has a request that can be sent.
     *
     * @param sendableTokens the tokens of the request that each workspace would send; workspaces without one are absent
     */
    Optional<Turn> next(Map<String, Long> sendableTokens) {
        Turn best = null;
        for (int i = 0; i < ring.size(); i++) {
            String workspace = ring.get((next + i) % ring.size());
            Long tokens = sendableTokens.get(workspace);
            if (tokens == null) {
                continue;
            }
            long missing = Math.max(0, tokens - credits.getOrDefault(workspace, 0L));
            long rounds = (missing + QUANTUM_TOKENS - 1) / QUANTUM_TOKENS;
            if (best == null || rounds < best.rounds()) {
                best = new Turn(workspace, rounds);
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Credits every workspace with the rounds of a turn, and charges the workspace for the request that it sent. Workspaces
     * whose request finds no room are credited too, so that a large request is sent as soon as it finds room.
     */
    void onSent(Turn turn, long tokens) {
        for (Map.Entry<String, Long> credit : credits.entrySet()) {
            credit.setValue(Math.min(largestTokens, credit.getValue() + turn.rounds() * QUANTUM_TOKENS));
        }
        credits.computeIfPresent(turn.workspace(), (workspace, credit) -> Math.max(0, credit - tokens));
        next = ring.isEmpty() ? 0 : (ring.indexOf(turn.workspace()) + 1) % ring.size();
    }
}
