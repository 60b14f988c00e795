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

/**
 * Tests {@link TokenClient} and {@link TokenKeeper}: calls at a router without a share use tokens of the keepers of the
 * budget.
 */
public class TokenClientTest {
    private static final long CALL_TOKENS = 100;

    /** The client of a router that is not a keeper, and two keepers of the budget. It is given the shares of vm-0. */
    private static final class Harness implements TokenClient.KeeperClient {
        private final ShareFleet fleet = new ShareFleet(
                2,
                100_000,
                new SharePolicy(8_000, 0.5, 0.9, 256, 800, 100, 500, 0),
                new SharePolicy.Tuning(0.1, 4, 0.25, 600_000, 0.8, 1, 1.2, 0.1, 1_000, 400, 200, 2_300, 0, 0));
        private final Map<String, TokenKeeper> keepers = new HashMap<>();
        private final Deque<Runnable> messages = new ArrayDeque<>();
        private final List<String> requests = new ArrayList<>();
        private final List<String> unanswered = new ArrayList<>();
        private final List<Either<TokenSource.Refusal, TokenSource.ReservedTokens>> results = new ArrayList<>();
        private final TokenClient client = new TokenClient("client-1", fleet.shares(0), this);
        private boolean responsesLost;
        private boolean settlementsLost;
        private long nowMillis = 1_000;

        Harness() {
            for (int i = 0; i < 2; i++) {
                keepers.put("vm-" + i, new TokenKeeper(fleet.shares(i), this::deliverResponse));
            }
            fleet.serve(2_000, 100, CALL_TOKENS, false);
            advance(1_000);
        }

        private void deliverResponse(String vm, TokensReserved response) {
            if (!responsesLost) {
                messages.add(() -> client.onReserved(response));
            }
        }

        private TokenKeeper keeper(String vm) {
            return Objects.requireNonNull(keepers.get(vm), vm);
        }

        private void call(long tokens) {
            client.reserve(ShareFleet.BUDGET, tokens, false, results::add);
            advance(20);
        }

        private void advance(long millis) {
            for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 10) {
                nowMillis += 10;
                while (!messages.isEmpty()) {
                    messages.remove().run();
                }
                keepers.values().forEach(keeper -> keeper.tick(nowMillis));
                client.tick(nowMillis);
                fleet.pass(10);
            }
        }

        private TokenSource.ReservedTokens lastTokens() {
            return results.get(results.size() - 1).get();
        }

        private long reservedTokens(int router) {
            return Objects.requireNonNull(fleet.shares(router).table().get(ShareFleet.BUDGET))
                    .reservedTokens();
        }

        @Override
        public List<String> keepersOf(String budget) {
            return List.of("vm-0", "vm-1");
        }

        @Override
        public void reserve(String vm, ReserveTokens call) {
            requests.add(vm + (call.getMayWait() ? " waiting" : ""));
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
        public void onTimeout(String vm) {
            unanswered.add(vm);
        }
    }

    /** Tokens in another router's share. */
    public static class OfAnotherRouter {
        @Test
        public void areReservedThereUntilTheCallIsBilled() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            assertEquals(harness.lastTokens().keeper(), "vm-0");
            assertEquals(harness.reservedTokens(0), CALL_TOKENS);
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.client.bill(harness.lastTokens(), 60, ignored -> {});
            harness.advance(1_000);
            assertEquals(harness.reservedTokens(0), 0);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + 60);
            assertTrue(harness.client.idle());
        }

        @Test
        public void areFreedWhenTheCallDidNotRun() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.client.cancel(harness.lastTokens());
            harness.advance(100);
            assertEquals(harness.reservedTokens(0), 0);
        }

        @Test
        public void areTakenFromTheNextKeeperIfTheFirstHasTooFew() {
            Harness harness = new Harness();
            harness.fleet.cutStore(true);
            long available = Objects.requireNonNull(
                            harness.fleet.shares(0).table().get(ShareFleet.BUDGET))
                    .availableTokens();
            harness.call(available);
            harness.call(CALL_TOKENS);
            assertEquals(harness.requests, List.of("vm-0", "vm-0", "vm-1"));
            assertEquals(harness.lastTokens().keeper(), "vm-1");
        }

        @Test
        public void areWaitedForIfNoKeeperHasThemAvailable() {
            Harness harness = new Harness();
            harness.call(30_000);
            harness.advance(800);
            assertEquals(harness.requests, List.of("vm-0", "vm-1", "vm-0 waiting"));
            assertEquals(harness.lastTokens().tokens(), 30_000);
        }

        /**
         * Guards against useless retries: refusals contained a retry time of 600 ms although a power failure had forfeited
         * the tokens, so each retry was refused again.
         */
        @Test
        public void thatWereForfeitedByALossOfAllRoutersNeedATopUp() {
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
        public void areRefusedWithTheFiguresOfTheKeeper() {
            Harness harness = new Harness();
            harness.call(200_000);
            harness.advance(1_500);
            TokenSource.Refusal refusal = harness.results.get(0).getLeft();
            assertEquals(refusal.failure().kind(), ErrorKind.BUDGET_EXHAUSTED);
            assertTrue(refusal.unspentTokens().orElseThrow() < 100_000);
            assertTrue(refusal.needsTopUp());
        }
    }

    /** Lost and repeated messages. */
    public static class Lost {
        @Test
        public void responsesFreeTheTokensAndLeadToTheNextKeeper() {
            Harness harness = new Harness();
            harness.responsesLost = true;
            harness.call(CALL_TOKENS);
            assertEquals(harness.reservedTokens(0), CALL_TOKENS);
            harness.advance(150);
            assertEquals(harness.unanswered, List.of("vm-0"));
            assertEquals(harness.requests, List.of("vm-0", "vm-1"));
            harness.advance(100);
            assertEquals(harness.reservedTokens(0), 0);
        }

        @Test
        public void settlementsAreSentAgain() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.settlementsLost = true;
            harness.client.bill(harness.lastTokens(), CALL_TOKENS, ignored -> {});
            harness.advance(300);
            harness.settlementsLost = false;
            assertEquals(harness.reservedTokens(0), CALL_TOKENS);
            harness.advance(500);
            assertEquals(harness.reservedTokens(0), 0);
        }

        @Test
        public void repeatedSettlementsCountOnce() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            SettleTokens settled = SettleTokens.newBuilder()
                    .setCallId(harness.lastTokens().callId())
                    .setTokens(CALL_TOKENS)
                    .setIncarnation("client-1")
                    .build();
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.keeper("vm-0").onSettle(settled);
            harness.keeper("vm-0").onSettle(settled);
            harness.advance(1_000);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + CALL_TOKENS);
        }
    }

    /** Routers that stop while calls use tokens of other routers. */
    public static class Stopped {
        @Test
        public void routersAreBilledAllReservedTokensOfTheirCalls() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            long billed = Accounts.billedTokens(harness.fleet.account());
            harness.keeper("vm-0").onProcessEnded("client-1");
            harness.advance(1_000);
            assertEquals(Accounts.billedTokens(harness.fleet.account()), billed + CALL_TOKENS);
        }

        @Test
        public void reservationsOfUnsettledCallsEndAfterAMinute() {
            Harness harness = new Harness();
            harness.call(CALL_TOKENS);
            harness.settlementsLost = true;
            harness.advance(60_500);
            assertEquals(harness.reservedTokens(0), 0);
        }

        @Test
        public void keepersRefuseCallsWhileDraining() {
            Harness harness = new Harness();
            harness.keeper("vm-0").drain();
            harness.call(CALL_TOKENS);
            assertEquals(harness.lastTokens().keeper(), "vm-1");
            assertFalse(harness.results.get(0).isLeft());
        }
    }
}
