package org.radishspan.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.routing.Target;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** What callers get, and what targets are asked, when things go well and when they do not. */
public class RelaySystemTest {
    private static final String STREAM = "text/event-stream";

    /** Requests that go well. */
    public static class Answered {
        @Test
        public void carryTheTargetsAnswerWhole() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("read");
            harness.last().answer(200, "body", "X-Server-Stamp", "stamp", "X-Server-Load", "1,0,6");
            assertEquals(caller.status, 200);
            assertEquals(caller.body.toString(), "body");
            assertEquals(caller.headers.toString(), "[X-Server-Stamp=stamp]", "what is meant for routers stays here");
            assertEquals(harness.relay.inProgress(), 0);
        }

        @Test
        public void tellTheTargetWhoCallsAndHowLongItHas() {
            RelayHarness harness = new RelayHarness(1);
            harness.call("read");
            assertEquals(harness.last().request.header("X-Deadline-Ms"), Optional.of("1500"));
            assertEquals(harness.last().request.header("X-Tenant"), Optional.of("w"));
            assertEquals(harness.last().target(), "t0");
            assertEquals(harness.last().request.path(), "/read/x?y=1");
        }

        @Test
        public void aTargetsOwnRefusalOfTheRequestIsPassedOn() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().answer(422, "no", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 422);
            assertEquals(harness.sent.size(), 1);
        }

        @Test
        public void streamsAreRelayedEventByEvent() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 0, "the head goes with the first event");
            harness.last().bytes(RelayHarness.event(1) + "id: 2\nda");
            assertEquals(caller.body.toString(), RelayHarness.event(1), "an open event waits");
            harness.last().bytes("ta: 2\n\n");
            harness.last().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
            assertTrue(caller.ended);
        }
    }

    /** Requests that are turned away at the door. */
    public static class Refused {
        @Test
        public void withoutAConfigurationNothingIsSaidAboutRoutesAndKeys() {
            RelayHarness harness = new RelayHarness(3);
            harness.forgetConfiguration();
            Failure failure = harness.call("nowhere").failure();
            assertEquals(failure.kind(), ErrorKind.PLATFORM_UNAVAILABLE);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() > 0);
        }

        @Test
        public void withoutARoute() {
            assertEquals(new RelayHarness(3).call("nowhere").failure().kind(), ErrorKind.NOT_FOUND);
        }

        @Test
        public void withoutAKnownKey() {
            RelayHarness harness = new RelayHarness(3);
            assertEquals(harness.call("read", Optional.of("wrong")).failure().kind(), ErrorKind.UNAUTHORIZED);
            assertEquals(harness.call("read", Optional.empty()).failure().kind(), ErrorKind.UNAUTHORIZED);
            assertEquals(harness.sent.size(), 0);
        }

        @Test
        public void withoutATarget() {
            Failure failure = new RelayHarness(0).call("write").failure();
            assertEquals(failure.kind(), ErrorKind.NO_TARGET);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() > 0);
        }

        @Test
        public void withoutTokensWhileTheLedgerIsAwayTheCallerIsNotToldThatTheBudgetIsUsedUp() {
            RelayHarness harness = new RelayHarness(3);
            harness.limitTokens();
            RelayHarness.Caller caller = harness.call("stream");
            harness.pass(1_400);
            assertTrue(caller.open() || caller.failure().kind() == ErrorKind.PLATFORM_UNAVAILABLE);
            harness.pass(1_000);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertNotEquals(caller.failure().kind(), ErrorKind.BUDGET_EXHAUSTED);
            assertEquals(harness.sent.size(), 0, "nothing is sent without tokens");
        }
    }

    /** Requests that may run at most once. */
    public static class NonIdempotent {
        @Test
        public void areNeverSentAgainAfterTheyMayHaveRun() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().breakOff();
            assertEquals(harness.sent.size(), 1);
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
            assertEquals(caller.failure().retryAfterMillis(), 0);
        }

        @DataProvider
        public Object[][] refusals() {
            return new Object[][] {{503, "X-Not-Executed", "1"}, {421, "X-Instance-Id", "other"}};
        }

        @Test(dataProvider = "refusals")
        public void areSentElsewhereWhenATargetSaysThatItDidNotRunThem(int status, String header, String value) {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            String first = harness.last().target();
            harness.last().head(status, header, value);
            assertEquals(harness.sent.size(), 2);
            assertNotEquals(harness.last().target(), first);
            harness.last().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
        }

        @Test
        public void areSentElsewhereWhenNoConnectionWasMade() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("write");
            harness.last().refuseConnection();
            assertEquals(harness.sent.size(), 2);
        }

        @Test
        public void areAnsweredAsNotRunOnlyIfEveryTargetSaidSo() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().head(503, "X-Not-Executed", "1");
            harness.last().head(503, "X-Not-Executed", "1");
            assertEquals(caller.failure().kind(), ErrorKind.OVERLOADED);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertTrue(caller.failure().retryAfterMillis() > 0);
        }

        /** A VM that was held up sent requests on whose callers had left seconds before. */
        @Test
        public void thatWaitedThroughTheirDeadlineUnreadAreNotSent() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller late = harness.callThatWaited("write", 1_600);
            assertEquals(late.failure().ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), 0);
            harness.callThatWaited("write", 600);
            assertEquals(harness.last().request.header("X-Deadline-Ms"), Optional.of("900"));
        }

        @Test
        public void areCalledNotRunAtTheDeadlineWhileTheirConnectionIsStillBeingMade() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().connecting = true;
            harness.pass(1_510);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertTrue(harness.last().cancelled);
        }

        @Test
        public void areNotCalledNotRunAtTheDeadlineOnceSent() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.pass(1_490);
            assertTrue(caller.open(), "a target's silence is no reason to end sooner");
            harness.pass(20);
            assertEquals(caller.failure().kind(), ErrorKind.DEADLINE_EXCEEDED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
            assertTrue(harness.last().cancelled);
        }

        @Test
        public void keepATargetsFailureAsItIs() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().answer(500, "failed", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 500);
            assertEquals(harness.sent.size(), 1);
        }
    }

    /** Requests that may be repeated. */
    public static class Idempotent {
        @Test
        public void areSentAgainAfterAFailureAndABrokenAnswer() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("read");
            harness.last().answer(500, "failed", "X-Server-Stamp", "stamp");
            assertEquals(harness.sent.size(), 2);
            harness.last().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
            harness.call("read");
            harness.last().breakOff();
            assertEquals(harness.sent.size(), 4);
        }

        @Test
        public void reachNoMoreTargetsThanTheRouteAllows() {
            RelayHarness harness = new RelayHarness(5);
            RelayHarness.Caller caller = harness.call("read");
            harness.last().breakOff();
            harness.last().breakOff();
            assertEquals(harness.sent.size(), 2);
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
        }

        @Test
        public void leaveASilentTarget() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("read");
            harness.pass(410);
            assertEquals(harness.sent.size(), 2);
            assertTrue(harness.sent.get(0).cancelled, "the first target is told to stop");
            assertEquals(harness.last().request.header("X-Deadline-Ms"), Optional.of("1100"));
        }

        @Test
        public void areNotPlacedAtATargetThatJustFellSilent() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("read");
            String silent = harness.last().target();
            harness.pass(410);
            for (int i = 0; i < 20; i++) {
                harness.call("read");
                assertNotEquals(harness.last().target(), silent);
            }
        }

        @Test
        public void stopBeingRepeatedWhenTheRetryBudgetIsUsedUp() {
            RelayHarness harness = new RelayHarness(3);
            int repeated = 0;
            for (int i = 0; i < 40; i++) {
                harness.call("read");
                int before = harness.sent.size();
                harness.last().breakOff();
                repeated += harness.sent.size() - before;
            }
            assertTrue(repeated >= 8 && repeated <= 16, "a fifth of 40 and eight of the slack: " + repeated);
        }
    }

    /** Streams that break. */
    public static class Streams {
        @Test
        public void goOnAtAnotherTargetBehindTheLastWholeEvent() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "first");
            harness.last().events(1, 3);
            harness.last().bytes("id: 4\nda");
            harness.last().breakOff();
            assertEquals(harness.sent.size(), 2);
            assertEquals(harness.last().request.header("Last-Event-Id"), Optional.of("3"));
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "second");
            harness.last().events(4, 5);
            harness.last().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 5));
            assertTrue(caller.headers.toString().contains("first"), "the first target's headers stay");
        }

        @Test
        public void dropEventsThatTheCallerHas() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(1, 3);
            harness.last().breakOff();
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(2, 4);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 4));
        }

        @Test
        public void thatMayNotBeResumedBreakSoThatTheyDoNotLookWhole() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(1, 3);
            harness.last().breakOff();
            assertTrue(caller.aborted);
            assertFalse(caller.ended);
            assertEquals(harness.sent.size(), 1);
        }

        /** Other operators saw slow but sound streams cut: here the last target that may run it keeps it. */
        @Test
        public void thatAreSlowButSoundAreNotCut() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("stream");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(1, 1);
            harness.pass(1_300);
            assertTrue(caller.open() || !caller.aborted);
            harness.last().events(2, 2);
            harness.last().end();
            assertTrue(caller.ended);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
        }

        /** Other operators saw stalled streams that sent a byte now and then, and never ended. */
        @Test
        public void thatOnlyDribbleAreLeftLikeSilentOnes() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            RelayHarness.Sent stalled = harness.last();
            stalled.head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            stalled.events(1, 1);
            for (int i = 0; i < 11; i++) {
                harness.pass(100);
                stalled.bytes(i == 0 ? "id: 2\ndata: " : "x");
            }
            assertTrue(stalled.cancelled);
            assertEquals(harness.sent.size(), 2);
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(2, 2);
            harness.last().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
        }

        @Test
        public void thatDribbleAtTheirLastTargetEndWithTheirDeadline() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("once");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().events(1, 1);
            for (int i = 0; i < 16; i++) {
                harness.pass(100);
                harness.last().bytes(":");
            }
            assertTrue(caller.aborted);
            assertTrue(harness.last().cancelled);
        }

        @Test
        public void thatEndWithinAnEventAreNotWhole() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().bytes(RelayHarness.event(1) + "id: 2\n");
            harness.last().end();
            assertTrue(caller.aborted);
        }

        @Test
        public void takeTheSecondTargetsHeadersIfNothingWasRelayed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "first");
            harness.last().breakOff();
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "second");
            harness.last().events(1, 1);
            assertTrue(caller.headers.toString().contains("second"));
        }
    }

    /** Successes that are not genuine. */
    public static class Unsigned {
        @Test
        public void areNotRelayed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.last().head(200, "Content-Type", STREAM);
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            RelayHarness.Caller reader = harness.call("read");
            harness.last().head(200);
            harness.last().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(reader.status, 200);
        }

        @Test
        public void streamsWithoutAnyEventAreNotWhole() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.last().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.last().end();
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
        }
    }

    /** Requests that crash targets. */
    public static class Crashing {
        private static final int BODY = 99;

        private static void crash(RelayHarness harness) {
            harness.call("once", Optional.of(RelayHarness.KEY), BODY);
            RelayHarness.Sent crashed = harness.last();
            crashed.breakOff();
            harness.endTarget(crashed.target());
        }

        @Test
        public void areRefusedAfterTheThirdTarget() {
            RelayHarness harness = new RelayHarness(6);
            for (int i = 0; i < 3; i++) {
                crash(harness);
            }
            int sends = harness.sent.size();
            Failure failure =
                    harness.call("once", Optional.of(RelayHarness.KEY), BODY).failure();
            assertEquals(failure.kind(), ErrorKind.QUARANTINED);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), sends);
            assertTrue(harness.call("once").open(), "another request runs");
        }

        @Test
        public void areNotTakenForThoseThatOnlyLostTheirAnswers() {
            RelayHarness harness = new RelayHarness(6);
            for (int i = 0; i < 8; i++) {
                RelayHarness.Caller caller = harness.call("once", Optional.of(RelayHarness.KEY), BODY);
                assertTrue(caller.open());
                harness.last().breakOff();
            }
        }
    }

    /** Told on the users' pages: bytes that are no answer may come without end, until the caller closes. */
    public static class EndlessAnswers {
        private static final String STAMP = "X-Server-Stamp";
        private static final int MOST_BYTES = 16_777_216;

        @DataProvider
        public Object[][] streams() {
            return new Object[][] {{"\n"}, {": \n"}, {"data: x"}, {"id: 1\ndata: 1\n\n"}, {": \n\n"}};
        }

        @Test(dataProvider = "streams")
        public void ofStreamsWithoutAnotherEventAreBrokenOff(String repeated) {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("once");
            RelayHarness.Sent sent = harness.last();
            sent.head(200, "Content-Type", STREAM, STAMP, "stamp");
            sent.events(1, 1);
            String bytes = repeated.repeat(10_000);
            for (int total = 0; total < MOST_BYTES && !sent.cancelled; total += bytes.length()) {
                sent.bytes(bytes);
            }
            assertTrue(sent.cancelled, "the connection is closed");
            assertTrue(caller.aborted, "the caller is told that the stream is not whole");
        }

        @Test
        public void onManyConnectionsLeaveMemoryForOthers() {
            RelayHarness harness = new RelayHarness(1);
            for (int i = 0; i < 60; i++) {
                harness.call("read");
                harness.last().head(200, STAMP, "stamp");
            }
            List<RelayHarness.Sent> endless = List.copyOf(harness.sent);
            String bytes = "x".repeat(100_000);
            for (int round = 0; round < 20; round++) {
                endless.stream().filter(sent -> !sent.cancelled).forEach(sent -> sent.bytes(bytes));
            }
            long held = 2_000_000L
                    * endless.stream().filter(sent -> !sent.cancelled).count();
            assertTrue(held <= 96_000_000 / 3, held + " bytes are held, of a heap of 96 MB");
            RelayHarness.Caller other = harness.call("read");
            harness.last().answer(200, "done", STAMP, "stamp");
            assertEquals(other.status, 200);
        }
    }

    /** Callers who leave. */
    public static class Leaving {
        @Test
        public void stopTheWorkAtOnce() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("stream").leave();
            assertTrue(harness.last().cancelled);
            assertEquals(harness.relay.inProgress(), 0);
        }
    }

    /** Targets that want no more work, and say so in their answers. */
    public static class UnwillingTargets {
        private static final String STAMP = "X-Server-Stamp";

        @Test
        public void thatAreLeavingGetNothingNew() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("read");
            String leaving = harness.last().target();
            harness.last().answer(200, "done", STAMP, "stamp", "Server-Leaving", "1");
            assertEquals(caller.status, 200);
            for (int i = 0; i < 20; i++) {
                harness.call("read");
                assertNotEquals(harness.last().target(), leaving);
            }
        }

        @Test
        public void thatAreLeavingFinishWhatTheyHave() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller streaming = harness.call("stream");
            RelayHarness.Sent stream = harness.last();
            stream.head(200, "Content-Type", STREAM, STAMP, "stamp", "Server-Leaving", "1");
            assertEquals(harness.call("read").failure().ran(), Failure.Ran.NO);
            stream.events(1, 2);
            stream.end();
            assertTrue(streaming.ended);
        }

        @Test
        public void thatAskForAPauseGetItAndCountAsSound() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("write");
            String paused = harness.last().target();
            harness.last().head(503, "X-Not-Executed", "1", "Retry-After", "0.8");
            assertNotEquals(harness.last().target(), paused, "the request goes elsewhere");
            for (int i = 0; i < 10; i++) {
                harness.call("read");
                assertNotEquals(harness.last().target(), paused);
            }
            harness.pass(800);
            boolean asked = false;
            for (int i = 0; i < 10; i++) {
                harness.call("read");
                asked |= harness.last().target().equals(paused);
            }
            assertTrue(asked, "it is tried as soon as the pause is over");
        }

        @Test
        public void allAtOnceMeanARefusalWithTheTrueTime() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.last().head(503, "X-Not-Executed", "1", "Retry-After", "3");
            harness.last().head(503, "X-Not-Executed", "1", "Retry-After", "1.5");
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertEquals(caller.failure().retryAfterMillis(), 1_500);
            harness.pass(500);
            int sends = harness.sent.size();
            Failure next = harness.call("read").failure();
            assertEquals(next.retryAfterMillis(), 1_000);
            assertEquals(harness.sent.size(), sends, "nobody is asked");
        }

        @Test
        public void thatTakeNoMoreRequestsASecondMeanARefusalWithTheTimeOfTheNext() {
            RelayHarness harness = new RelayHarness(1);
            harness.call("read");
            harness.last().answer(200, "done", STAMP, "stamp", "Server-Limit", "2");
            Failure refused = harness.call("read").failure();
            assertEquals(refused.ran(), Failure.Ran.NO);
            assertEquals(refused.retryAfterMillis(), 500);
            harness.pass(500);
            RelayHarness.Caller served = harness.call("read");
            harness.last().answer(200, "done", STAMP, "stamp", "Server-Limit", "2");
            assertEquals(served.status, 200);
        }

        @Test
        public void thatNamedALimitKeepItOverAnAnswerThatNobodySigned() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("read");
            String limited = harness.last().target();
            harness.last().answer(200, "done", STAMP, "stamp", "Server-Limit", "0.5");
            harness.pass(2_000);
            harness.endTarget(limited.equals("t0") ? "t1" : "t0");
            harness.call("write");
            assertEquals(harness.last().target(), limited);
            harness.last().answer(500, "not signed");
            assertEquals(
                    harness.targets.rows().stream()
                            .map(Target::requestsPerSecond)
                            .toList(),
                    List.of(OptionalDouble.of(0.5)));
        }

        @DataProvider
        public Object[][] signals() {
            return new Object[][] {{"Server-Leaving", "1"}, {"Retry-After", "2"}, {"Server-Limit", "1"}};
        }

        @Test(dataProvider = "signals")
        public void getNoRequestsWhoseConnectionWasStillBeingMade(String header, String value) {
            RelayHarness harness = new RelayHarness(1);
            harness.call("write");
            RelayHarness.Sent answered = harness.last();
            harness.call("write");
            RelayHarness.Sent unsent = harness.last();
            unsent.connecting = true;
            harness.targets.register(new TargetEntry("u", "s", new Address("10.0.1.0", 80), "a", 6, false, 1));
            answered.answer(503, "busy", STAMP, "stamp", header, value);
            assertTrue(unsent.cancelled);
            assertEquals(harness.sent.size(), 3);
            assertEquals(harness.last().target(), "u");
        }
    }

    /** Targets that leave. */
    public static class Targets {
        @Test
        public void keepWhatTheyHaveAndGetNothingNew() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("read");
            harness.targets.register(new TargetEntry("t0", "s", new Address("10.0.0.0", 80), "a", 6, true, 1));
            assertEquals(harness.call("read").failure().kind(), ErrorKind.NO_TARGET);
            harness.sent.get(0).answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
        }
    }
}
