package org.radishspan.budget;

import java.util.List;

import org.radishspan.proto.AccountState;
import org.radishspan.proto.CommittedMark;
import org.radishspan.proto.RouterReport;
import org.radishspan.proto.ShareReport;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.SpendingBound;
import org.radishspan.store.StoreEra;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

/** Tests the content of a ledger while and after it is restored. */
public class LedgerRestorationTest {
    private static final String BUDGET = "w";
    private static final long LIMIT = 1_000;

    /** Returns a ledger in force in an era, with one budget. */
    private static LedgerBook inForce(long era) {
        LedgerBook book = LedgerRestoration.reconcile(LedgerBook.EMPTY, null, era);
        book = LedgerRestoration.finish(book.restoration().getRound())
                .apply(book)
                .get();
        return AccountChanges.adoptLimit(BUDGET, LIMIT, 1).apply(book).get();
    }

    private static LedgerBook granted(LedgerBook book, String vm, long requestSeq, long tokens) {
        Ledger.GrantRequest request = new Ledger.GrantRequest(
                vm + "-1.1",
                vm + "-1",
                vm,
                requestSeq,
                tokens,
                tokens,
                0,
                0,
                List.of(),
                SpendingBound.getDefaultInstance());
        return Ledger.grant(BUDGET, request, GrantRule.asRequested())
                .apply(book)
                .get();
    }

    private static RouterReport report(String vm, long requestSeq, long granted, long spent) {
        ShareState share = ShareState.newBuilder()
                .setShareId(vm + "-1.1")
                .setIncarnation(vm + "-1")
                .setVm(vm)
                .setRequestSeq(requestSeq)
                .setSettleSeq(requestSeq)
                .setGrantedTokens(granted)
                .setSpentTokens(spent)
                .build();
        return RouterReport.newBuilder()
                .setVm(vm)
                .setIncarnation(vm + "-1")
                .setReportSeq(requestSeq)
                .addShares(ShareReport.newBuilder()
                        .setBudget(BUDGET)
                        .setShare(share)
                        .setPledgedTokens(spent))
                .build();
    }

    private static LedgerBook apply(LedgerBook book, RouterReport report) {
        return LedgerRestoration.report(report).apply(book).get();
    }

    private static LedgerBook finish(LedgerBook book) {
        return LedgerRestoration.finish(book.restoration().getRound())
                .apply(book)
                .get();
    }

    private static AccountState account(LedgerBook book) {
        return book.find(BUDGET).orElseThrow();
    }

    private static long grantedTokens(LedgerBook book) {
        return account(book).getSharesList().stream()
                .mapToLong(ShareState::getGrantedTokens)
                .sum();
    }

    /** Tests which content replaces the stored one. */
    public static class Base {
        @Test
        public void isTheStoredContentWhereTheStoreNamesNoEra() {
            LedgerBook stored = granted(
                    AccountChanges.adoptLimit(BUDGET, LIMIT, 1)
                            .apply(LedgerBook.EMPTY)
                            .get(),
                    "a",
                    1,
                    100);
            assertSame(LedgerRestoration.reconcile(stored, null, StoreEra.UNKNOWN), stored);
        }

        @Test
        public void isTheStoredContentOfTheSameEra() {
            LedgerBook stored = inForce(1);
            assertSame(LedgerRestoration.reconcile(stored, null, 1), stored);
        }

        @Test
        public void isTheLaterContentThatTheRouterKnows() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            LedgerBook known = granted(copy, "a", 2, 300);
            LedgerBook restored = LedgerRestoration.reconcile(copy, known, 2);
            assertTrue(restored.isBeingRestored());
            assertEquals(grantedTokens(finish(restored)), 400);
        }

        /** Two routers begin, and the second one knows more. */
        @Test
        public void isReplacedWhenAnotherRouterKnowsMore() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            LedgerBook known = granted(copy, "a", 2, 300);
            LedgerBook begun = apply(LedgerRestoration.reconcile(copy, null, 2), report("b", 1, 50, 0));
            LedgerBook rebased = LedgerRestoration.reconcile(begun, known, 2);
            assertEquals(grantedTokens(finish(rebased)), 450);
        }

        /** A router that had not heard of the era replaced the content with one that rests on a lost version. */
        @Test
        public void isWhatWasCommittedInTheEraWhenAContentOfAnEarlierOneReplacedIt() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            LedgerBook committed = granted(finish(LedgerRestoration.reconcile(copy, copy, 2)), "b", 1, 200);
            LedgerBook late = granted(copy, "c", 1, 700);
            LedgerBook restored = LedgerRestoration.reconcile(late, committed, 2);
            assertTrue(restored.isBeingRestored());
            assertEquals(grantedTokens(finish(restored)), 300);
        }
    }

    /** Tests what the reports of routers change. */
    public static class Reports {
        @Test
        public void replaceTheSharesOfTheirRouters() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            LedgerBook restored = finish(apply(LedgerRestoration.reconcile(copy, null, 2), report("a", 3, 500, 250)));
            assertEquals(account(restored).getShares(0).getGrantedTokens(), 500);
            assertEquals(account(restored).getShares(0).getSpentTokens(), 250);
            assertFalse(restored.isBeingRestored());
        }

        @Test
        public void addSharesThatTheCopyDoesNotHave() {
            LedgerBook restored =
                    finish(apply(LedgerRestoration.reconcile(inForce(1), null, 2), report("a", 3, 500, 250)));
            assertEquals(Accounts.committedTokens(account(restored)), 500);
        }

        /** Tokens that ended routers had been granted were free in the copy. */
        @Test
        public void countCommittedTokensThatNobodyHoldsAsLost() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            CommittedMark mark = CommittedMark.newBuilder()
                    .setBudget(BUDGET)
                    .setEra(1)
                    .setGeneration(copy.version().generation() + 5)
                    .setCommittedTokens(800)
                    .build();
            RouterReport report =
                    report("a", 3, 300, 250).toBuilder().addMarks(mark).build();
            AccountState account = account(finish(apply(LedgerRestoration.reconcile(copy, null, 2), report)));
            assertEquals(Accounts.committedTokens(account), 800);
            assertEquals(Accounts.forfeitedTokens(account), 500);
        }

        @Test
        public void leaveNoTokensFreeWhereNobodyKnowsMoreThanTheCopy() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            AccountState account = account(finish(LedgerRestoration.reconcile(copy, null, 2)));
            assertEquals(Accounts.freeTokens(account), 0);
        }

        /** Other routers may have been granted the tokens meanwhile. */
        @Test
        public void thatComeLateKeepWhatIsSpentAndWhatIsStillFree() {
            LedgerBook copy = granted(inForce(1), "a", 1, 100);
            LedgerBook restored = finish(apply(LedgerRestoration.reconcile(copy, copy, 2), report("a", 2, 100, 0)));
            LedgerBook taken = granted(restored, "b", 1, 700);
            LedgerBook reported = apply(taken, report("c", 4, 600, 150));
            assertEquals(Accounts.committedTokens(account(reported)), LIMIT);
            LedgerBook overdrawn = apply(granted(restored, "b", 1, 900), report("c", 4, 600, 150));
            assertEquals(Accounts.committedTokens(account(overdrawn)), LIMIT + 150);
        }

        @Test
        public void areAppliedOnce() {
            LedgerBook restored = finish(LedgerRestoration.reconcile(inForce(1), inForce(1), 2));
            LedgerBook once = apply(restored, report("c", 4, 600, 150));
            assertSame(apply(once, report("c", 4, 600, 150)), once);
        }
    }

    @Test
    public void otherChangesAreRefusedUntilTheLedgerIsRestored() {
        LedgerBook restoring = LedgerRestoration.reconcile(inForce(1), null, 2);
        assertTrue(LedgerOps.isUnavailable(LedgerOps.result(
                LedgerOps.adoptLimit(BUDGET, 2_000, 2),
                LedgerOps.mutation(LedgerOps.adoptLimit(BUDGET, 2_000, 2)).apply(restoring),
                2)));
    }

    @Test
    public void contentIsTheSameAfterEncodingAndDecoding() {
        LedgerBook restoring = apply(LedgerRestoration.reconcile(inForce(0), null, 1), report("a", 3, 500, 250));
        LedgerBook decoded = LedgerBook.decode(restoring.encode());
        assertEquals(decoded.version(), restoring.version());
        assertEquals(decoded.restoration(), restoring.restoration());
    }
}
