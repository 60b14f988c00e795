package org.radishspan.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.vavr.control.Either;
import org.radishspan.bench.ShareFleet;
import org.radishspan.error.ErrorKind;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.TokensReserved;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Calls at a router that holds no share, and the routers that keep the budget. */
public class TokenClientTest {
    private static final long CALL_TOKENS = 100;

    /** A router without shares beside two that keep the budget. */
    private static final class Harness implements TokenClient.Keepers {
        private final ShareFleet fleet = new ShareFleet(
                2,
                100_000,
                new SharePolicy(8_000, 0.5, 0.9, 256, 800, 100, 500, 0),
                new SharePolicy.Tuning(0.1, 4, 0.25, 600_000, 0.8, 1, 1.2, 0.1, 1_000, 400, 200, 2_300, 0));
        private final Map<String, TokenKeeper> keepers = new HashMap<>();
        private final Deque<Runnable> messages = new ArrayDeque<>();
        private final List<String> asked = new ArrayList<>();
        private final List<String> unanswered = new ArrayList<>();
        private final List<Either<TokenSource.Refusal, TokenSource.Tokens>> results = new ArrayList<>();
        private final TokenClient client = new TokenClient("far-1", fleet.shares(0), this);
        private boolean answersLost;
        private boolean settlementsLost;
        private long nowMillis = 1_000;

        Harness() {
            for (int i = 0; i < 2; i++) {
                keepers.put("vm-" + i, new TokenKeeper(fleet.shares(i), this::answer));
            }
            fleet.serve(2_000, 100, CALL_TOKENS, false);
            pass(1_000);
        }

        private void answer(String vm, TokensReserved answer) {
            if (!answersLost) {
                messages.add(() -> client.onReserved(answer));
            }
        }

        private TokenKeeper keeper(String vm) {
            return Objects.requireNonNull(keepers.get(vm), vm);
        }

        private void call(long tokens) {
            client.reserve(ShareFleet.BUDGET, tokens, false, results::add);
            pass(20);
        }

        private void pass(long millis) {
            for (long passed = 0; passed < millis; passed += 10) {
                nowMillis += 10;
                while (!messages.isEmpty()) {
                    messages.remove().run();
                }
                keepers.values().forEach(keeper -> keeper.tick(nowMillis));
                client.tick(nowMillis);
                fleet.pass(10);
            }
        }

        private TokenSource.Tokens granted() {
            return results.get(results.size() - 1).get();
        }

        private long reserved(int router) {
            return Objects.requireNonNull(fleet.shares(router).table().get(ShareFleet.BUDGET))
                    .reservedTokens();
        }

        @Override
        public List<String> of(String budget) {
            return List.of("vm-0", "vm-1");
        }

        @Override
        public void reserve(String vm, ReserveTokens call) {
            asked.add(vm + (call.getMayWait() ? " waits" : ""));
            messages.add(() -> keeper(vm).onReserve("far", call));
        }

        @Override
        public void settle(String vm, SettleTokens settled) {
            if (!settlementsLost) {
                messages.add(() -> {
                    keeper(vm).onSettle(settled);
                    client.onSettled(settled.getCallId());
                });
            }
        }

        @Override
        public void onUnanswered(String vm) {
            unanswered.add(vm);
        }
    }

    /** Tokens of another router's share. */
    public static class OfAnotherRouter {
        @Test
        public void areReservedThereUntilTheCallIsBilled() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            assertEquals(harness.granted().keeper(), "vm-0");
            assertEquals(harness.reserved(0), CALL_TOKENS);
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.client.bill(harness.granted(), 60, safe -> {});
            harness.pass(1_000);
            assertEquals(harness.reserved(0), 0);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + 60);
            assertTrue(harness.client.idle());
        }

        @Test
        public void areFreeAgainWhenTheCallDidNotRun() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.client.cancel(harness.granted());
            harness.pass(100);
            assertEquals(harness.reserved(0), 0);
        }

        @Test
        public void areTakenFromTheNextKeeperWhereTheFirstHasTooFew() {
            Harness harness = new Harness();
            harness.fleet.cutStore(true);
            long most = Objects.requireNonNull(harness.fleet.shares(0).table().get(ShareFleet.BUDGET))
                    .availableTokens();
            harness.call(most);
            harness.call(CALL_TOKENS);
            assertEquals(harness.asked, List.of("vm-0", "vm-0", "vm-1"));
            assertEquals(harness.granted().keeper(), "vm-1");
        }

        @Test
        public void areWaitedForWhereNoKeeperHasThemNow() {
            Harness harness = new Harness();
            harness.call(30_000);
            harness.pass(800);
            assertEquals(harness.asked, List.of("vm-0", "vm-1", "vm-0 waits"));
            assertEquals(harness.granted().tokens(), 30_000);
        }

        /** Callers came back after 600 ms for tokens that were lost with a power loss, and were refused again. */
        @Test
        public void thatALossOfAllRoutersTookAreNotToldToComeBackSoon() {
            Harness harness = new Harness();
            harness.fleet.serve(8_000, 100, CALL_TOKENS, false);
            harness.fleet.killAll(20_000);
            AccountState account = harness.fleet.account();
            long spendable = Accounts.unspentTokens(account) - Accounts.forfeitedTokens(account);
            assertTrue(Accounts.forfeitedTokens(account) > 0);
            ShareSystem shares = harness.fleet.shares(0);
            assertTrue(shares.needsTopUp(ShareFleet.BUDGET, spendable + 1, false));
            assertFalse(shares.needsTopUp(ShareFleet.BUDGET, spendable - 1, false));
        }

        @Test
        public void areRefusedWithWhatTheKeeperKnowsOfTheBudget() {
            Harness harness = new Harness();
            harness.call(200_000);
            harness.pass(1_500);
            TokenSource.Refusal refusal = harness.results.get(0).getLeft();
            assertEquals(refusal.failure().kind(), ErrorKind.BUDGET_EXHAUSTED);
            assertTrue(refusal.unspentTokens().orElseThrow() < 100_000);
            assertTrue(refusal.untilTopUp());
        }
    }

    /** Messages that are lost. */
    public static class Lost {
        @Test
        public void answersFreeTheTokensAndLeadToTheNextKeeper() {
            Harness harness = new Harness();
            harness.answersLost = true;
            harness.call(CALL_TOKENS);
            assertEquals(harness.reserved(0), CALL_TOKENS);
            harness.pass(150);
            assertEquals(harness.unanswered, List.of("vm-0"));
            assertEquals(harness.asked, List.of("vm-0", "vm-1"));
            harness.pass(100);
            assertEquals(harness.reserved(0), 0);
        }

        @Test
        public void billsAreToldAgain() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.settlementsLost = true;
            harness.client.bill(harness.granted(), CALL_TOKENS, safe -> {});
            harness.pass(300);
            harness.settlementsLost = false;
            assertEquals(harness.reserved(0), CALL_TOKENS);
            harness.pass(500);
            assertEquals(harness.reserved(0), 0);
        }

        @Test
        public void billsThatComeTwiceCountOnce() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            SettleTokens settled = SettleTokens.newBuilder()
                    .setCallId(harness.granted().callId())
                    .setTokens(CALL_TOKENS)
                    .setIncarnation("far-1")
                    .build();
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.keeper("vm-0").onSettle(settled);
            harness.keeper("vm-0").onSettle(settled);
            harness.pass(1_000);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + CALL_TOKENS);
        }
    }

    /** Routers that end while calls use tokens of others. */
    public static class Ended {
        @Test
        public void routersAreBilledWithAllThatTheirCallsMayHaveUsed() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.keeper("vm-0").onProcessGone("far-1");
            harness.pass(1_000);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + CALL_TOKENS);
        }

        @Test
        public void callsOfWhichNothingIsHeardAreBilledAfterAMinute() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.settlementsLost = true;
            harness.pass(60_500);
            assertEquals(harness.reserved(0), 0);
        }

        @Test
        public void keepersRefuseWhileTheyStop() {
            Harness harness = new Harness();
            harness.keeper("vm-0").drain();
            harness.call(CALL_TOKENS);
            assertEquals(harness.granted().keeper(), "vm-1");
            assertFalse(harness.results.get(0).isLeft());
        }
    }
}
