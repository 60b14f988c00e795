package org.radishspan.front;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

import org.radishspan.deployment.VmSettings;
import org.radishspan.error.Failure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests evacuations, cold targets and regions in a simulated deployment under load and with one fault at a time. */
public class PlacesFleetTest {
    private static final VmSettings.Features PLACES = new VmSettings.Features(true, false);
    private static final long STARTUP_MILLIS = 15_000;

    /** Bound in the settings of the fleet, counted from the store's answer to the operator. */
    private static final long EVACUATION_MILLIS = 5_000;

    private static final double MAX_REFUSED_FRACTION = 0.01;

    /** Returns a deployment like the users' with evacuations: 88 routers in three failure domains. */
    private static FrontFleet largeFleet(VmSettings.Features features) {
        return new FrontFleet(new FrontFleet.Layout(88, 3, 10, 208, 500, 1_250, 500), 1, features);
    }

    private static FrontFleet smallFleet() {
        return new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, 500, 125_000, 200), 1, PLACES);
    }

    private static int arrivals(FrontFleet fleet, List<String> targets, long fromMillis) {
        return targets.stream()
                .mapToInt(target -> fleet.targets().arrivals(target, fromMillis, fleet.nowMillis()))
                .sum();
    }

    private static List<String> targetsOf(Map<String, List<String>> targets, String failureDomain) {
        return Objects.requireNonNull(targets.get(failureDomain), failureDomain);
    }

    private static Set<Integer> allRouters(int routers) {
        return new TreeSet<>(IntStream.range(0, routers).boxed().toList());
    }

    private static void assertRefusalsAreTrue(FrontFleet fleet) {
        assertTrue(
                fleet.refusals().stream()
                        .allMatch(refusal -> refusal.ran() == Failure.Ran.NO && refusal.retryAfterMillis() > 0),
                "refusals state that the request has not run, and the delay before a retry");
    }

    /** Evacuations of one failure domain. */
    public static class Evacuations {
        /** What is wrong when an operator evacuates a failure domain. */
        @FunctionalInterface
        private interface Fault {
            void apply(FrontFleet fleet, int routers);
        }

        private static void loseWatchers(FrontFleet fleet) {
            fleet.makeStoreRefuse(fleet.watchingRouters());
        }

        private static Set<Integer> failureDomain(int number, int routers) {
            Set<Integer> members = allRouters(routers);
            members.removeIf(router -> router % 3 != number);
            return members;
        }

        @DataProvider
        public Object[][] faults() {
            Fault refusedToSome = (fleet, routers) -> {
                Set<Integer> refused = new TreeSet<>(fleet.watchingRouters());
                IntStream.range(0, routers / 3).forEach(refused::add);
                fleet.makeStoreRefuse(refused);
            };
            return new Object[][] {
                {"none", (Fault) (fleet, routers) -> {}},
                {"the store refuses the watchers", (Fault) (fleet, routers) -> loseWatchers(fleet)},
                {
                    "the store is silent for the watchers",
                    (Fault) (fleet, routers) -> fleet.makeStoreSilentFor(fleet.watchingRouters())
                },
                {"the store refuses the watchers and a third of the routers", refusedToSome},
                {
                    "the store refuses all routers but one",
                    (Fault) (fleet, routers) -> {
                        Set<Integer> refused = allRouters(routers);
                        refused.remove(4);
                        fleet.makeStoreRefuse(refused);
                    }
                },
                {
                    "the store refuses a whole failure domain",
                    (Fault) (fleet, routers) -> fleet.makeStoreRefuse(failureDomain(1, routers))
                },
                {
                    "the store is silent for a whole failure domain",
                    (Fault) (fleet, routers) -> fleet.makeStoreSilentFor(failureDomain(2, routers))
                },
                {"a third of the messages are lost", (Fault) (fleet, routers) -> fleet.loseMessages(0.33)},
                {
                    "the watchers are killed",
                    (Fault) (fleet, routers) -> fleet.watchingRouters().forEach(vm -> fleet.kill(vm, 30_000))
                },
                {
                    "routers restart",
                    (Fault) (fleet, routers) -> IntStream.range(0, routers / 3).forEach(vm -> fleet.kill(vm, 700))
                },
                {"all VMs lose power", (Fault) (fleet, routers) -> fleet.powerOffAll(1_400)}
            };
        }

        /** Evacuates a failure domain some time after a fault. */
        private static void checkEvacuation(FrontFleet fleet, int routers, Fault fault, long afterMillis) {
            Map<String, List<String>> targets = fleet.addTargetsInDomains(90);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(3_000);
            List<String> evacuated = targetsOf(targets, "domain-1");
            assertTrue(arrivals(fleet, evacuated, 0) > 0, "the targets get requests before the evacuation");
            fault.apply(fleet, routers);
            fleet.runCalls(afterMillis);
            fleet.evacuate("domain-1");
            fleet.runCalls(EVACUATION_MILLIS);
            assertEquals(fleet.routersWithoutEvacuations(1), List.of(), "routers without the evacuation");
            long inForceMillis = fleet.nowMillis();
            fleet.runCalls(4_000);
            assertEquals(arrivals(fleet, evacuated, inForceMillis), 0, "requests after the evacuation");
            int others = arrivals(fleet, targetsOf(targets, "domain-2"), inForceMillis);
            assertTrue(others >= (routers > 6 ? 100 : 25), others + " requests to the targets of another domain");
            fleet.endEvacuation("domain-1");
            fleet.runCalls(EVACUATION_MILLIS);
            assertEquals(fleet.routersWithoutEvacuations(0), List.of(), "routers with the evacuation");
            // Where other targets have the prompts cached, requests may stay there. Without them they have to return.
            fleet.evacuate("domain-0");
            fleet.evacuate("domain-2");
            fleet.runCalls(EVACUATION_MILLIS);
            long othersEvacuatedMillis = fleet.nowMillis();
            fleet.runCalls(2_000);
            int returned = arrivals(fleet, evacuated, othersEvacuatedMillis);
            assertTrue(returned >= (routers > 6 ? 100 : 25), returned + " requests after the end of the evacuation");
            assertEquals(arrivals(fleet, targetsOf(targets, "domain-2"), othersEvacuatedMillis), 0);
        }

        @Test(dataProvider = "faults")
        public void areInForceEverywhereInTime(String name, Fault fault) {
            checkEvacuation(largeFleet(PLACES), 88, fault, 100);
        }

        /** Guards against routers that rely on a watcher which has lost the store a moment ago. */
        @Test(dataProvider = "faults")
        public void areInForceEverywhereInTimeSomewhatAfterTheFault(String name, Fault fault) {
            checkEvacuation(largeFleet(PLACES), 88, fault, 1_500);
        }

        /** In a small deployment no router watches the store for others. */
        @Test(dataProvider = "faults")
        public void areInForceEverywhereInASmallDeployment(String name, Fault fault) {
            checkEvacuation(smallFleet(), 6, fault, 100);
        }

        @Test
        public void refuseNoRequestsThatOtherTargetsCanServe() {
            FrontFleet fleet = largeFleet(PLACES);
            fleet.addTargetsInDomains(90);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(2_000);
            fleet.evacuate("domain-1");
            FrontFleet.Outcome outcome = fleet.runCalls(10_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }

        /** Guards against evacuations that end because the store no longer confirms them. */
        @Test
        public void holdWhileTheStoreIsUnavailable() {
            FrontFleet fleet = largeFleet(PLACES);
            Map<String, List<String>> targets = fleet.addTargetsInDomains(90);
            fleet.advance(STARTUP_MILLIS);
            fleet.evacuate("domain-1");
            fleet.runCalls(EVACUATION_MILLIS);
            long inForceMillis = fleet.nowMillis();
            fleet.makeStoreSilentFor(allRouters(88));
            fleet.runCalls(12_000);
            assertEquals(fleet.routersWithoutEvacuations(1), List.of());
            assertEquals(arrivals(fleet, targetsOf(targets, "domain-1"), inForceMillis), 0);
        }

        @Test
        public void followTheStoreAfterItCameBackFromAnOlderCopy() {
            FrontFleet fleet = largeFleet(PLACES);
            fleet.nameEras();
            fleet.addTargetsInDomains(30);
            fleet.advance(STARTUP_MILLIS);
            fleet.evacuate("domain-0");
            fleet.runCalls(2_000);
            fleet.copyStore();
            fleet.endEvacuation("domain-0");
            fleet.evacuate("domain-1");
            fleet.evacuate("domain-2");
            fleet.runCalls(EVACUATION_MILLIS);
            assertEquals(fleet.routersWithoutEvacuations(2), List.of());
            fleet.restoreStore();
            fleet.runCalls(EVACUATION_MILLIS);
            assertEquals(fleet.routersWithoutEvacuations(1), List.of(), "the copy has the first evacuation only");
            fleet.evacuate("domain-1");
            fleet.runCalls(EVACUATION_MILLIS);
            assertEquals(fleet.routersWithoutEvacuations(2), List.of());
        }

        @Test
        public void ofAllFailureDomainsMakeAllRequestsBeRefusedUntilTheyEnd() {
            FrontFleet fleet = smallFleet();
            fleet.addTargetsInDomains(12);
            fleet.advance(STARTUP_MILLIS);
            List.of("domain-0", "domain-1", "domain-2").forEach(fleet::evacuate);
            fleet.runCalls(EVACUATION_MILLIS);
            FrontFleet.Outcome refused = fleet.runCalls(2_000);
            assertEquals(refused.served(), 0);
            assertTrue(refused.refused() >= 95, refused.toString());
            assertRefusalsAreTrue(fleet);
            fleet.endEvacuation("domain-2");
            fleet.runCalls(EVACUATION_MILLIS);
            FrontFleet.Outcome served = fleet.runCalls(2_000);
            assertTrue(served.servedFraction() >= 1 - MAX_REFUSED_FRACTION, served.toString());
        }

        /** Guards against a fleet that does not serve any request because one list of the store cannot be read. */
        @Test
        public void thatCannotBeReadDelayReadinessForABoundedTime() {
            FrontFleet fleet = smallFleet();
            fleet.refuseKind("evacuations");
            fleet.powerOffAll(100);
            fleet.advance(2_500);
            assertEquals(fleet.routersNotReady().size(), 6, "routers wait for the list");
            fleet.advance(2_000);
            assertEquals(fleet.routersNotReady(), List.of());
            FrontFleet.Outcome outcome = fleet.runCalls(2_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }

        /** A router that restarts and cannot read the list itself gets it from the others. */
        @Test
        public void areInForceAtARestartedRouterThatCannotReadThem() {
            FrontFleet fleet = largeFleet(PLACES);
            Map<String, List<String>> targets = fleet.addTargetsInDomains(90);
            fleet.advance(STARTUP_MILLIS);
            fleet.evacuate("domain-1");
            fleet.runCalls(EVACUATION_MILLIS);
            long inForceMillis = fleet.nowMillis();
            fleet.refuseKind("evacuations");
            IntStream.range(0, 30).forEach(router -> fleet.kill(router, 300));
            fleet.runCalls(10_000);
            assertEquals(fleet.routersWithoutEvacuations(1), List.of());
            assertEquals(arrivals(fleet, targetsOf(targets, "domain-1"), inForceMillis), 0);
        }

        @Test
        public void underUnknownNamesHaveNoEffect() {
            FrontFleet fleet = smallFleet();
            fleet.addTargetsInDomains(12);
            fleet.advance(STARTUP_MILLIS);
            for (int i = 0; i < 300; i++) {
                fleet.evacuate("no-domain-" + i);
            }
            fleet.runCalls(EVACUATION_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(2_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }
    }

    /** The intervals at which routers tell each other about changes in the store. */
    public static class Intervals {
        private static KindFeed.Pace pace(long drainMillis, long evacuationMillis, boolean places) {
            return KindFeed.Pace.of(
                    new VmSettings.Bounds(8_000, drainMillis, 30_000, 3_000, 0.2, 10_000, 0, evacuationMillis, 1_200),
                    new VmSettings.Features(places, false));
        }

        /** Guards against updates that are too rare for evacuations where the other bounds are generous. */
        @Test
        public void followTheBoundForEvacuationsIfItIsTheStrictest() {
            assertEquals(pace(20_000, 5_000, true), KindFeed.Pace.of(5_000));
            assertEquals(pace(2_000, 5_000, true), KindFeed.Pace.of(2_000));
        }

        @Test
        public void areUnchangedWithoutTheFeature() {
            assertEquals(pace(20_000, 5_000, false), KindFeed.Pace.of(20_000));
        }
    }

    /** Calls to the store. */
    public static class StoreCalls {
        private static int calls(Map<String, Integer> calls, String kind) {
            return calls.entrySet().stream()
                    .filter(call -> call.getKey().endsWith(kind))
                    .mapToInt(Map.Entry::getValue)
                    .sum();
        }

        @Test
        public void forEvacuationsAreNotMadeWithoutTheFeature() {
            FrontFleet fleet = largeFleet(VmSettings.Features.NONE);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(3_000);
            assertEquals(calls(fleet.takeStoreCalls(), "evacuations"), 0);
        }

        /** Three routers watch on behalf of the others, each with one call in two seconds. */
        @Test
        public void forEvacuationsAreRareWithTheFeature() {
            FrontFleet fleet = largeFleet(PLACES);
            fleet.advance(STARTUP_MILLIS);
            fleet.takeStoreCalls();
            fleet.runCalls(20_000);
            int calls = calls(fleet.takeStoreCalls(), "evacuations");
            assertTrue(calls <= 36, calls + " calls in 20 s");
        }
    }

    /** Cold targets, which accept few requests from all routers together. */
    public static class ColdTargets {
        private static final double RATE = 5;
        private static final long COLD_MILLIS = 12_000;
        private static final double WINDOW_FACTOR = 1.5;
        private static final int WINDOW_SLACK = 5;

        /** Time until all routers know the entry of a target. */
        private static final long SETTLE_MILLIS = 3_000;

        private static FrontFleet fleet(FrontFleet fleet) {
            fleet.setServiceFields(", \"cold_per_s\": " + RATE, 2);
            fleet.addTargetsInDomains(30);
            fleet.advance(STARTUP_MILLIS);
            fleet.runCalls(2_000);
            return fleet;
        }

        private static void assertWithinLimit(FrontFleet fleet, String target, long fromMillis, long untilMillis) {
            int most = fleet.targets().maxArrivalsInWindow(target, fromMillis, untilMillis, 1_000);
            assertTrue(most <= WINDOW_FACTOR * RATE + WINDOW_SLACK, most + " requests in a second");
        }

        /** A fault during the cold time of a target. */
        @FunctionalInterface
        private interface ColdFault {
            void apply(FrontFleet fleet);
        }

        @DataProvider
        public Object[][] faults() {
            return new Object[][] {
                {"none", (ColdFault) fleet -> {}},
                {"no router receives a message from another", (ColdFault) fleet -> fleet.loseMessages(1)},
                {"the store refuses all routers", (ColdFault) fleet -> fleet.makeStoreRefuse(allRouters(88))},
                {
                    "routers restart",
                    (ColdFault) fleet -> IntStream.range(0, 30).forEach(router -> fleet.kill(router, 500))
                },
                {"all VMs lose power", (ColdFault) fleet -> fleet.powerOffAll(1_400)}
            };
        }

        @Test(dataProvider = "faults")
        public void getNoMoreThanTheyAcceptFromAllRouters(String name, ColdFault fault) {
            FrontFleet fleet = fleet(largeFleet(PLACES));
            long writtenMillis = fleet.nowMillis();
            fleet.writeColdTarget("cold", "domain-0", COLD_MILLIS);
            fleet.runCalls(2_000);
            fault.apply(fleet);
            fleet.runCalls(COLD_MILLIS - 2_000);
            assertWithinLimit(fleet, "cold", writtenMillis, writtenMillis + COLD_MILLIS - 1_000);
        }

        /** Guards against a cold target that is left idle, as few routers have a share of its limit. */
        @Test
        public void areWarmedUpByRequests() {
            FrontFleet fleet = fleet(largeFleet(PLACES));
            long writtenMillis = fleet.nowMillis();
            fleet.writeColdTarget("cold", "domain-0", COLD_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(COLD_MILLIS);
            int received = arrivals(fleet, List.of("cold"), writtenMillis);
            assertTrue(received >= COLD_MILLIS / 1_000, received + " requests in " + COLD_MILLIS + " ms");
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }

        /** The entry of a target that becomes cold again may be the same as the one of its start. */
        @Test
        public void areLimitedEachTimeTheyBecomeCold() {
            FrontFleet fleet = fleet(largeFleet(PLACES));
            for (int i = 0; i < 2; i++) {
                fleet.writeColdTarget("target-1", "domain-1", COLD_MILLIS);
                fleet.runCalls(SETTLE_MILLIS);
                long settledMillis = fleet.nowMillis();
                fleet.runCalls(COLD_MILLIS - SETTLE_MILLIS);
                assertWithinLimit(
                        fleet, "target-1", settledMillis, settledMillis + COLD_MILLIS - SETTLE_MILLIS - 1_000);
                int cold = fleet.targets().arrivals("target-1", settledMillis, fleet.nowMillis());
                assertTrue(cold <= RATE * (COLD_MILLIS - SETTLE_MILLIS) / 1_000 + WINDOW_SLACK, cold + " requests");
                fleet.runCalls(3_000);
            }
        }

        @Test
        public void areNotLimitedAfterwards() {
            FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, 500, 125_000, 200), 1, PLACES);
            fleet.setServiceFields(", \"cold_per_s\": " + RATE, 2);
            fleet.advance(STARTUP_MILLIS);
            fleet.writeColdTarget("target", "domain-0", COLD_MILLIS);
            fleet.runCalls(SETTLE_MILLIS);
            FrontFleet.Outcome cold = fleet.runCalls(COLD_MILLIS - SETTLE_MILLIS - 1_000);
            assertTrue(cold.served() >= 0.8 * RATE * (COLD_MILLIS - SETTLE_MILLIS - 1_000) / 1_000, cold.toString());
            assertTrue(cold.refused() > cold.served(), "the only target is cold: " + cold);
            assertRefusalsAreTrue(fleet);
            fleet.runCalls(2_000);
            FrontFleet.Outcome warm = fleet.runCalls(3_000);
            assertTrue(warm.servedFraction() >= 1 - MAX_REFUSED_FRACTION, warm.toString());
        }

        @Test
        public void areLikeOthersWithoutARate() {
            FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(6, 3, 10, 50, 500, 125_000, 200), 1, PLACES);
            fleet.advance(STARTUP_MILLIS);
            fleet.writeColdTarget("target", "domain-0", 60_000);
            FrontFleet.Outcome outcome = fleet.runCalls(5_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
        }
    }

    /** Allowed regions. In the settings of the fleet, domain-2 is in another region than the other failure domains. */
    public static class Regions {
        @Test
        public void limitWhereRequestsAreSent() {
            FrontFleet fleet = smallFleet();
            Map<String, List<String>> targets = fleet.addTargetsInDomains(12);
            fleet.setRouteFields(", \"allowed_regions\": [\"south\"]", 2);
            fleet.advance(STARTUP_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(4_000);
            assertTrue(outcome.servedFraction() >= 1 - MAX_REFUSED_FRACTION, outcome.toString());
            assertEquals(arrivals(fleet, targetsOf(targets, "domain-0"), 0), 0);
            assertEquals(arrivals(fleet, targetsOf(targets, "domain-1"), 0), 0);
        }

        @Test
        public void withoutTargetsMakeRequestsBeRefused() {
            FrontFleet fleet = smallFleet();
            fleet.setRouteFields(", \"allowed_regions\": [\"unknown\"]", 2);
            fleet.advance(STARTUP_MILLIS);
            FrontFleet.Outcome outcome = fleet.runCalls(2_000);
            assertEquals(outcome.served(), 0);
            assertFalse(fleet.refusals().isEmpty());
            assertRefusalsAreTrue(fleet);
        }
    }
}
