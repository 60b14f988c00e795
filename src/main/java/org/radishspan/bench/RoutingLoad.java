package org.radishspan.bench;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.routing.PromptShape;

/**
 * Draws the random prompts of one run of the routing benchmark: long prompts for summaries and short prompts for chats.
 *
 * <p>Sizes, rates and objectives are those of the data sheet of one of the users' sites. Each prompt begins with a part that
 * the subjects of a group share, continues with a part that all prompts of its subject share, and ends with unique tokens.
 *
 * @param name the name of the load in the table
 * @param longPerSecond the mean rate of summaries
 * @param shortPerSecond the mean rate of chats
 * @param hotFraction the additional fraction of summaries that are about one fixed subject
 */
public record RoutingLoad(String name, double longPerSecond, double shortPerSecond, double hotFraction) {
    private static final int LONG_SUBJECTS = 183;
    private static final int SHORT_SUBJECTS = 227;
    private static final int LONG_GROUPS = 4;
    private static final int SHORT_GROUPS = 40;

    /** A kind of prompt, with its sizes and its latency objective. */
    enum Kind {
        LONG(2_520, 3_780, 2_890, 17, 800),
        SHORT(119, 79, 628, 96, 500);

        /** The length of the part that the subjects of a group share. */
        final long groupTokens;

        /** The length of the part that the prompts of one subject share. */
        final long subjectTokens;

        /** The mean length of the part that no other prompt has. */
        final long meanUniqueTokens;

        /** The mean number of events of an answer. */
        final int meanEvents;

        /** The latency objective for the first event of an answer. */
        final long objectiveMillis;

        Kind(long groupTokens, long subjectTokens, long meanUniqueTokens, int meanEvents, long objectiveMillis) {
            this.groupTokens = groupTokens;
            this.subjectTokens = subjectTokens;
            this.meanUniqueTokens = meanUniqueTokens;
            this.meanEvents = meanEvents;
            this.objectiveMillis = objectiveMillis;
        }
    }

    /**
     * One prompt that arrives at a router.
     *
     * @param kind the kind of prompt
     * @param shape the ids and lengths of its parts
     * @param events the number of events of its answer after the first
     */
    record Arrival(Kind kind, PromptShape shape, int events) {}

    /** Returns the mean rate of all prompts. */
    double promptsPerSecond() {
        return longPerSecond + shortPerSecond;
    }

    /** Draws a prompt. The number, which must be new for each prompt, makes the id of its last part unique. */
    Arrival draw(UniformRandomProvider random, long number) {
        boolean isLong = random.nextDouble() * promptsPerSecond() < longPerSecond;
        Kind kind = isLong ? Kind.LONG : Kind.SHORT;
        int subjects = isLong ? LONG_SUBJECTS : SHORT_SUBJECTS;
        int subject = isLong && random.nextDouble() < hotFraction ? 0 : random.nextInt(subjects);
        int group = subject % (isLong ? LONG_GROUPS : SHORT_GROUPS);
        long uniqueTokens = Math.max(1, Math.round(kind.meanUniqueTokens * Demand.exponential(random)));
        List<String> partIds = List.of(kind + "-f" + group, kind + "-s" + subject, "own-" + number);
        List<Long> lengths = new ArrayList<>(List.of(kind.groupTokens, kind.subjectTokens, uniqueTokens));
        int events = (int) Math.max(1, Math.round(kind.meanEvents * Demand.exponential(random)));
        return new Arrival(kind, new PromptShape(partIds.get(1), partIds, lengths), events);
    }
}
