package org.radishspan.routing;

import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.MurmurHash3;
import org.apache.commons.rng.UniformRandomProvider;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Chooses targets by the time until they answer, as far as this router can tell.
 *
 * <p>Answers the load of many prompts that share leading parts: a target that has read the shared part saves its reading,
 * and all routers agree without messages on which target that should be, as they rank targets by the same hash. A target
 * with too much to read before it loses to the next one, so that one popular part does not overload one target.
 */
public final class Placement {

    /**
     * A prompt as placing sees it.
     *
     * @param sharedPartId the part by which targets are ranked; empty if there is none
     * @param partIds the parts in their order
     * @param partTokens the lengths of the parts
     */
    public record PromptShape(String sharedPartId, List<String> partIds, List<Long> partTokens) {
        /** Returns the leading parts that other prompts share; the last one belongs to this request alone. */
        public List<String> sharedPartIds() {
            return partIds.subList(0, Math.max(0, partIds.size() - 1));
        }

        private long tokens() {
            return partTokens.stream().mapToLong(Long::longValue).sum();
        }

        private long leadingTokens(int count) {
            return partTokens.stream().limit(count).mapToLong(Long::longValue).sum();
        }
    }

    /**
     * A target, and what spoke for it.
     *
     * @param target the target
     * @param estimateMillis the time until its answer starts, as far as this router can tell
     * @param uncachedTokens the prompt tokens that it has to read
     */
    public record Choice(Target target, double estimateMillis, long uncachedTokens) {}

    /** How fast engines read prompts, in tokens a millisecond; from the users' sheet of their engines. */
    private static final double READ_TOKENS_PER_MILLI = 30.9;

    /** What each request that runs beside adds to a step of an engine, in milliseconds; from the same sheet. */
    private static final double RUNNING_MILLIS = 0.5;

    /** What each request adds that already waits for a slot there: the usual time until one ends. */
    private static final double WAITING_MILLIS = 40;

    /** What the home of a shared part reads serves the prompts of all routers; by 'bench routing', which is flat from 2 to 8. */
    private static final double HOME_WEIGHT = 2.5;

    private final UniformRandomProvider random;

    /** Creates a placement. */
    public Placement(UniformRandomProvider random) {
        this.random = random;
    }

    /** Returns the best target for a prompt; empty if there are no candidates. */
    public Optional<Choice> choose(List<Target> candidates, PromptShape prompt, long nowMillis) {
        Target home = home(candidates, prompt).orElse(null);
        Choice best = null;
        double bestCost = 0;
        for (Target candidate : candidates) {
            Choice choice = estimate(candidate, prompt, nowMillis);
            double cost = choice.estimateMillis() - (home == candidate ? homeBonusMillis(candidate, prompt) : 0);
            if (best == null || cost < bestCost) {
                best = choice;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns what speaks for the target that ranks first beyond its estimate: other routers send the shared parts there as
     * well, so what it reads of them now is read for all, and it may have read them already.
     */
    private static double homeBonusMillis(Target target, PromptShape prompt) {
        int shared = Math.max(0, prompt.partIds().size() - 1);
        int known = Math.min(shared, target.cachedParts.leadingParts(prompt.partIds()));
        return HOME_WEIGHT * (prompt.leadingTokens(shared) - prompt.leadingTokens(known)) / READ_TOKENS_PER_MILLI;
    }

    /** Returns the target that ranks first for the shared part of a prompt; empty if there are no candidates. */
    public static Optional<Target> home(List<Target> candidates, PromptShape prompt) {
        Target first = null;
        long firstRank = 0;
        for (Target candidate : candidates) {
            long rank = rank(candidate, prompt);
            if (first == null || rank > firstRank) {
                first = candidate;
                firstRank = rank;
            }
        }
        return Optional.ofNullable(first);
    }

    private static long rank(Target target, PromptShape prompt) {
        byte[] bytes = (prompt.sharedPartId() + "/" + target.name()).getBytes(UTF_8);
        return Integer.toUnsignedLong(MurmurHash3.hash32x86(bytes, 0, bytes.length, 0));
    }

    private static Choice estimate(Target target, PromptShape prompt, long nowMillis) {
        long uncached = uncachedTokens(target, prompt);
        double unread = target.pendingPromptTokens + foreignPromptTokens(target, nowMillis) + uncached;
        double estimate = unread / READ_TOKENS_PER_MILLI + crowdMillis(target);
        return new Choice(target, estimate, uncached);
    }

    /** Returns the tokens of a prompt that a target, as far as this router can tell, has yet to read. */
    public static long uncachedTokens(Target target, PromptShape prompt) {
        int known = target.cachedParts.leadingParts(prompt.partIds());
        return prompt.tokens() - prompt.leadingTokens(known);
    }

    /** Returns the prompt tokens of other routers that a target cannot have read yet. */
    static double foreignPromptTokens(Target target, long nowMillis) {
        double read = (nowMillis - target.foreignAtMillis) * READ_TOKENS_PER_MILLI;
        return Math.max(0, target.foreignPromptTokens - read);
    }

    private static double crowdMillis(Target target) {
        int running = Math.max(target.inFlight, target.expectedLoad());
        return running * RUNNING_MILLIS + target.waitingThere * WAITING_MILLIS;
    }

    /** Returns the least loaded target for a request without a prompt, the nearer one when equal. */
    public Optional<Choice> choose(List<Target> candidates, String failureDomain) {
        Target best = null;
        double bestLoad = 0;
        for (Target candidate : candidates) {
            double load = load(candidate, failureDomain) + random.nextDouble() * TIE_NOISE;
            if (best == null || load < bestLoad) {
                best = candidate;
                bestLoad = load;
            }
        }
        return best == null ? Optional.empty() : Optional.of(new Choice(best, bestLoad, 0));
    }

    /** Spreads equal targets. */
    private static final double TIE_NOISE = 0.1;

    /** What a request to another failure domain costs, in requests in progress: one way takes about a millisecond. */
    private static final double OTHER_DOMAIN_LOAD = 0.3;

    private static double load(Target target, String failureDomain) {
        double load = Math.max(target.inFlight, target.expectedLoad()) + target.waitingThere;
        return load + (target.failureDomain.equals(failureDomain) ? 0 : OTHER_DOMAIN_LOAD);
    }
}
