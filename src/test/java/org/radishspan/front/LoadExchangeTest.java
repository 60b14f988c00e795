package org.radishspan.front;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.log.EventLog;
import org.radishspan.peer.Peer;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.RequestTokens;
import org.radishspan.proto.TargetLoad;
import org.radishspan.proto.TargetLoads;
import org.radishspan.routing.FleetLoads;
import org.radishspan.routing.Placement;
import org.radishspan.routing.PromptShape;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.routing.TargetTable.ListedVm;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Checks how routers share the loads of targets, and what requests gain by it. */
public class LoadExchangeTest {
    private static final long WARM_UP_MILLIS = 4_000;
    private static final long MEASURED_MILLIS = 8_000;
    private static final long NO_MEMORY_LIMIT = Long.MAX_VALUE;

    private static void print(String name, LoadFleet fleet) {
        System.out.printf(
                "%s: answered %d, late %.3f, actual/estimate p10 %.2f p50 %.2f p90 %.2f, messages %d, bytes %d%n",
                name,
                fleet.answered(),
                fleet.lateFraction(),
                fleet.ratio(0.1),
                fleet.ratio(0.5),
                fleet.ratio(0.9),
                fleet.messages(),
                fleet.bytes());
    }

    /** A fleet of 75 routers and 98 engines of different speeds, with a load that moves from domain to domain. */
    public static class UnderLoad {
        private static final int DOMAINS = 4;

        /** The part of requests that may be refused although there is room for them, as in the tests of whole routers. */
        private static final double MAX_REFUSED_FRACTION = 0.01;

        private static LoadFleet fleet(boolean reportsPace) {
            LoadFleet fleet =
                    new LoadFleet(new LoadFleet.Layout(75, DOMAINS, 98, 12, NO_MEMORY_LIMIT, reportsPace, false), 1);
            fleet.startLoad(new LoadFleet.Kind(120, 2_890, 300, 1_500, 315));
            fleet.startLoad(new LoadFleet.Kind(270, 826, 300, 1_500, 257));
            fleet.run(WARM_UP_MILLIS);
            return fleet;
        }

        /**
         * Guards against late first events because each router knows an engine only from its own requests, about one in
         * 20 s, and against a herd: all routers choose the one engine that the shared view shows as the best.
         */
        @Test
        public void sharedLoadsMakeFewerFirstEventsLate() {
            LoadFleet alone = fleet(false);
            alone.measure(MEASURED_MILLIS);
            print("alone", alone);
            LoadFleet shared = fleet(true);
            shared.measure(MEASURED_MILLIS);
            print("shared", shared);
            assertTrue(shared.lateFraction() < alone.lateFraction() * 0.7, "late: " + shared.lateFraction());
            assertTrue(shared.ratio(0.5) > 0.7 && shared.ratio(0.5) < 1.4, "median ratio " + shared.ratio(0.5));
            assertTrue(shared.ratio(0.9) < 3, "90% of the ratios are up to " + shared.ratio(0.9));
        }

        /** Guards against views that are as old as without an exchange. */
        @Test
        public void reportsAreLessThanASecondOld() {
            LoadFleet fleet = fleet(true);
            assertTrue(fleet.medianAgeMillis("vm-7") < 1_000, "age " + fleet.medianAgeMillis("vm-7"));
        }

        /** Guards against control traffic that fills the links of small VMs, of 875 bytes per millisecond. */
        @Test
        public void messagesAreFewAndSmall() {
            LoadFleet fleet = fleet(true);
            fleet.measure(MEASURED_MILLIS);
            long seconds = MEASURED_MILLIS / 1_000;
            assertTrue(fleet.mostMessagesOfALink() <= 4 * seconds + 1, "messages " + fleet.mostMessagesOfALink());
            assertTrue(fleet.mostBytesOfARouter() <= 140_000 * seconds, "bytes of a hub " + fleet.mostBytesOfARouter());
        }

        /** Guards against a fleet that stays blind after the hub of a domain ended or fell silent. */
        @Test
        public void anotherRouterTakesOverFromALostHub() {
            LoadFleet fleet = fleet(true);
            String hub = fleet.hubOf(1);
            fleet.stop(hub);
            fleet.run(5_000);
            String member = hub.equals("vm-1") ? "vm-5" : "vm-1";
            assertTrue(fleet.medianAgeMillis(member) < 1_500, "age " + fleet.medianAgeMillis(member));
        }

        /** Guards against views of a domain that depend on another domain: each keeps its own reports in a cut. */
        @Test
        public void aCutDomainKeepsItsOwnReports() {
            LoadFleet fleet = fleet(true);
            fleet.setCut((from, to) -> number(from) % DOMAINS == 0 != (number(to) % DOMAINS == 0));
            fleet.run(4_000);
            long age = fleet.medianAgeMillis("vm-4");
            assertTrue(age > 300 && age < 3_000, "age in the cut domain " + age);
            assertTrue(fleet.medianAgeMillis("vm-5") < 1_000, "age elsewhere " + fleet.medianAgeMillis("vm-5"));
            fleet.setCut((from, to) -> false);
            fleet.run(8_000);
            assertTrue(fleet.medianAgeMillis("vm-4") < 1_000, "age after the cut " + fleet.medianAgeMillis("vm-4"));
        }

        /** Guards against messages that multiply: duplicates must not be forwarded more often than originals. */
        @Test
        public void duplicatesCauseNoFurtherMessages() {
            LoadFleet fleet = fleet(true);
            fleet.measure(2_000);
            int messages = fleet.messages();
            fleet.setDuplicates(3);
            fleet.measure(2_000);
            assertTrue(fleet.messages() <= messages * 1.1, messages + " and " + fleet.messages());
        }

        /**
         * Guards against slots that stay free while requests wait at their routers, because a full engine reports nothing
         * until another answer begins, and against queues at engines, because all routers use the same free slot.
         */
        @Test
        public void slotsStayInUseWhileRequestsWaitForThem() {
            LoadFleet fleet = new LoadFleet(new LoadFleet.Layout(83, DOMAINS, 98, 12, 1_000_000, true, true), 1);
            fleet.setWaitsForRoom();
            fleet.startLoad(new LoadFleet.Kind(700, 826, 300, 2_000, 2_007));
            fleet.run(WARM_UP_MILLIS);
            fleet.measure(MEASURED_MILLIS);
            print("more than the slots can take", fleet);
            System.out.printf(
                    "used slots %.3f, most waiting at an engine %d, waits %d%n",
                    fleet.usedSlotFraction(MEASURED_MILLIS), fleet.mostWaiting(), fleet.waits());
            double used = fleet.usedSlotFraction(MEASURED_MILLIS);
            assertTrue(used > 0.85, "used slots " + used);
            assertTrue(fleet.mostWaiting() <= 24, "waiting at an engine " + fleet.mostWaiting());
        }

        /** Guards against calls that wait at the router with most callers while engines have free slots. */
        @Test
        public void theRouterWithMostRequestsUsesTheFreeSlots() {
            LoadFleet fleet = new LoadFleet(new LoadFleet.Layout(83, 3, 98, 12, 1_000_000, true, true), 1);
            fleet.setWaitsForRoom();
            fleet.startLoad(new LoadFleet.Kind(400, 826, 300, 2_000, 2_007));
            fleet.startLoadAt("vm-7", new LoadFleet.Kind(200, 826, 300, 2_000, 2_007));
            fleet.run(WARM_UP_MILLIS);
            fleet.measure(MEASURED_MILLIS);
            print("a third of the requests at one router", fleet);
            double used = fleet.usedSlotFraction(MEASURED_MILLIS);
            double refused = (double) fleet.refused() / (fleet.answered() + fleet.refused());
            System.out.printf(
                    "used slots %.3f, refused %.3f, most waiting at an engine %d, waits %d%n",
                    used, refused, fleet.mostWaiting(), fleet.waits());
            assertTrue(used < 0.9, "the slots suffice for the load: " + used);
            assertTrue(refused <= MAX_REFUSED_FRACTION, "refused " + refused);
        }

        /** Guards against messages where targets report no pace: existing deployments must stay as they are. */
        @Test
        public void nothingIsSentWhereTargetsReportNoPace() {
            LoadFleet fleet = fleet(false);
            fleet.measure(2_000);
            assertEquals(fleet.messages(), 0);
        }

        private static int number(String vm) {
            return Integer.parseInt(vm.substring("vm-".length()));
        }
    }

    /** One router, whose messages are recorded. */
    public static class OneRouter {
        private final List<String> sent = new ArrayList<>();
        private final List<TargetLoads> messages = new ArrayList<>();

        private final class Harness {
            private final TargetTable table = new TargetTable();
            private final PeerSystem peers = new PeerSystem(
                    new PeerSystem.Self("vm-0", "vm-0-1", "a"), this::record, new NoPeerHandlers(), () -> 0, () -> 0);
            private final LoadExchange exchange =
                    new LoadExchange(table.loads(), peers, EventLog.silent(), new SimpleMeterRegistry());
            private long nowMillis = 1_000;

            Harness() {
                sent.clear();
                messages.clear();
                List<ListedVm> listed = new ArrayList<>();
                for (int i = 0; i < 6; i++) {
                    String domain = i % 2 == 0 ? "a" : "b";
                    listed.add(new ListedVm("vm-" + i, "router", "10.0.0." + i, 7_200, domain, false, Set.of()));
                }
                peers.replace(listed);
                register(1);
                peers.tick(nowMillis);
            }

            private void record(Peer peer, PeerMessage message) {
                if (message.hasTargetLoads()) {
                    sent.add(peer.vm());
                    messages.add(message.getTargetLoads());
                }
            }

            private Target register(long startedAtUnixMillis) {
                return table.register(
                        new TargetEntry("e", "llm", new Address("10.1.0.1", 80), "a", 12, false, startedAtUnixMillis));
            }

            private void receive(String vm, TargetLoads message) {
                exchange.onLoads(vm, message, nowMillis);
            }

            private void advance(long millis) {
                nowMillis += millis;
                peers.tick(nowMillis);
                exchange.tick(nowMillis);
            }

            private TargetLoads.Builder message(Target target, int pacePercent, int ageMillis) {
                return TargetLoads.newBuilder()
                        .addLoads(TargetLoad.newBuilder()
                                .setTarget(FleetLoads.key(target))
                                .setRunning(3)
                                .setPacePercent(pacePercent)
                                .setAgeMillis(ageMillis));
            }
        }

        /** Guards against a loop between routers that disagree about the hub: each would forward to the other for ever. */
        @Test
        public void whatAHubOfTheSameDomainForwardsIsNotForwarded() {
            Harness harness = new Harness();
            Target target = harness.register(1);
            harness.receive(
                    "vm-2", harness.message(target, 100, 5).setFromHub(true).build());
            harness.advance(1_000);
            harness.advance(1_000);
            assertEquals(sent, List.of());
            assertEquals(harness.table.loads().reportAgeMillis(target, harness.nowMillis), 2_005);
        }

        /** Guards against messages to every receiver four times a second although nothing has changed. */
        @Test
        public void withoutNewReportsNothingIsSent() {
            Harness harness = new Harness();
            Target target = harness.register(1);
            harness.table.onLoad(target, 2, 0, OptionalInt.of(100), harness.nowMillis);
            harness.advance(1_000);
            int first = sent.size();
            assertTrue(first > 0);
            for (int i = 0; i < 10; i++) {
                harness.advance(250);
            }
            assertEquals(sent.size(), first);
        }

        /** Guards against the load of an engine that has ended being taken for that of its successor of the same name. */
        @Test
        public void reportsOfAnotherIncarnationAreIgnored() {
            Harness harness = new Harness();
            Target before = harness.register(1);
            Target after = harness.register(2);
            harness.receive("vm-2", harness.message(before, 250, 5).build());
            assertTrue(harness.table.loads().reportAgeMillis(after, harness.nowMillis) > 1_000_000);
            harness.receive("vm-2", harness.message(after, 250, 5).build());
            assertEquals(harness.table.loads().reportAgeMillis(after, harness.nowMillis), 5);
        }

        /** Guards against an older report, which came by a longer way, that replaces a newer one. */
        @Test
        public void anOlderReportDoesNotReplaceANewerOne() {
            Harness harness = new Harness();
            Target target = harness.register(1);
            harness.receive("vm-2", harness.message(target, 100, 5).build());
            harness.receive("vm-2", harness.message(target, 250, 400).build());
            assertEquals(harness.table.loads().reportAgeMillis(target, harness.nowMillis), 5);
        }

        /** Guards against faulty figures of a peer: they must be bounded and must not stop the router. */
        @Test
        public void faultyMessagesAreBounded() {
            Harness harness = new Harness();
            Target target = harness.register(1);
            TargetLoads faulty = TargetLoads.newBuilder()
                    .addLoads(TargetLoad.newBuilder()
                            .setTarget(FleetLoads.key(target))
                            .setRunning(-1)
                            .setWaiting(Integer.MAX_VALUE)
                            .setPacePercent(Integer.MAX_VALUE)
                            .setAgeMillis(-5)
                            .setStartMicros(-7)
                            .setStartSamples(-1)
                            .setReadNanosPerToken(Integer.MAX_VALUE)
                            .setReadSamples(Integer.MAX_VALUE))
                    .setRequests(RequestTokens.newBuilder().setRequests(-1).setTokensSquared(Double.NaN))
                    .build();
            for (int i = 0; i < 3; i++) {
                harness.receive("vm-2", faulty);
                harness.advance(300);
            }
            double estimate = new Placement(RandomSource.XO_SHI_RO_256_PP.create(1))
                    .choose(List.of(target), new PromptShape("", List.of("p"), List.of(800L)), 0, harness.nowMillis)
                    .orElseThrow()
                    .estimateMillis();
            assertTrue(Double.isFinite(estimate) && estimate > 0, "estimate " + estimate);
            assertFalse(
                    harness.table.candidates("llm", Set.of(), harness.nowMillis).isEmpty());
        }

        /**
         * Guards against messages that cost too much of the 0.36 cores of a small VM. A hub gets 120 messages a second; at
         * 100 microseconds each they would take 1.2% of a core.
         */
        @Test
        public void aMessageOfAHundredLoadsIsCheapToApply() {
            Harness harness = new Harness();
            TargetLoads.Builder message = TargetLoads.newBuilder();
            for (int i = 0; i < 100; i++) {
                Target target = harness.table.register(
                        new TargetEntry("e-" + i, "llm", new Address("10.1.0.1", 80 + i), "a", 12, false, 1));
                message.addLoads(TargetLoad.newBuilder()
                        .setTarget(FleetLoads.key(target))
                        .setRunning(5)
                        .setPacePercent(100)
                        .setAgeMillis(20)
                        .setStartMicros(25_000));
            }
            TargetLoads loads = message.build();
            long bestNanos = Long.MAX_VALUE;
            for (int round = 0; round < 20; round++) {
                long startNanos = System.nanoTime();
                for (int i = 0; i < 100; i++) {
                    harness.nowMillis++;
                    harness.receive("vm-2", loads);
                }
                bestNanos = Math.min(bestNanos, System.nanoTime() - startNanos);
                harness.advance(300);
            }
            System.out.println("applying 100 loads takes " + bestNanos / 100_000 + " us");
            assertTrue(bestNanos / 100 < 300_000, bestNanos / 100 + " ns for a message");
        }
    }
}
