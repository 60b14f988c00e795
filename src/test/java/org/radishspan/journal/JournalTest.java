package org.radishspan.journal;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.IntentState.Phase;
import org.radishspan.proto.JournalState;
import org.radishspan.store.SharedObject.Mutation;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the mutations of a journal object. */
public class JournalTest {
    private static final String KEY = "crew/entry-1";
    private static final Journal.Attempt FIRST = new Journal.Attempt(KEY, "p1", 1);
    private static final Journal.Attempt OTHER = new Journal.Attempt(KEY, "p2", 1);
    private static final Journal.Outcome OUTCOME =
            new Journal.Outcome(201, "text/plain", ByteString.copyFromUtf8("filed"));
    private static final Journal.Retention RETENTION = new Journal.Retention(1_000, 2, 10);

    private static Mutation<JournalState> claim(Journal.Attempt attempt, boolean repeatable, long atMillis) {
        return Journal.claim(
                attempt, new Journal.Details("id", "print", repeatable, atMillis), RETENTION, ignored -> true);
    }

    private static JournalState apply(JournalState state, Mutation<JournalState> mutation) {
        Either<Failure, JournalState> result = mutation.apply(state);
        assertTrue(result.isRight(), String.valueOf(result));
        assertEquals(
                mutation.apply(result.get()).get(),
                result.get(),
                "a mutation that is applied again must not change the state");
        return result.get();
    }

    private static JournalState claimed(boolean repeatable) {
        return apply(JournalState.getDefaultInstance(), claim(FIRST, repeatable, 0));
    }

    private static IntentState intent(JournalState state) {
        return state.getIntentsOrThrow(KEY);
    }

    /** Tests claims on requests. */
    public static class Claim {
        @Test
        public void belongToTheFirstAttempt() {
            JournalState state = apply(claimed(false), claim(OTHER, false, 0));
            assertEquals(intent(state).getIncarnation(), "p1");
        }

        @Test
        public void areAvailableAfterARelease() {
            JournalState state = apply(claimed(false), Journal.release(FIRST));
            state = apply(state, claim(OTHER, false, 0));
            assertEquals(intent(state).getIncarnation(), "p2");
        }

        @Test
        public void areRefusedWhenTheJournalIsFull() {
            JournalState state = apply(claimed(false), claim(new Journal.Attempt("b", "p1", 2), false, 0));
            Either<Failure, JournalState> third =
                    claim(new Journal.Attempt("c", "p1", 3), false, 0).apply(state);
            assertEquals(third.getLeft().kind(), ErrorKind.OVERLOADED);
        }

        @Test
        public void removeOnlyFinishedIntentsAfterTheRetentionPeriod() {
            JournalState state = apply(claimed(false), Journal.complete(FIRST, OUTCOME, null, RETENTION));
            state = apply(state, claim(new Journal.Attempt("b", "p1", 2), false, 1_000));
            assertTrue(state.containsIntents(KEY));
            state = apply(state, claim(new Journal.Attempt("c", "p1", 3), false, 1_001));
            assertFalse(state.containsIntents(KEY));
            assertTrue(state.containsIntents("b"), "a running intent must stay");
        }
    }

    /** Tests the recording of outcomes. */
    public static class Outcomes {
        @Test
        public void areRecordedByTheOwnerOnly() {
            assertTrue(Journal.complete(OTHER, OUTCOME, null, RETENTION)
                    .apply(claimed(false))
                    .isLeft());
            JournalState state = apply(claimed(false), Journal.complete(FIRST, OUTCOME, null, RETENTION));
            assertEquals(intent(state).getAnswer().toStringUtf8(), "filed");
        }

        /** Long answers once made a journal object exceed the platform's limit of one megabyte per value. */
        @Test
        public void withLongAnswersAreKeptWithoutTheAnswer() {
            Journal.Outcome longOutcome =
                    new Journal.Outcome(201, "text/plain", ByteString.copyFromUtf8("eleven char"));
            JournalState state = apply(claimed(false), Journal.complete(FIRST, longOutcome, null, RETENTION));
            assertEquals(intent(state).getPhase(), Phase.DONE);
            assertTrue(intent(state).getAnswerDropped());
            assertEquals(intent(state).getAnswer().size(), 0);
        }

        @Test
        public void areNotReplacedByAnUnknownOutcome() {
            JournalState state = apply(claimed(false), Journal.complete(FIRST, OUTCOME, null, RETENTION));
            assertTrue(Journal.recordUnknownOutcome(FIRST).apply(state).isLeft());
        }
    }

    /** Tests the closing of router processes. */
    public static class Close {
        @Test
        public void makesTheOutcomeOfANonRepeatableRequestUnknown() {
            JournalState state = apply(claimed(false), Journal.close("p1"));
            assertEquals(intent(state).getPhase(), Phase.UNKNOWN);
            state = apply(state, claim(OTHER, false, 0));
            assertEquals(intent(state).getPhase(), Phase.UNKNOWN, "the request must not be dispatched again");
        }

        @Test
        public void letsAnotherProcessRepeatARepeatableRequest() {
            JournalState state = apply(claimed(true), Journal.close("p1"));
            state = apply(state, claim(OTHER, true, 0));
            assertEquals(intent(state).getIncarnation(), "p2");
        }

        @Test
        public void refusesLaterOutcomesAndClaims() {
            JournalState state = apply(claimed(true), Journal.close("p1"));
            assertTrue(Journal.complete(FIRST, OUTCOME, null, RETENTION)
                    .apply(state)
                    .isLeft());
            Either<Failure, JournalState> late =
                    claim(new Journal.Attempt("b", "p1", 2), false, 0).apply(state);
            assertEquals(late.getLeft().kind(), ErrorKind.DRAINING);
        }

        @Test
        public void keepsRecordedOutcomes() {
            JournalState state = apply(claimed(false), Journal.complete(FIRST, OUTCOME, null, RETENTION));
            state = apply(state, Journal.close("p1"));
            assertEquals(intent(state).getPhase(), Phase.DONE);
        }
    }
}
