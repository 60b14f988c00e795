package org.radishspan.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.radishspan.budget.Ledger;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.Strike;
import org.radishspan.routing.TargetTable.ListedVm;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Checks which routers {@link ShareKeepers} selects to keep a budget. */
public class ShareKeepersTest {
    private static final int ROUTERS = 75;
    private static final int DOMAINS = 3;

    private static final class NoHandlers implements PeerSystem.Handlers {
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
        public void onRevision(long revision) {}

        @Override
        public void onProcessEnded(String incarnation) {}

        @Override
        public void onProcessAlive(String incarnation) {}
    }

    private static String vm(int number) {
        return "vm-" + number;
    }

    private static String domain(int number) {
        return "domain-" + number % DOMAINS;
    }

    private static final class RouterView {
        private final int self;
        private final PeerSystem peers;
        private final ShareKeepers keepers;

        RouterView(int self) {
            this.self = self;
            PeerLink link = (Peer peer, PeerMessage message) -> {};
            peers = new PeerSystem(
                    new PeerSystem.Self(vm(self), vm(self) + "-1", domain(self)),
                    link,
                    new NoHandlers(),
                    () -> 0,
                    () -> 0);
            List<ListedVm> listed = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                listed.add(new ListedVm(vm(i), "router", "10.0.0." + i, 7_200, domain(i), false, Set.of()));
            }
            peers.replace(listed);
            peers.tick(1_000);
            keepers = new ShareKeepers(peers, vm(self));
            keepers.tick(1_000);
        }

        private Set<String> of(String budget) {
            Set<String> names = new HashSet<>();
            keepers.keepersOf(budget).forEach(vm -> names.add(vm.isEmpty() ? vm(self) : vm));
            return names;
        }
    }

    @Test
    public void areOneInEachFailureDomainAndTheSameForAllRouters() {
        Set<String> first = new RouterView(0).of("w");
        assertEquals(first.size(), DOMAINS);
        for (int i = 1; i < ROUTERS; i++) {
            assertEquals(new RouterView(i).of("w"), first);
        }
    }

    @Test
    public void areSpreadOverTheRouters() {
        RouterView view = new RouterView(0);
        Map<String, Integer> budgets = new HashMap<>();
        for (int i = 0; i < 24; i++) {
            view.of("w" + i).forEach(vm -> budgets.merge(vm, 1, Integer::sum));
        }
        int maximum =
                budgets.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(maximum <= 6, "a router keeps " + maximum + " of 24 budgets");
    }

    @Test
    public void ofTheSameFailureDomainComeFirst() {
        RouterView view = new RouterView(4);
        String first = view.keepers.keepersOf("w").get(0);
        int number = first.isEmpty() ? 4 : Integer.parseInt(first.substring("vm-".length()));
        assertEquals(domain(number), domain(4));
    }

    @Test
    public void thatDoNotAnswerAreReplacedForAWhile() {
        RouterView view = new RouterView(0);
        Set<String> before = view.of("w");
        String silent =
                before.stream().filter(vm -> !vm.equals(vm(0))).findFirst().orElseThrow();
        view.keepers.onTimeout(silent);
        assertEquals(view.of("w").size(), DOMAINS);
        assertFalse(view.of("w").contains(silent));
        view.peers.tick(3_100);
        view.keepers.tick(3_100);
        assertTrue(view.of("w").contains(silent));
    }

    @Test
    public void doNotIncludeADrainingRouter() {
        RouterView view = new RouterView(0);
        view.keepers.drain();
        for (int i = 0; i < 200; i++) {
            assertFalse(view.keepers.isLocalKeeper("w" + i));
        }
    }
}
