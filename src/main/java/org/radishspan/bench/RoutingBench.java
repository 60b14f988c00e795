package org.radishspan.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Compares ways to place prompts: time to the first event, pauses, shared tokens read again, balance.
 *
 * <pre>{@code
 * boolean met = new RoutingBench(new PrintWriter(System.out, true), 1).run();
 * }</pre>
 */
public final class RoutingBench {
    /** The users' objective for a pause between two events. */
    private static final long PAUSE_OBJECTIVE_MILLIS = 400;

    private static final double PERCENTILE = 95;
    private static final double MEDIAN = 50;
    private static final int ROUTERS = 6;
    private static final int ENGINES = 13;
    private static final int SECONDS = 40;

    /** The policy whose figures are held against the objectives. */
    static final String OWN_POLICY = "placement";

    private static final Map<String, Function<UniformRandomProvider, RoutingPolicy>> POLICIES = policies();

    private final PrintWriter out;
    private final long seed;

    /** Creates a benchmark that prints its table. */
    public RoutingBench(PrintWriter out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    private static Map<String, Function<UniformRandomProvider, RoutingPolicy>> policies() {
        Map<String, Function<UniformRandomProvider, RoutingPolicy>> policies = new LinkedHashMap<>();
        policies.put("random", RoutingPolicy::random);
        policies.put("least loaded", RoutingPolicy::leastLoaded);
        policies.put("prefix only", random -> RoutingPolicy.prefixOnly());
        policies.put(OWN_POLICY, RoutingPolicy::placement);
        return policies;
    }

    /** Returns a day's usual traffic at the users' first site. */
    static RoutingLoad usual() {
        return new RoutingLoad("usual day", 22.6, 28.1, 0);
    }

    /** Returns that traffic with much of it about one subject. */
    static RoutingLoad hotSubject() {
        return new RoutingLoad("hot subject, 28%", 22.6, 28.1, 0.28);
    }

    /** Returns the heaviest traffic of the standard days. */
    static RoutingLoad burst() {
        return new RoutingLoad("burst, 1.7 times", 38.4, 47.8, 0);
    }

    /** Runs every policy on every load; returns whether the router's own placement meets the users' objectives. */
    public boolean run() {
        out.println(
                "| load | policy | kept | first event p50/p95 long | short | pause p95 | busiest/mean | read again |");
        out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        List<String> missed = new ArrayList<>();
        for (RoutingLoad load : List.of(usual(), hotSubject(), burst())) {
            for (String policy : POLICIES.keySet()) {
                RoutingResult result = result(policy, load);
                print(result);
                if (policy.equals(OWN_POLICY)) {
                    missed.addAll(missedObjectives(result));
                }
            }
        }
        missed.forEach(text -> out.println("missed: " + text));
        return missed.isEmpty();
    }

    /** Runs one policy on one load. */
    RoutingResult result(String policy, RoutingLoad load) {
        Function<UniformRandomProvider, RoutingPolicy> factory = POLICIES.get(policy);
        if (factory == null) {
            throw new IllegalArgumentException("no policy named " + policy + "; there are " + POLICIES.keySet());
        }
        return new RoutingRun(policy, load, factory, ROUTERS, ENGINES, seed).run(SECONDS);
    }

    /** Returns what of the users' objectives a result misses. */
    static List<String> missedObjectives(RoutingResult result) {
        List<String> missed = new ArrayList<>();
        for (RoutingLoad.Kind kind : RoutingLoad.Kind.values()) {
            long first = result.firstEventMillis(kind, PERCENTILE);
            if (first > kind.objectiveMillis) {
                missed.add(result.load() + ": first event of " + kind + " prompts " + first + " ms, objective "
                        + kind.objectiveMillis);
            }
        }
        long pause = result.pauseMillis(PERCENTILE);
        if (pause > PAUSE_OBJECTIVE_MILLIS) {
            missed.add(result.load() + ": pause " + pause + " ms, objective " + PAUSE_OBJECTIVE_MILLIS);
        }
        return missed;
    }

    private void print(RoutingResult result) {
        out.printf(
                Locale.ROOT,
                "| %s | %s | %.1f%% | %d/%d ms | %d/%d ms | %d ms | %.2f | %d |%n",
                result.load(),
                result.policy(),
                result.hitRate() * 100,
                result.firstEventMillis(RoutingLoad.Kind.LONG, MEDIAN),
                result.firstEventMillis(RoutingLoad.Kind.LONG, PERCENTILE),
                result.firstEventMillis(RoutingLoad.Kind.SHORT, MEDIAN),
                result.firstEventMillis(RoutingLoad.Kind.SHORT, PERCENTILE),
                result.pauseMillis(PERCENTILE),
                result.busiestOverMean(),
                result.readAgainTokens());
    }
}
