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

/**
 * Tests limits that are adopted from configurations, and the reserve of them that remains in the ledger for waiting calls.
 */
public class PrepaidLimitTest {
    private static final GrantRule HALF_RESERVED = GrantRule.withReserve(0.5, 0, GrantRule.asRequested());

    private static LedgerBook apply(LedgerBook book, Mutation<LedgerBook> mutation) {
        Either<Failure, LedgerBook> result = mutation.apply(book);
        assertTrue(result.isRight(), String.valueOf(result));
        return result.get();
    }

    private static AccountState account(LedgerBook book) {
        return book.find("w").orElseThrow();
    }

    private static LedgerBook withLimit(long tokens) {
        return apply(LedgerBook.EMPTY, AccountChanges.adoptLimit("w", tokens, 3));
    }

    private static Ledger.GrantRequest request(String vm, long seq, long tokens, long minimumTokens) {
        return new Ledger.GrantRequest(
                vm + "-1.1",
                vm + "-1",
                vm,
                seq,
                tokens,
                minimumTokens,
                minimumTokens > 0 ? tokens : 0,
                0,
                List.of(),
                SpendingBound.getDefaultInstance());
    }

    /** Adoption of limits from configurations. */
    public static class Adopted {
        @Test
        public void followLaterVersionsAndIgnoreEarlierOnes() {
            LedgerBook book = withLimit(1_000);
            book = apply(book, AccountChanges.adoptLimit("w", 1_500, 5));
            book = apply(book, AccountChanges.adoptLimit("w", 1_200, 4));
            assertEquals(account(book).getLimitTokens(), 1_500);
        }

        @Test
        public void thatAreEqualStillRaiseTheVersion() {
            LedgerBook book = withLimit(1_000);
            book = apply(book, AccountChanges.adoptLimit("w", 1_000, 7));
            book = apply(book, AccountChanges.adoptLimit("w", 800, 5));
            assertEquals(account(book).getLimitTokens(), 1_000, "version 5 is older than version 7, which set 1,000");
        }

        @Test
        public void changeNothingWhenRepeated() {
            LedgerBook book = withLimit(1_000);
            assertEquals(apply(book, AccountChanges.adoptLimit("w", 1_000, 3)), book);
        }

        @Test
        public void belowTheGrantedTokensPreventFurtherGrants() {
            LedgerBook book =
                    apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 900, 0), GrantRule.asRequested()));
            book = apply(book, AccountChanges.adoptLimit("w", 500, 4));
            book = apply(book, Ledger.grant("w", request("b", 1, 100, 0), GrantRule.asRequested()));
            assertEquals(account(book).getShares(1).getGrantedTokens(), 0);
        }
    }

    /** The reserve of tokens for waiting calls. */
    public static class Reserve {
        @Test
        public void isNotGrantedToRequestsThatOnlyFillUp() {
            LedgerBook book = apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 900, 0), HALF_RESERVED));
            assertEquals(account(book).getShares(0).getGrantedTokens(), 500);
        }

        @Test
        public void isGrantedToWaitingCalls() {
            LedgerBook book = apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 900, 0), HALF_RESERVED));
            book = apply(book, Ledger.grant("w", request("b", 1, 400, 300), HALF_RESERVED));
            assertEquals(account(book).getShares(1).getGrantedTokens(), 400);
        }

        @Test
        public void isLimitedToTheDemandOfTheReserveTime() {
            GrantRule rule = GrantRule.withReserve(0.5, 2_000, GrantRule.asRequested());
            Ledger.GrantRequest request = new Ledger.GrantRequest(
                    "a-1.1", "a-1", "a", 1, 10, 0, 0, 100, List.of(), SpendingBound.getDefaultInstance());
            LedgerBook book = apply(withLimit(1_000), Ledger.grant("w", request, rule));
            book = apply(book, Ledger.grant("w", request("b", 1, 900, 0), rule));
            assertEquals(
                    account(book).getShares(1).getGrantedTokens(),
                    790,
                    "a demand of 100 tokens per second for two seconds must remain");
        }

        @Test
        public void isAFractionOfTheSpendableTokens() {
            LedgerBook book = apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 400, 0), HALF_RESERVED));
            book = apply(book, Ledger.closeEarlierShares(new Ledger.ProcessStart("a", "a-2", 0, 0)));
            book = apply(book, Ledger.grant("w", request("b", 1, 900, 0), HALF_RESERVED));
            long granted = Ledger.share(book, "w", "b-1.1").orElseThrow().getGrantedTokens();
            assertEquals(granted, 300, "half of the 600 spendable tokens");
        }
    }

    /** Shares of processes that have ended. */
    public static class Ended {
        @Test
        public void areClosedButStillCounted() {
            LedgerBook book =
                    apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 400, 0), GrantRule.asRequested()));
            book = apply(book, Ledger.closeEarlierShares(new Ledger.ProcessStart("a", "a-2", 0, 0)));
            assertEquals(Accounts.forfeitedTokens(account(book)), 400);
            assertEquals(
                    Accounts.freeTokens(account(book)),
                    600,
                    "tokens that may have been spent must not be granted again");
            assertTrue(Ledger.grant("w", request("a", 2, 100, 0), GrantRule.asRequested())
                    .apply(book)
                    .isLeft());
        }

        @Test
        public void onOtherVmsAreNotChanged() {
            LedgerBook book =
                    apply(withLimit(1_000), Ledger.grant("w", request("a", 1, 400, 0), GrantRule.asRequested()));
            assertEquals(apply(book, Ledger.closeEarlierShares(new Ledger.ProcessStart("b", "b-2", 0, 0))), book);
        }
    }
}
