package org.radishspan.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of a request by the estimated time until its answer starts.
 *
 * <p>A target reads a prompt (prefill) before the answer starts. Many prompts share leading parts, and a target that has
 * a shared part in its prompt cache need not read it again. All routers agree, without exchanging messages, on the
 * target that prompts with the same shared part prefer, because each ranks the targets by the same rendezvous hash. The
 * preferred target only receives a bonus in the comparison of costs. If it has too many prompt tokens to read, another
 * target costs less and is chosen, so that a popular part does not overload one target.
 */
public final class Placement {

    /**
     * A target with the estimate on which its choice is based.
     *
     * @param target the target
     * @param estimateMillis the estimated time until the first event of the answer, based on the requests and reports that
     * this router has received
     * @param uncachedTokens the prompt tokens of this request that the target has to read
     * @param unreadTokens all prompt tokens that the target has to read before the first event, those of earlier
     * requests included
     */
    public record Choice(Target target, double estimateMillis, long uncachedTokens, long unreadTokens) {}

    /**
     * Maximum number of other routers for announcing prompts. Larger fleets do not announce them, because the number of
     * messages grows with the square of the number of routers.
     */
    public static final int MAX_NOTICE_PEERS = 16;

    /** The fraction by which each request in progress at a target lengthens the start time of another answer. */
    private static final double START_FRACTION_PER_REQUEST = 0.02;

    /**
     * Weight of the reading time that the preferred target saves other routers. Chosen by 'bench routing', whose
     * results hardly change from 2 to 8.
     */
    private static final double PREFERRED_WEIGHT = 3;

    /**
     * The fraction of the latency objective within which an estimated start is early enough. Estimates are often off by
     * half, so a start that is expected within two fifths of the objective is rarely late.
     */
    private static final double EARLY_START_FRACTION = 0.4;

    /** Weight of the start time below the early-start threshold, where an even earlier start hardly matters. */
    private static final double EARLY_START_WEIGHT = 0.1;

    /**
     * Weight of the reading time in addition to its share of the estimate, because reading delays the streams that run
     * at the same target.
     */
    private static final double READ_WEIGHT = 1;

    /** Maximum random addition to a load, which spreads requests over equally loaded targets. */
    private static final double TIE_BREAK_NOISE = 0.1;

    /**
     * Additional load of a target in another failure domain, as a number of requests in progress. It stands for the
     * network time of about a millisecond in each direction.
     */
    private static final double OTHER_DOMAIN_LOAD = 0.3;

    /**
     * Number of random candidates of which a request takes the best one where routers share their views. All of them see
     * the same loads, some tenths of a second old. If all took the best candidate, they would all send to it until the
     * next report.
     */
    static final int SAMPLE = 3;

    private final UniformRandomProvider random;
    private final @Nullable PrefixValue prefixValue;

    /** Creates a placement; {@code random} breaks ties between targets for requests without a prompt. */
    public Placement(UniformRandomProvider random) {
        this(random, null);
    }

    private Placement(UniformRandomProvider random, @Nullable PrefixValue prefixValue) {
        this.random = random;
        this.prefixValue = prefixValue;
    }

    /**
     * Creates a placement that weighs the prefill time saved against the time until the answer starts, by {@link
     * PrefixValue}.
     *
     * @param routers the number of live routers, including this one
     */
    public static Placement weighing(UniformRandomProvider random, IntSupplier routers, PrefixWeights weights) {
        return new Placement(random, new PrefixValue(routers, random, weights));
    }

    /**
     * Returns the best target for a prompt, or empty if there are no candidates.
     *
     * @param objectiveMillis the time by which the first event is due; 0 if there is no objective
     * @param memoryTokens the tokens that fit into the memory of one target; 0 if that is not known. Used only by a
     * placement that weighs the prefill time saved
     */
    public Optional<Choice> choose(
            List<Target> candidates, PromptShape prompt, long objectiveMillis, long memoryTokens, long nowMillis) {
        PrefixValue weighing = prefixValue;
        return weighing == null
                ? choose(candidates, prompt, objectiveMillis, nowMillis)
                : weighing.choose(
                        new PrefixValue.Query(candidates, prompt, objectiveMillis, memoryTokens, nowMillis),
                        Placement::estimate);
    }

    /**
     * Returns the candidates among which a request is to choose: all of them unless routers share their views. Otherwise
     * some random ones, those that this router knows to have the shared parts of the prompt cached, and the one that the
     * prompt prefers.
     */
    public List<Target> sample(List<Target> candidates, @Nullable PromptShape prompt, long nowMillis) {
        // A placement that weighs prefixes considers few targets for each prompt by itself.
        boolean weighed = prompt != null && prefixValue != null;
        if (weighed || candidates.size() <= SAMPLE || !candidates.get(0).load.sharedView(nowMillis)) {
            return candidates;
        }
        List<Target> sampled = new ArrayList<>();
        if (prompt != null && prompt.sharedPartCount() > 0) {
            Target preferred = preferredTarget(candidates, prompt).orElseThrow();
            for (Target candidate : candidates) {
                int cached = candidate.cachedParts.cachedLeadingParts(prompt.partIds());
                if (candidate == preferred || cached >= prompt.sharedPartCount()) {
                    sampled.add(candidate);
                }
            }
        }
        for (int i = 0; i < SAMPLE; i++) {
            Target candidate = candidates.get(random.nextInt(candidates.size()));
            if (!sampled.contains(candidate)) {
                sampled.add(candidate);
            }
        }
        return sampled;
    }

    /**
     * Returns the best target for a prompt, or empty if there are no candidates. The best target has the lowest cost: its
     * estimated start time, less the bonus of the preferred target. With a latency objective, start times below {@link
     * #EARLY_START_FRACTION} of it count little, and the time to read the uncached tokens of this prompt is added,
     * because that reading delays other requests.
     *
     * @param objectiveMillis the time by which the first event is due; 0 if there is no objective
     */
    public Optional<Choice> choose(List<Target> candidates, PromptShape prompt, long objectiveMillis, long nowMillis) {
        Target preferred = preferredTarget(candidates, prompt).orElse(null);
        double earlyStartMillis = EARLY_START_FRACTION * objectiveMillis;
        Choice best = null;
        double bestCost = 0;
        for (Target candidate : candidates) {
            Choice choice = estimate(candidate, prompt, nowMillis);
            double readMillis = choice.uncachedTokens() * candidate.speed.readMillisPerToken(nowMillis);
            double cost = Math.max(earlyStartMillis, choice.estimateMillis())
                    + EARLY_START_WEIGHT * Math.min(earlyStartMillis, choice.estimateMillis())
                    + (earlyStartMillis > 0 ? READ_WEIGHT * readMillis : 0)
                    - (preferred == candidate ? preferredBonusMillis(candidate, prompt, nowMillis) : 0);
            if (best == null || cost < bestCost) {
                best = choice;
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the bonus of the preferred target, in milliseconds. Other routers send prompts with the same shared parts
     * there too, so reading the parts that this router has not yet sent there serves all of them, and the target may
     * have read them already.
     */
    private static double preferredBonusMillis(Target target, PromptShape prompt, long nowMillis) {
        int shared = prompt.sharedPartCount();
        int cached = Math.min(shared, target.cachedParts.cachedLeadingParts(prompt.partIds()));
        long uncachedSharedTokens = prompt.leadingTokens(shared) - prompt.leadingTokens(cached);
        return PREFERRED_WEIGHT * uncachedSharedTokens * target.speed.readMillisPerToken(nowMillis);
    }

    /**
     * Returns the preferred target for the shared part of a prompt, which ranks first by rendezvous hashing; empty if
     * there are no candidates.
     */
    public static Optional<Target> preferredTarget(List<Target> candidates, PromptShape prompt) {
        Target first = null;
        int firstRank = 0;
        for (Target candidate : candidates) {
            int rank = RendezvousRank.of(prompt.sharedPartHash(), candidate.nameHash);
            if (first == null || Integer.compareUnsigned(rank, firstRank) > 0) {
                first = candidate;
                firstRank = rank;
            }
        }
        return Optional.ofNullable(first);
    }

    private static Choice estimate(Target target, PromptShape prompt, long nowMillis) {
        long uncached = uncachedTokens(target, prompt);
        long unread = Math.round(target.pendingPromptTokens + peerPromptTokens(target, nowMillis) + uncached);
        double startMillis = target.speed.startMillis(nowMillis);
        double estimate = startMillis
                + unread * target.speed.readMillisPerToken(nowMillis)
                + requestsInProgress(target, nowMillis) * START_FRACTION_PER_REQUEST * startMillis
                + target.queueMillis(nowMillis)
                + target.overdueMillis(nowMillis);
        // The correction for the prompts of other routers may be negative.
        return new Choice(target, Math.max(startMillis / 2, estimate), uncached, unread);
    }

    private static double requestsInProgress(Target target, long nowMillis) {
        return target.load.active()
                ? target.expectedRequests(nowMillis)
                : Math.max(target.inFlight, target.expectedLoad());
    }

    /**
     * Returns the tokens of a prompt that a target still has to read, according to this router's record of the target's
     * prompt cache.
     */
    public static long uncachedTokens(Target target, PromptShape prompt) {
        return prompt.tokens() - prompt.leadingTokens(target.cachedParts.cachedLeadingParts(prompt.partIds()));
    }

    /**
     * Returns the estimated number of prompt tokens sent by other routers that a target has not yet had time to read.
     */
    static double peerPromptTokens(Target target, long nowMillis) {
        if (target.peerPromptTokens == 0) {
            return 0;
        }
        double read = (nowMillis - target.peerPromptAtMillis) / target.speed.readMillisPerToken(nowMillis);
        return Math.max(0, target.peerPromptTokens - read);
    }

    /**
     * Returns the target with the lowest load for a request without a prompt, or empty if there are no candidates.
     * Other failure domains count as additional load.
     */
    public Optional<Choice> choose(List<Target> candidates, String failureDomain, long nowMillis) {
        Target best = null;
        double bestLoad = 0;
        for (Target candidate : candidates) {
            double load = load(candidate, failureDomain, nowMillis) + random.nextDouble() * TIE_BREAK_NOISE;
            if (best == null || load < bestLoad) {
                best = candidate;
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best).map(target -> withoutPrompt(target, nowMillis));
    }

    private static Choice withoutPrompt(Target target, long nowMillis) {
        if (target.load.active()) {
            double estimate = target.speed.startMillis(nowMillis) + target.queueMillis(nowMillis);
            return new Choice(target, estimate, 0, 0);
        }
        double queuedPerSlot = (double) target.queuedRequests / target.slots;
        return new Choice(target, (1 + queuedPerSlot) * target.speed.answerMillis(nowMillis), 0, 0);
    }

    /** Returns the load that a request meets at a target, in requests that run at the usual speed of the service. */
    private static double load(Target target, String failureDomain, long nowMillis) {
        double requests = 1 + target.expectedRequests(nowMillis);
        double overdueRequests = target.overdueMillis(nowMillis) / target.speed.answerMillis(nowMillis);
        return (requests + overdueRequests) * target.speed.slowness(nowMillis)
                + (target.failureDomain.equals(failureDomain) ? 0 : OTHER_DOMAIN_LOAD);
    }
}
