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
import org.radishspan.routing.PendingFirstEvent;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.virtual.VirtualTime;

/**
 * Runs one routing policy: several routers, each with a target table of its own, send prompts to a shared set of engines.
 */
final class RoutingRun {
    private static final String SERVICE = "model";
    private static final long SECOND_MILLIS = 1_000;

    /** The delay of a message between routers. */
    private static final long ROUTER_MESSAGE_MILLIS = 2;

    /** The delay of an event from an engine to the router. */
    private static final long EVENT_DELAY_MILLIS = 1;

    /** Requests of the first 10 seconds are not counted, since the caches of the engines are still empty then. */
    private static final long WARM_UP_MILLIS = 10_000;

    private final VirtualTime time = new VirtualTime(0);
    private final RoutingLoad load;
    private final boolean learnsSpeeds;
    private final UniformRandomProvider random;
    private final Map<String, EngineModel> engines = new HashMap<>();
    private final List<TargetTable> targetTables = new ArrayList<>();
    private final List<RoutingPolicy> policies = new ArrayList<>();
    private final RoutingResult result;
    private long arrivals;

    RoutingRun(RoutingPolicy.Named policy, RoutingLoad load, RoutingFleet fleet, int routerCount, long seed) {
        this.load = load;
        this.learnsSpeeds = policy.learnsSpeeds();
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.result = new RoutingResult(policy.name(), load.name());
        int engineCount = fleet.slowdowns().size();
        for (int i = 0; i < engineCount; i++) {
            engines.put("engine-" + i, new EngineModel(time, fleet.slowdowns().get(i)));
        }
        scheduleSlowdown(fleet);
        for (int i = 0; i < routerCount; i++) {
            TargetTable table = new TargetTable();
            for (int j = 0; j < engineCount; j++) {
                table.register(new TargetEntry(
                        "engine-" + j, SERVICE, new Address("vm", j + 1), "domain-" + j % 3, 64, false, 0));
            }
            targetTables.add(table);
            policies.add(policy.factory().create(random, engines));
        }
    }

    private void scheduleSlowdown(RoutingFleet fleet) {
        EngineModel firstEngine = engines.get("engine-0");
        if (firstEngine == null || fleet.slowdownFromSeconds() == 0) {
            return;
        }
        long fromMillis = fleet.slowdownFromSeconds() * SECOND_MILLIS;
        time.schedule(fromMillis, () -> firstEngine.multiplySlowdown(fleet.slowdownFactor()));
        time.schedule(
                fromMillis + fleet.slowdownSeconds() * SECOND_MILLIS,
                () -> firstEngine.multiplySlowdown(1 / fleet.slowdownFactor()));
    }

    RoutingResult run(int seconds) {
        scheduleArrival();
        time.run(seconds * SECOND_MILLIS);
        engines.values().forEach(engine -> result.addEngine(engine.prefilledTokens()));
        return result;
    }

    private void scheduleArrival() {
        long delayMillis = Math.round(Demand.exponential(random) * SECOND_MILLIS / load.promptsPerSecond());
        time.schedule(delayMillis, () -> {
            arrivals++;
            send(load.draw(random, arrivals), random.nextInt(targetTables.size()));
            scheduleArrival();
        });
    }

    private void send(RoutingLoad.Arrival arrival, int router) {
        TargetTable table = targetTables.get(router);
        long sentAtMillis = time.nowMillis();
        List<Target> candidates = table.candidates(SERVICE, Set.of(), sentAtMillis);
        Placement.Choice choice =
                policies.get(router).choose(candidates, arrival.shape(), arrival.kind().objectiveMillis, sentAtMillis);
        Target target = choice.target();
        PendingFirstEvent pending = table.expectFirstEvent(choice, sentAtMillis);
        if (!learnsSpeeds) {
            pending.end();
        }
        EngineModel engine = engines.get(target.name());
        if (engine == null) {
            throw new IllegalStateException("no engine named " + target.name());
        }
        long uncachedTokens = choice.uncachedTokens();
        table.onDispatched(target, sentAtMillis);
        table.addPendingPrompt(target, uncachedTokens);
        target.cachedParts().onRead(arrival.shape().sharedPartIds());
        notifyOtherRouters(router, target.name(), uncachedTokens, arrival);
        RoutingResult.Answer answer = new RoutingResult.Answer(arrival, sentAtMillis);
        long cachedTokens = engine.submit(arrival.shape(), arrival.events(), eventAtMillis -> {
            boolean first = answer.onEvent(eventAtMillis + EVENT_DELAY_MILLIS);
            if (first) {
                pending.end();
                if (learnsSpeeds) {
                    long elapsedMillis = eventAtMillis + EVENT_DELAY_MILLIS - sentAtMillis;
                    table.onFirstEvent(target, choice.unreadTokens(), elapsedMillis, eventAtMillis);
                }
                table.removePendingPrompt(target, uncachedTokens);
                table.onLoad(target, engine.runningRequests(), engine.waitingRequests());
            }
            if (answer.complete()) {
                table.onFinished(target, true, eventAtMillis);
                if (learnsSpeeds) {
                    table.onAnswer(target, eventAtMillis - sentAtMillis, eventAtMillis);
                }
                if (sentAtMillis >= WARM_UP_MILLIS) {
                    result.onAnswer(answer);
                }
            }
        });
        if (sentAtMillis >= WARM_UP_MILLIS) {
            result.onSent(arrival, cachedTokens);
        }
    }

    /** Informs the other routers, after the delay of a message, that a target has received a prompt. */
    private void notifyOtherRouters(int router, String targetName, long uncachedTokens, RoutingLoad.Arrival arrival) {
        time.schedule(ROUTER_MESSAGE_MILLIS, () -> {
            for (int i = 0; i < targetTables.size(); i++) {
                Target target = targetTables.get(i).get(targetName);
                if (i != router && target != null) {
                    targetTables.get(i).addPeerPrompt(target, uncachedTokens, time.nowMillis());
                    target.cachedParts().onRead(arrival.shape().sharedPartIds());
                }
            }
        });
    }
}
