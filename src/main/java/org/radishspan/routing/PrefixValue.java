package org.radishspan.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.routing.Placement.Choice;

/**
 * Chooses the target of a prompt by weighing the prefill time that a target saves, because it still holds the beginning
 * of the prompt, against the time until the answer starts there.
 *
 * <p>It addresses fleets in which a router sees a small part of all requests, and targets whose memory holds the shared
 * parts of a few dozen prompts. What a target holds is known for the requests of this router until their parts are
 * evicted. Requests of other routers are not known in large fleets, but all routers agree by rendezvous hashing on the
 * first targets for a shared part, so that a target's rank and the rate of the requests with the part give the
 * probability that the target holds it.
 */
final class PrefixValue {

    /** Estimates when a target starts an answer, by this router's record of its requests and its prompt cache. */
    @FunctionalInterface
    interface Estimator {
        /** Returns the estimate for a target. */
        Choice estimate(Target target, PromptShape prompt, long nowMillis);
    }

    /**
     * One choice to make.
     *
     * @param candidates the targets to choose from
     * @param prompt the prompt
     * @param objectiveMillis the time by which the first event is due; 0 if there is no objective
     * @param memoryTokens the tokens that fit into the memory of one target; 0 if that is not known
     * @param nowMillis the present time
     */
    record Query(
            List<Target> candidates, PromptShape prompt, long objectiveMillis, long memoryTokens, long nowMillis) {}

    /**
     * The rates of one prompt's shared parts in the fleet, and the targets that probably hold the last of them.
     *
     * @param perMilli for each shared part the requests per millisecond of all routers
     * @param unseenFraction the fraction of these requests that this router is not notified of
     * @param ranked the first targets by rendezvous hashing over the last shared part
     * @param evictionMillis the time in which a target with average load reads as many tokens as its memory holds
     */
    private record Shared(List<Double> perMilli, double unseenFraction, List<Target> ranked, double evictionMillis) {}

    /**
     * What a target saves and stores, in tokens.
     *
     * @param uncachedTokens the expected number of prompt tokens that the target has to read
     * @param reusedTokens the expected number of these tokens that a later prompt reuses
     */
    private record Reading(double uncachedTokens, double reusedTokens) {}

    /**
     * The number of targets, by rendezvous order, that are taken to hold a shared part. In 'bench routing' with a hot part,
     * more of them made starts later: requests that the first two have no room for are better spread over others.
     */
    private static final int RANKED_TARGETS = 2;

    /** The fraction of the requests with a part that go to the second target, because the first has no room. */
    private static final double NEXT_FRACTION = 0.1;

    /** Upper bound of the time for which parts count as held: {@link PromptDemand} does not know longer times. */
    private static final double MAX_EVICTION_MILLIS = 60_000;

    private final IntSupplier routers;
    private final UniformRandomProvider random;
    private final PrefixWeights weights;
    private final PromptDemand demand = new PromptDemand();

    /**
     * Creates the choice of one router.
     *
     * @param routers the number of live routers, including this one
     */
    PrefixValue(IntSupplier routers, UniformRandomProvider random, PrefixWeights weights) {
        this.routers = routers;
        this.random = random;
        this.weights = weights;
    }

    /**
     * Returns the target with the lowest cost, or empty if there are no candidates. The choice counts as sent. Its
     * estimate and its uncached tokens include what the target probably holds.
     */
    Optional<Choice> choose(Query query, Estimator estimator) {
        List<Target> candidates = query.candidates();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        demand.onRequest(query.prompt(), query.nowMillis());
        Shared shared = shared(query);
        double meanWaiting = meanWaiting(candidates);
        Choice best = null;
        double bestCost = 0;
        for (Target candidate : considered(query, shared)) {
            evict(candidate, query, shared);
            Choice recorded = estimator.estimate(candidate, query.prompt(), query.nowMillis());
            Reading reading = reading(recorded, query, shared);
            Choice choice = withReading(recorded, reading, query.nowMillis());
            double cost = cost(choice, reading, meanWaiting, query);
            if (best == null || cost < bestCost) {
                best = choice;
                bestCost = cost;
            }
        }
        if (best != null) {
            demand.onRead(best.uncachedTokens(), query.nowMillis());
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns the targets to compare: those that requests with the last shared part go to, those that this router has sent
     * the part to, and some others at random.
     */
    private Set<Target> considered(Query query, Shared shared) {
        PromptShape prompt = query.prompt();
        Set<Target> considered = new LinkedHashSet<>(shared.ranked());
        for (Target candidate : query.candidates()) {
            if (prompt.sharedPartCount() > 0
                    && candidate.cachedParts.cachedLeadingParts(prompt.partIds()) >= prompt.sharedPartCount()) {
                considered.add(candidate);
            }
        }
        for (int i = 0; i < weights.otherChoices(); i++) {
            considered.add(
                    query.candidates().get(random.nextInt(query.candidates().size())));
        }
        return considered;
    }

    private double cost(Choice choice, Reading reading, double meanWaiting, Query query) {
        Target target = choice.target();
        double netReadTokens = reading.uncachedTokens() - reading.reusedTokens();
        double netReadMillis = netReadTokens * target.speed.readMillisPerToken(query.nowMillis());
        return weights.startCostMillis(choice.estimateMillis(), query.objectiveMillis())
                + weights.readCostMillis(netReadMillis, meanWaiting);
    }

    private static double meanWaiting(List<Target> candidates) {
        long waiting = 0;
        for (Target candidate : candidates) {
            waiting += candidate.queuedRequests;
        }
        return (double) waiting / candidates.size();
    }

    private static int requestsAt(Target target) {
        return Math.max(target.inFlight, target.expectedLoad()) + target.queuedRequests;
    }

    /** Returns a choice whose uncached tokens are those of a reading, and whose estimate is adapted to them. */
    private static Choice withReading(Choice recorded, Reading reading, long nowMillis) {
        Target target = recorded.target();
        double addedTokens = reading.uncachedTokens() - recorded.uncachedTokens();
        double addedMillis = addedTokens * target.speed.readMillisPerToken(nowMillis);
        return new Choice(
                target,
                recorded.estimateMillis() + addedMillis,
                Math.round(reading.uncachedTokens()),
                Math.max(0, Math.round(recorded.unreadTokens() + addedTokens)));
    }

    private Shared shared(Query query) {
        PromptShape prompt = query.prompt();
        int fleet = Math.max(1, routers.getAsInt());
        List<Double> perMilli = new ArrayList<>();
        for (int part = 0; part < prompt.sharedPartCount(); part++) {
            perMilli.add(fleet * demand.requestsPerMilli(prompt, part, query.nowMillis()));
        }
        boolean noticed = fleet <= Placement.MAX_NOTICE_PEERS + 1;
        return new Shared(
                perMilli,
                noticed ? 0 : (fleet - 1.0) / fleet,
                perMilli.isEmpty() ? List.of() : first(query.candidates(), prompt, RANKED_TARGETS),
                evictionMillis(query, fleet));
    }

    private double evictionMillis(Query query, int fleet) {
        double readPerTarget = fleet
                * demand.readTokensPerMilli(query.nowMillis())
                / query.candidates().size();
        if (query.memoryTokens() == 0 || readPerTarget == 0) {
            return MAX_EVICTION_MILLIS;
        }
        return Math.min(MAX_EVICTION_MILLIS, query.memoryTokens() / readPerTarget);
    }

    /** Returns the first targets by rendezvous hashing over the last shared part of a prompt, in their order. */
    private static List<Target> first(List<Target> candidates, PromptShape prompt, int count) {
        List<Target> first = new ArrayList<>(count + 1);
        for (Target candidate : candidates) {
            int position = first.size();
            while (position > 0 && ranksBefore(candidate, first.get(position - 1), prompt)) {
                position--;
            }
            if (position < count) {
                first.add(position, candidate);
            }
            if (first.size() > count) {
                first.remove(count);
            }
        }
        return first;
    }

    private static boolean ranksBefore(Target one, Target other, PromptShape prompt) {
        int rank = RendezvousRank.of(prompt.sharedPartHash(), one.nameHash);
        return Integer.compareUnsigned(rank, RendezvousRank.of(prompt.sharedPartHash(), other.nameHash)) > 0;
    }

    /** Updates the view of a target's prompt cache to what its memory still holds. */
    private void evict(Target target, Query query, Shared shared) {
        if (query.memoryTokens() == 0) {
            return;
        }
        target.cachedParts.evictBeyond(freeTokens(target, query));
        if (shared.unseenFraction() > 0) {
            target.cachedParts.evictUnusedSince(query.nowMillis() - evictionMillis(target, query, shared));
        }
    }

    /** Returns the memory that the requests at a target leave for its prompt cache. */
    private double freeTokens(Target target, Query query) {
        return query.memoryTokens() - requestsAt(target) * demand.meanPromptTokens();
    }

    /** Returns for how long a part stays in the memory of a target after its last use. */
    private double evictionMillis(Target target, Query query, Shared shared) {
        double fraction = query.memoryTokens() == 0 ? 1 : freeTokens(target, query) / query.memoryTokens();
        return Math.max(0, fraction) * shared.evictionMillis();
    }

    /** Returns for how long a target has run, as far as this router knows. */
    private static double runningMillis(Target target, long nowMillis) {
        return target.registeredAtMillis == 0
                ? MAX_EVICTION_MILLIS
                : Math.max(0, nowMillis - target.registeredAtMillis);
    }

    /**
     * Returns whether a target has the memory for a prompt. A target without a free slot does, and its wait is part of the
     * start time: if it gave no reuse, prompts would leave the targets that hold them whenever all targets are busy.
     */
    private boolean hasMemory(Target target, Query query) {
        return query.memoryTokens() == 0
                || freeTokens(target, query) >= query.prompt().tokens();
    }

    private Reading reading(Choice recorded, Query query, Shared shared) {
        PromptShape prompt = query.prompt();
        Target target = recorded.target();
        if (!hasMemory(target, query)) {
            return new Reading(prompt.tokens(), 0);
        }
        double evictionMillis = evictionMillis(target, query, shared);
        double heldMillis = Math.min(evictionMillis, runningMillis(target, query.nowMillis()));
        double uncachedTokens = recorded.uncachedTokens();
        double reusedTokens = 0;
        double held = 0;
        double reused = 0;
        int cached = target.cachedParts.cachedLeadingParts(prompt.partIds());
        // A target that holds a part also holds the parts before it, because they are used together.
        for (int part = prompt.sharedPartCount() - 1; part >= cached; part--) {
            double perMilli = requestsPerMilli(target, part, query, shared);
            held = Math.max(held, 1 - Math.exp(-perMilli * heldMillis * shared.unseenFraction()));
            reused = Math.max(reused, 1 - Math.exp(-perMilli * evictionMillis));
            uncachedTokens -= held * prompt.partTokens(part);
            reusedTokens += (1 - held) * reused * prompt.partTokens(part);
        }
        return new Reading(uncachedTokens, reusedTokens);
    }

    /**
     * Returns the requests per millisecond with a shared part that a target receives from all routers. Those with the last
     * shared part go to its ranked targets. Earlier parts are spread over all targets, as many last parts follow them.
     */
    private static double requestsPerMilli(Target target, int part, Query query, Shared shared) {
        double perMilli = shared.perMilli().get(part);
        if (part < shared.perMilli().size() - 1) {
            return perMilli / query.candidates().size();
        }
        int rank = shared.ranked().indexOf(target);
        return rank < 0 ? 0 : perMilli * Math.pow(NEXT_FRACTION, rank);
    }
}
