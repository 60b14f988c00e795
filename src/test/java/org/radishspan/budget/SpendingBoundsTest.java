package org.radishspan.budget;

import java.util.List;

import io.vavr.control.Either;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.SpendingBound;
import org.radishspan.store.SharedObject.Mutation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the spending bounds of routers: which tokens are freed after a router was killed, and what a router may spend. */
public class SpendingBoundsTest {
    private static final long BOOT_ID = 77;
    private static final long VALID_MILLIS = 2_000;

    private static SpendingBound bound(long usableTokens, long atMillis) {
        return SpendingBound.newBuilder()
                .setUsableTokens(usableTokens)
                .setBootId(BOOT_ID)
                .setAtMillis(atMillis)
                .setValidMillis(VALID_MILLIS)
                .build();
    }

    /** The ledger after a router was killed. */
    public static class AfterRouterKill {
        private static final String BUDGET = "w";

        private static LedgerBook apply(LedgerBook book, Mutation<LedgerBook> mutation) {
            Either<Failure, LedgerBook> result = mutation.apply(book);
            assertTrue(result.isRight(), String.valueOf(result));
            return result.get();
        }

        private static AccountState account(LedgerBook book) {
            return book.find(BUDGET).orElseThrow();
        }

        /** Returns a book in which a router holds 600 of 1,000 tokens, with a bound of 100. */
        private static LedgerBook bookWithShare() {
            LedgerBook book = apply(LedgerBook.EMPTY, AccountChanges.adoptLimit(BUDGET, 1_000, 1));
            Ledger.GrantRequest request =
                    new Ledger.GrantRequest("a-1.1", "a-1", "a", 1, 600, 0, 0, 0, List.of(), bound(100, 5_000));
            return apply(book, Ledger.grant(BUDGET, request, GrantRule.asRequested()));
        }

        private static LedgerBook withEarlierClosed(LedgerBook book, long bootId, long startMillis) {
            return apply(book, Ledger.closeEarlierShares(new Ledger.ProcessStart("a", "a-2", bootId, startMillis)));
        }

        @Test
        public void tokensBeyondAValidBoundAreFreeAgain() {
            LedgerBook book = withEarlierClosed(bookWithShare(), BOOT_ID, 5_000 + VALID_MILLIS - 1);
            assertEquals(Accounts.freeTokens(account(book)), 900);
            assertEquals(Accounts.forfeitedTokens(account(book)), 100);
        }

        @Test
        public void tokensStayCountedOnceTheBoundHasExpired() {
            LedgerBook book = withEarlierClosed(bookWithShare(), BOOT_ID, 5_000 + VALID_MILLIS);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        /**
         * Guards against freeing spent tokens after a power failure, when the boot id is the same as before although
         * the steady clock has started again. Found on the day hunt-b36c-39 of the deployment tamarind-fleet.
         */
        @Test
        public void tokensStayCountedWhereTheClockIsBehindTheBound() {
            LedgerBook book = withEarlierClosed(bookWithShare(), BOOT_ID, 5_000 - 1);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void tokensStayCountedAfterAnotherBoot() {
            LedgerBook book = withEarlierClosed(bookWithShare(), BOOT_ID + 1, 5_100);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void tokensStayCountedWhereTheBootIsNotKnown() {
            LedgerBook book = withEarlierClosed(bookWithShare(), 0, 5_100);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void theLatestStatedBoundCounts() {
            LedgerBook book = bookWithShare();
            book = apply(book, Ledger.settle(BUDGET, new Ledger.Settlement("a-1.1", 2, 50, 0, 0, bound(250, 6_000))));
            book = apply(book, Ledger.settle(BUDGET, new Ledger.Settlement("a-1.1", 3, 60, 0, 0, bound(150, 5_500))));
            book = withEarlierClosed(book, BOOT_ID, 6_500);
            assertEquals(
                    Accounts.forfeitedTokens(account(book)), 190, "the bound is 250 tokens, of which 60 are spent");
        }

        @Test
        public void aLateReturnOfTokensIsNotCountedTwice() {
            LedgerBook book = withEarlierClosed(bookWithShare(), BOOT_ID, 5_100);
            assertTrue(Ledger.giveBack(BUDGET, "a-1.1", 2, 400, 0).apply(book).isLeft());
            assertEquals(Accounts.freeTokens(account(book)), 900);
        }

        @Test
        public void aBoundNeverExceedsTheGrant() {
            LedgerBook book = apply(bookWithShare(), Ledger.giveBack(BUDGET, "a-1.1", 2, 550, 0));
            book = withEarlierClosed(book, BOOT_ID, 5_100);
            assertEquals(Accounts.forfeitedTokens(account(book)), 50);
        }
    }

    /** The limit up to which the router itself may spend. */
    public static class Limit {
        private final SpendingBounds bounds = new SpendingBounds();

        @Test
        public void isTheWholeGrantWithoutABound() {
            assertEquals(new SpendingBounds().limitTokens(600, 1_000), 600);
        }

        @Test
        public void isTheBoundUntilItExpires() {
            SpendingBounds spendingBounds = new SpendingBounds();
            SpendingBound bound = spendingBounds.recordStated(bound(100, 1_000));
            spendingBounds.onCommitted(bound, bound);
            assertEquals(spendingBounds.limitTokens(600, 2_999), 100);
            assertEquals(
                    spendingBounds.limitTokens(600, 3_000),
                    600,
                    "the bound has expired without a response of the ledger");
        }

        @Test
        public void isTheSmallestBoundThatMayBeInForce() {
            SpendingBound first = bounds.recordStated(bound(100, 1_000));
            bounds.onCommitted(first, first);
            SpendingBound second = bounds.recordStated(bound(300, 1_400));
            assertEquals(bounds.limitTokens(600, 1_500), 100, "the second change may not have been executed");
            assertEquals(bounds.limitTokens(600, 3_100), 300, "the second change may have been executed");
            bounds.onCommitted(second, second);
            assertEquals(bounds.limitTokens(600, 3_100), 300);
            assertEquals(bounds.limitTokens(600, 3_400), 600);
        }

        @Test
        public void isNotRaisedByADelayedResultOfAnEarlierChange() {
            SpendingBounds reordered = new SpendingBounds();
            SpendingBound first = reordered.recordStated(bound(300, 1_000));
            SpendingBound second = reordered.recordStated(bound(100, 1_100));
            reordered.onCommitted(second, second);
            reordered.onCommitted(first, first);
            assertEquals(reordered.limitTokens(600, 1_200), 100);
        }
    }
}
