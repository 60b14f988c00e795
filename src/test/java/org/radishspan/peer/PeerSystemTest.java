package org.radishspan.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.radishspan.budget.Ledger;
import org.radishspan.proto.Hello;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LoadReport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.Strike;
import org.radishspan.routing.TargetTable.ListedVm;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Checks what a router derives from the heartbeats of its peers. */
public class PeerSystemTest {
    private static final int PARTITION = 0;

    private static final class Harness implements PeerLink, PeerSystem.Handlers {
        private final List<String> resets = new ArrayList<>();
        private final List<String> connected = new ArrayList<>();
        private final List<PeerMessage> sent = new ArrayList<>();
        private final List<String> silenceChanges = new ArrayList<>();
        private final PeerSystem peers =
                new PeerSystem(new PeerSystem.Self("vm-0", "vm-0-1", "a"), this, this, () -> 0, () -> 0);
        private long nowMillis;

        Harness(int others) {
            List<ListedVm> listed = new ArrayList<>();
            for (int i = 1; i <= others; i++) {
                listed.add(new ListedVm("vm-" + i, "router", "10.0.0." + i, 7200, "a", false, Set.of()));
            }
            peers.replace(listed);
        }

        private void heartbeat(String vm, boolean storeUnreachable) {
            peers.onMessage(
                    vm,
                    PeerMessage.newBuilder()
                            .setLoad(LoadReport.newBuilder()
                                    .setIncarnation(vm + "-1")
                                    .setStoreAway(storeUnreachable))
                            .build());
        }

        private void hello(String vm, String incarnation) {
            peers.onMessage(
                    vm,
                    PeerMessage.newBuilder()
                            .setHello(Hello.newBuilder().setVm(vm).setIncarnation(incarnation))
                            .build());
        }

        private void advance(long millis) {
            nowMillis += millis;
            peers.tick(nowMillis);
        }

        @Override
        public void send(Peer peer, PeerMessage message) {
            sent.add(message);
        }

        @Override
        public void reset(Peer peer) {
            resets.add(peer.vm());
        }

        @Override
        public boolean keepBill(String budget, Ledger.Settlement settlement) {
            return false;
        }

        @Override
        public void onShortage(String budget, long tokens) {}

        @Override
        public void onLedgerCall(String vm, LedgerCall call) {}

        @Override
        public void onLedgerAnswer(LedgerAnswer answer) {}

        @Override
        public void onLedgerNotice(int partition) {}

        @Override
        public void onStrike(Strike strike) {}

        @Override
        public void onConnected(String vm) {
            connected.add(vm);
        }

        @Override
        public void onRevision(long revision) {}

        @Override
        public void onSilenceChanged(String vm, boolean silent, long silentMillis) {
            silenceChanges.add(vm + (silent ? " silent" : " alive"));
        }

        @Override
        public void onProcessEnded(String incarnation) {}

        @Override
        public void onProcessAlive(String incarnation) {}
    }

    /** The router that commits changes of a ledger. */
    public static class Combiner {
        private static Harness withLivePeers() {
            Harness harness = new Harness(5);
            harness.advance(500);
            for (int i = 1; i <= 5; i++) {
                harness.heartbeat("vm-" + i, false);
            }
            return harness;
        }

        @Test
        public void isNoRouterThatCannotReachTheStore() {
            Harness harness = withLivePeers();
            for (int i = 0; i < 5; i++) {
                String combiner = harness.peers.table().combinerOf(PARTITION);
                if (combiner.isEmpty()) {
                    harness.peers.setStoreUnreachable(true);
                    continue;
                }
                harness.heartbeat(combiner, true);
                assertFalse(harness.peers.table().combinerOf(PARTITION).equals(combiner));
            }
        }

        @Test
        public void isThisRouterWhenNoRouterReachesTheStore() {
            Harness harness = withLivePeers();
            harness.peers.setStoreUnreachable(true);
            for (int i = 1; i <= 5; i++) {
                harness.heartbeat("vm-" + i, true);
            }
            assertEquals(harness.peers.table().combinerOf(PARTITION), "");
        }

        @Test
        public void thatCannotReachTheStoreReportsThisToItsPeersImmediately() {
            Harness harness = withLivePeers();
            harness.sent.clear();
            harness.peers.setStoreUnreachable(true);
            harness.advance(1);
            assertTrue(
                    harness.sent.stream().allMatch(message -> message.getLoad().getStoreAway()));
            assertEquals(harness.sent.size(), 5);
        }
    }

    /** Peers that become silent. */
    public static class Silent {
        @Test
        public void getANewConnectionAfterThreeMissedHeartbeats() {
            Harness harness = new Harness(2);
            harness.advance(500);
            harness.heartbeat("vm-1", false);
            harness.heartbeat("vm-2", false);
            for (int i = 0; i < 3; i++) {
                harness.advance(500);
                harness.heartbeat("vm-2", false);
            }
            assertEquals(harness.resets, List.of("vm-1"));
        }

        @Test
        public void thatMissOneAnswerKeepTheirConnection() {
            Harness harness = new Harness(1);
            harness.heartbeat("vm-1", false);
            harness.peers.onRequestTimeout("vm-1");
            harness.heartbeat("vm-1", false);
            harness.peers.onRequestTimeout("vm-1");
            assertEquals(harness.resets, List.of());
            harness.peers.onRequestTimeout("vm-1");
            assertEquals(harness.resets, List.of("vm-1"));
        }

        @Test
        public void areReportedOnceAtEachChange() {
            Harness harness = new Harness(1);
            harness.heartbeat("vm-1", false);
            harness.advance(500);
            harness.advance(500);
            assertEquals(harness.silenceChanges, List.of("vm-1 alive"));
            for (int i = 0; i < 5; i++) {
                harness.advance(500);
            }
            assertEquals(harness.silenceChanges, List.of("vm-1 alive", "vm-1 silent"));
        }
    }

    /** Connections that peers open. */
    public static class Connections {
        @Test
        public void areReportedOnceTheyAreIdentifiedUnlessOfAnEndedProcess() {
            Harness harness = new Harness(2);
            harness.hello("vm-1", "vm-1-1");
            harness.hello("vm-1", "vm-1-2");
            harness.hello("vm-1", "vm-1-1");
            harness.hello("unknown", "unknown-1");
            assertEquals(harness.connected, List.of("vm-1", "vm-1"));
        }
    }

    /** The start of all routers of a large deployment at the same moment. */
    public static class Start {
        /**
         * Guards against a burst of connections: 75 routers opened 5,550 connections in the second in which they
         * recovered from a loss of power.
         */
        @Test
        public void spreadsTheFirstHeartbeatsOverOneInterval() {
            Harness harness = new Harness(74);
            harness.advance(500);
            int first = harness.sent.size();
            assertTrue(first > 0 && first < 74 / 4, first + " messages in the first half second");
            for (int i = 0; i < 12; i++) {
                harness.advance(500);
            }
            assertTrue(harness.sent.size() >= 74, harness.sent.size() + " messages within seven seconds");
        }
    }
}
