package org.radishspan.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.routing.Awaited;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.virtual.VirtualTime;

/** One run of a policy: several routers with what each of them knows, over engines that all of them use. */
final class RoutingRun {
    private static final String SERVICE = "model";
    private static final long SECOND_MILLIS = 1_000;

    /** What a message between routers takes. */
    private static final long NOTICE_MILLIS = 2;

    /** What an event takes to the router. */
    private static final long ANSWER_MILLIS = 1;

    /** Requests of the first seconds find empty memories and are not counted. */
    private static final long WARM_UP_MILLIS = 10_000;

    private final VirtualTime time = new VirtualTime(0);
    private final RoutingLoad load;
    private final boolean learning;
    private final UniformRandomProvider random;
    private final Map<String, EngineModel> engines = new HashMap<>();
    private final List<TargetTable> routers = new ArrayList<>();
    private final List<RoutingPolicy> policies = new ArrayList<>();
    private final RoutingResult result;
    private long arrivals;

    RoutingRun(RoutingPolicy.Named policy, RoutingLoad load, RoutingFleet fleet, int routerCount, long seed) {
        this.load = load;
        this.learning = policy.learning();
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new RoutingResult(policy.name(), load.name());
        int engineCount = fleet.slowness().size();
        for (int i = 0; i < engineCount; i++) {
            engines.put("engine-" + i, new EngineModel(time, fleet.slowness().get(i)));
        }
        slowDown(fleet);
        for (int i = 0; i < routerCount; i++) {
            TargetTable table = new TargetTable();
            for (int j = 0; j < engineCount; j++) {
                table.register(new TargetEntry(
                        "engine-" + j, SERVICE, new Address("vm", j + 1), "domain-" + j % 3, 64, false, 0));
            }
            routers.add(table);
            policies.add(policy.factory().create(random, engines));
        }
    }

    private void slowDown(RoutingFleet fleet) {
        EngineModel first = engines.get("engine-0");
        if (first == null || fleet.slowedFromSeconds() == 0) {
            return;
        }
        long fromMillis = fleet.slowedFromSeconds() * SECOND_MILLIS;
        time.schedule(fromMillis, () -> first.multiplySlowness(fleet.slowedFactor()));
        time.schedule(
                fromMillis + fleet.slowedSeconds() * SECOND_MILLIS,
                () -> first.multiplySlowness(1 / fleet.slowedFactor()));
    }

    RoutingResult run(int seconds) {
        scheduleArrival();
        time.run(seconds * SECOND_MILLIS);
        engines.values().forEach(engine -> result.onEngine(engine.readTokens()));
        return result;
    }

    private void scheduleArrival() {
        long gapMillis = Math.round(Demand.exponential(random) * SECOND_MILLIS / load.perSecond());
        time.schedule(gapMillis, () -> {
            arrivals++;
            send(load.draw(random, arrivals), random.nextInt(routers.size()));
            scheduleArrival();
        });
    }

    private void send(RoutingLoad.Arrival arrival, int router) {
        TargetTable table = routers.get(router);
        long sentAtMillis = time.nowMillis();
        List<Target> candidates = table.candidates(SERVICE, Set.of(), sentAtMillis);
        Placement.Choice choice =
                policies.get(router).choose(candidates, arrival.shape(), arrival.kind().objectiveMillis, sentAtMillis);
        Target target = choice.target();
        Awaited awaited = table.await(choice, sentAtMillis);
        if (!learning) {
            awaited.end();
        }
        EngineModel engine = engines.get(target.name());
        if (engine == null) {
            throw new IllegalStateException("no engine named " + target.name());
        }
        long uncached = choice.uncachedTokens();
        table.onDispatched(target, sentAtMillis);
        table.addPendingPrompt(target, uncached);
        target.cachedParts().onRead(arrival.shape().sharedPartIds());
        announce(router, target.name(), uncached, arrival);
        RoutingResult.Answer answer = new RoutingResult.Answer(arrival, sentAtMillis);
        long found = engine.submit(arrival.shape(), arrival.events(), eventAtMillis -> {
            boolean first = answer.onEvent(eventAtMillis + ANSWER_MILLIS);
            if (first) {
                awaited.end();
                if (learning) {
                    long elapsedMillis = eventAtMillis + ANSWER_MILLIS - sentAtMillis;
                    table.onFirstEvent(target, choice.unreadTokens(), elapsedMillis, eventAtMillis);
                }
                table.removePendingPrompt(target, uncached);
                table.onLoad(target, engine.runningRequests(), engine.waitingRequests());
            }
            if (answer.complete()) {
                table.onFinished(target, true, eventAtMillis);
                if (learning) {
                    table.onAnswer(target, eventAtMillis - sentAtMillis, eventAtMillis);
                }
                if (sentAtMillis >= WARM_UP_MILLIS) {
                    result.onAnswer(answer);
                }
            }
        });
        if (sentAtMillis >= WARM_UP_MILLIS) {
            result.onSent(arrival, found);
        }
    }

    private void announce(int router, String targetName, long uncachedTokens, RoutingLoad.Arrival arrival) {
        time.schedule(NOTICE_MILLIS, () -> {
            for (int i = 0; i < routers.size(); i++) {
                Target target = routers.get(i).get(targetName);
                if (i != router && target != null) {
                    routers.get(i).addForeignPrompt(target, uncachedTokens, time.nowMillis());
                    target.cachedParts().onRead(arrival.shape().sharedPartIds());
                }
            }
        });
    }
}
