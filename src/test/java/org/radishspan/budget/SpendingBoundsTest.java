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

/** What a router that was killed leaves to others, and what it may spend for that. */
public class SpendingBoundsTest {
    private static final long BOOT = 77;
    private static final long VALID_MILLIS = 2_000;

    private static SpendingBound bound(long usableTokens, long atMillis) {
        return SpendingBound.newBuilder()
                .setUsableTokens(usableTokens)
                .setBootId(BOOT)
                .setAtMillis(atMillis)
                .setValidMillis(VALID_MILLIS)
                .build();
    }

    /** A ledger after a router was killed. */
    public static class AfterAKill {
        private static final String BUDGET = "w";

        private static LedgerBook apply(LedgerBook book, Mutation<LedgerBook> mutation) {
            Either<Failure, LedgerBook> result = mutation.apply(book);
            assertTrue(result.isRight(), String.valueOf(result));
            return result.get();
        }

        private static AccountState account(LedgerBook book) {
            return book.find(BUDGET).orElseThrow();
        }

        /** Returns a book in which a router holds 600 of 1,000 tokens and spends up to 100 before it reports. */
        private static LedgerBook held() {
            LedgerBook book = apply(LedgerBook.EMPTY, AccountChanges.adoptLimit(BUDGET, 1_000, 1));
            Ledger.GrantRequest request =
                    new Ledger.GrantRequest("a-1.1", "a-1", "a", 1, 600, 0, 0, 0, List.of(), bound(100, 5_000));
            return apply(book, Ledger.grant(BUDGET, request, GrantRule.asAsked()));
        }

        private static LedgerBook closed(LedgerBook book, long bootId, long startMillis) {
            return apply(book, Ledger.closeEarlier(new Ledger.ProcessStart("a", "a-2", bootId, startMillis)));
        }

        @Test
        public void tokensBeyondAValidBoundAreFreeAgain() {
            LedgerBook book = closed(held(), BOOT, 5_000 + VALID_MILLIS - 1);
            assertEquals(Accounts.freeTokens(account(book)), 900);
            assertEquals(Accounts.forfeitedTokens(account(book)), 100);
        }

        @Test
        public void tokensStayCountedOnceTheBoundHasRunOut() {
            LedgerBook book = closed(held(), BOOT, 5_000 + VALID_MILLIS);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        /** Regression: hunt-b36c-39 of tamarind-fleet, where the boot id is not new after a loss of power. */
        @Test
        public void tokensStayCountedWhereTheClockIsBehindTheBound() {
            LedgerBook book = closed(held(), BOOT, 5_000 - 1);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void tokensStayCountedAfterAnotherBoot() {
            LedgerBook book = closed(held(), BOOT + 1, 5_100);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void tokensStayCountedWhereTheBootIsNotKnown() {
            LedgerBook book = closed(held(), 0, 5_100);
            assertEquals(Accounts.freeTokens(account(book)), 400);
        }

        @Test
        public void theLatestStatementCounts() {
            LedgerBook book = held();
            book = apply(book, Ledger.settle(BUDGET, new Ledger.Settlement("a-1.1", 2, 50, 0, 0, bound(250, 6_000))));
            book = apply(book, Ledger.settle(BUDGET, new Ledger.Settlement("a-1.1", 3, 60, 0, 0, bound(150, 5_500))));
            book = closed(book, BOOT, 6_500);
            assertEquals(Accounts.forfeitedTokens(account(book)), 190, "250 usable, 60 spent");
        }

        @Test
        public void aLateReturnOfTokensIsNotCountedTwice() {
            LedgerBook book = closed(held(), BOOT, 5_100);
            assertTrue(Ledger.giveBack(BUDGET, "a-1.1", 2, 400, 0).apply(book).isLeft());
            assertEquals(Accounts.freeTokens(account(book)), 900);
        }

        @Test
        public void aBoundNeverExceedsTheGrant() {
            LedgerBook book = apply(held(), Ledger.giveBack(BUDGET, "a-1.1", 2, 550, 0));
            book = closed(book, BOOT, 5_100);
            assertEquals(Accounts.forfeitedTokens(account(book)), 50);
        }
    }

    /** What the router may spend meanwhile. */
    public static class Limit {
        private final SpendingBounds bounds = new SpendingBounds();

        @Test
        public void isTheWholeGrantWithoutABound() {
            assertEquals(new SpendingBounds().limitTokens(600, 1_000), 600);
        }

        @Test
        public void isTheBoundUntilItRunsOut() {
            SpendingBounds committed = new SpendingBounds();
            SpendingBound bound = committed.state(bound(100, 1_000));
            committed.onCommitted(bound, bound);
            assertEquals(committed.limitTokens(600, 2_999), 100);
            assertEquals(committed.limitTokens(600, 3_000), 600, "the ledger has been silent for the bound's time");
        }

        @Test
        public void isTheLeastThatMayBeInForce() {
            SpendingBound first = bounds.state(bound(100, 1_000));
            bounds.onCommitted(first, first);
            SpendingBound second = bounds.state(bound(300, 1_400));
            assertEquals(bounds.limitTokens(600, 1_500), 100, "the second may not have been executed");
            assertEquals(bounds.limitTokens(600, 3_100), 300, "the second may have been executed");
            bounds.onCommitted(second, second);
            assertEquals(bounds.limitTokens(600, 3_100), 300);
            assertEquals(bounds.limitTokens(600, 3_400), 600);
        }

        @Test
        public void isNotRaisedByAnAnswerThatOvertookALaterOne() {
            SpendingBounds answers = new SpendingBounds();
            SpendingBound first = answers.state(bound(300, 1_000));
            SpendingBound second = answers.state(bound(100, 1_100));
            answers.onCommitted(second, second);
            answers.onCommitted(first, first);
            assertEquals(answers.limitTokens(600, 1_200), 100);
        }
    }
}
