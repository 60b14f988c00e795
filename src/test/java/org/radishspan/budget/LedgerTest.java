package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.SpendingBound;
import org.radishspan.store.SharedObject.Mutation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

/** Tests the mutations of a ledger. */
public class LedgerTest {
    private static final String BUDGET = "budget";
    private static final String SHARE = "p1.1";
    private static final String OTHER_SHARE = "p2.1";

    private static AccountChanges.Operation operation(String id) {
        return new AccountChanges.Operation("someone", id, 1);
    }

    private static LedgerBook withLimit(long tokens) {
        return apply(
                LedgerBook.EMPTY,
                AccountChanges.create(BUDGET, tokens, AccountChanges.AccountPolicy.DEFAULT, operation("op-0")));
    }

    private static LedgerBook apply(LedgerBook state, Mutation<LedgerBook> mutation) {
        Either<Failure, LedgerBook> result = mutation.apply(state);
        assertTrue(result.isRight(), String.valueOf(result));
        assertSame(
                mutation.apply(result.get()).get(),
                result.get(),
                "a mutation that is applied again must change nothing");
        assertTrue(Accounts.freeTokens(account(result.get())) >= 0, "the grants exceed the limit");
        return result.get();
    }

    private static ErrorKind refusal(LedgerBook state, Mutation<LedgerBook> mutation) {
        return mutation.apply(state).getLeft().kind();
    }

    private static AccountState account(LedgerBook state) {
        return state.find(BUDGET).orElseThrow();
    }

    private static Mutation<LedgerBook> grant(String share, long seq, long tokens, String... holders) {
        return Ledger.grant(
                BUDGET,
                new Ledger.GrantRequest(
                        share,
                        share.substring(0, 2),
                        "vm",
                        seq,
                        tokens,
                        0,
                        0,
                        0,
                        List.of(holders),
                        SpendingBound.getDefaultInstance()),
                GrantRule.asRequested());
    }

    private static Ledger.Settlement settlement(String share, long seq, long spent) {
        return new Ledger.Settlement(share, seq, spent, 0, 0);
    }

    /** Changes of the limit of an account by operators. */
    public static class Limit {
        @Test
        public void isToppedUpOncePerOperationId() {
            LedgerBook state = apply(withLimit(100), AccountChanges.topUp(BUDGET, 50, operation("op-1")));
            assertEquals(account(state).getLimitTokens(), 150);
        }

        @Test
        public void cannotBeSetBelowTheGrantedTokens() {
            LedgerBook state = apply(withLimit(100), grant(SHARE, 1, 80));
            assertEquals(refusal(state, AccountChanges.setLimit(BUDGET, 79, operation("op-1"))), ErrorKind.CONFLICT);
            assertEquals(
                    account(apply(state, AccountChanges.setLimit(BUDGET, 80, operation("op-2"))))
                            .getLimitTokens(),
                    80);
        }

        @Test
        public void changesAreRecordedInTheAuditTrail() {
            LedgerBook state = apply(withLimit(100), AccountChanges.topUp(BUDGET, 50, operation("op-1")));
            List<String> changes = new ArrayList<>();
            state.audit().forEach(entry -> changes.add(entry.getBefore() + " > " + entry.getAfter()));
            assertEquals(changes, List.of(" > limit 100", "limit 100 > limit 150"));
        }
    }

    /** Grants and returns of shares. */
    public static class Shares {
        @Test
        public void neverHoldMoreThanTheLimitInTotal() {
            LedgerBook state = apply(withLimit(100), grant(SHARE, 1, 80));
            state = apply(state, grant(OTHER_SHARE, 1, 80));
            assertEquals(Accounts.freeTokens(account(state)), 0);
            assertEquals(account(state).getShares(1).getGrantedTokens(), 20);
        }

        @Test
        public void areNotRecreatedAfterTheyWereRetired() {
            LedgerBook state = apply(withLimit(100), grant(SHARE, 1, 80));
            state = apply(state, Ledger.retire(BUDGET, settlement(SHARE, 1, 10)));
            assertEquals(refusal(state, grant(SHARE, 2, 10)), ErrorKind.SHARE_LOST);
            assertEquals(account(state).getClosedSpentTokens(), 10);
        }

        @Test
        public void canOnlyGiveBackUnspentTokens() {
            LedgerBook state = apply(withLimit(100), grant(SHARE, 1, 80));
            state = apply(state, Ledger.settle(BUDGET, settlement(SHARE, 1, 30)));
            assertEquals(refusal(state, Ledger.giveBack(BUDGET, SHARE, 2, 60, 0)), ErrorKind.INTERNAL);
            state = apply(state, Ledger.giveBack(BUDGET, SHARE, 2, 50, 0));
            assertEquals(Accounts.freeTokens(account(state)), 70);
        }
    }

    /** Shares that were closed because their router process was considered dead. */
    public static class Closed {
        private static LedgerBook closedWithHolder() {
            LedgerBook state = apply(withLimit(100), grant(SHARE, 1, 80, "p2"));
            state = apply(state, Ledger.settle(BUDGET, settlement(SHARE, 1, 10)));
            return apply(state, Ledger.close("p1"));
        }

        @Test
        public void refuseBillsOfTheirOwnRouter() {
            LedgerBook state = closedWithHolder();
            assertEquals(refusal(state, Ledger.settle(BUDGET, settlement(SHARE, 2, 20))), ErrorKind.SHARE_LOST);
            assertEquals(refusal(state, grant(SHARE, 2, 1)), ErrorKind.SHARE_LOST);
        }

        @Test
        public void acceptBillsOfAHolderUntilItReleasesThem() {
            LedgerBook state = apply(closedWithHolder(), Ledger.settleHeld(BUDGET, "p2", settlement(SHARE, 2, 25)));
            assertEquals(Accounts.billedTokens(account(state)), 25);
            state = apply(state, Ledger.release("p2", List.of(SHARE)));
            assertEquals(
                    refusal(state, Ledger.settleHeld(BUDGET, "p2", settlement(SHARE, 3, 30))), ErrorKind.SHARE_LOST);
        }

        @Test
        public void returnUnspentTokensOnlyWhenSweptAndReleased() {
            LedgerBook swept = apply(closedWithHolder(), Ledger.postJournalBills(BUDGET, SHARE, List.of()));
            assertEquals(Accounts.forfeitedTokens(account(swept)), 70, "a holder may still have unposted bills");
            LedgerBook released = apply(closedWithHolder(), Ledger.release("p2", List.of(SHARE)));
            assertEquals(Accounts.forfeitedTokens(account(released)), 70, "a journal may still contain unposted bills");
            LedgerBook both = apply(swept, Ledger.release("p2", List.of(SHARE)));
            assertEquals(Accounts.forfeitedTokens(account(both)), 0);
            assertEquals(Accounts.freeTokens(account(both)), 90);
        }

        @Test
        public void countEachJournaledBillOnce() {
            LedgerBook state = closedWithHolder();
            state = apply(state, Ledger.settleHeld(BUDGET, "p2", new Ledger.Settlement(SHARE, 2, 10, 1, 5)));
            state = apply(
                    state,
                    Ledger.postJournalBills(
                            BUDGET, SHARE, List.of(new Ledger.KeyedBill(1, 5), new Ledger.KeyedBill(2, 7))));
            assertEquals(Accounts.billedTokens(account(state)), 22);
        }

        @Test
        public void withholdUnspentTokensUntilTheOperatorReleasesThem() {
            LedgerBook state = apply(
                    LedgerBook.EMPTY,
                    AccountChanges.create(
                            BUDGET, 100, new AccountChanges.AccountPolicy(ReclaimMode.OPERATOR, 0), operation("op-0")));
            state = apply(state, grant(SHARE, 1, 80));
            state = apply(state, Ledger.close("p1"));
            state = apply(state, Ledger.postJournalBills(BUDGET, SHARE, List.of()));
            assertEquals(Accounts.forfeitedTokens(account(state)), 80);
            state = apply(state, AccountChanges.releaseForfeit(BUDGET, SHARE, operation("op-1")));
            assertEquals(Accounts.freeTokens(account(state)), 100);
        }
    }

    /**
     * Guards against a ledger that grows without limit: shares of killed processes once stayed in the ledger forever, 95
     * bytes for each restart, VM and budget.
     */
    public static class KilledProcesses {
        @Test
        public void leaveOnlyASumInAccountsWithAnAdoptedLimit() {
            LedgerBook book = apply(LedgerBook.EMPTY, AccountChanges.adoptLimit(BUDGET, 10_000, 1));
            for (int processNumber = 1; processNumber <= 20; processNumber++) {
                String incarnation = "p" + processNumber % 10;
                book = apply(book, grant(incarnation + "." + processNumber, 1, 100));
                book = apply(
                        book,
                        Ledger.settle(BUDGET, new Ledger.Settlement(incarnation + "." + processNumber, 1, 40, 0, 0)));
                book = apply(book, Ledger.closeEarlierShares(new Ledger.ProcessStart("vm", "next", 0, 0)));
            }
            AccountState account = account(book);
            assertEquals(account.getSharesCount(), 0);
            assertEquals(Accounts.billedTokens(account), 20 * 40);
            assertEquals(Accounts.forfeitedTokens(account), 20 * 60);
            assertEquals(Accounts.freeTokens(account), 10_000 - 20 * 100);
        }
    }
}
