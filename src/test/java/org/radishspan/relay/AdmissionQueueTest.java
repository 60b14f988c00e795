package org.radishspan.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what callers receive and what targets are sent with admission control, when targets are full or fail. */
public class AdmissionQueueTest {
    private static final int SLOTS = 6;
    private static final String STAMP = "X-Server-Stamp";

    /** Returns a relay with one target whose slots are all in use by requests of this relay. */
    private static RelayHarness full() {
        RelayHarness harness = new RelayHarness(1, true);
        harness.advance(10);
        for (int i = 0; i < SLOTS; i++) {
            harness.call("read");
        }
        assertEquals(
                harness.sent.size(), SLOTS, "requests are sent at once while there is no evidence of a full target");
        return harness;
    }

    /** Answers a request. Its target reports no other requests, so that this relay's own requests show its room. */
    private static void answer(RelayHarness harness, int index) {
        harness.sent.get(index).answer(200, "done", STAMP, "stamp", "X-Server-Load", "0,0,6");
    }

    /** Requests that wait for room. */
    public static class Waiting {
        @Test
        public void areSentWithoutTheFeature() {
            RelayHarness harness = new RelayHarness(1);
            for (int i = 0; i <= SLOTS; i++) {
                harness.call("read");
            }
            assertEquals(harness.sent.size(), SLOTS + 1);
        }

        /** Guards against room that is left unused until the next tick. */
        @Test
        public void areSentWhenAnAnswerEnds() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("read");
            harness.advance(50);
            assertEquals(harness.sent.size(), SLOTS);
            answer(harness, 0);
            assertEquals(harness.sent.size(), SLOTS + 1);
            harness.lastSent().answer(200, "done", STAMP, "stamp");
            assertEquals(caller.status, 200);
        }

        /**
         * Guards against sends to a crashed target, which has room: on a day with crashes a router tried one 410 times in
         * two seconds while its requests waited for the others.
         */
        @Test
        public void areNotSentToAnUnreachableTargetWhileAnotherIsFull() {
            RelayHarness harness = full();
            harness.addTarget("crashed");
            harness.targets.onUnreachable(Objects.requireNonNull(harness.targets.get("crashed")), harness.nowMillis());
            harness.call("read");
            harness.advance(50);
            assertEquals(harness.sent.size(), SLOTS);
        }

        @Test
        public void areSentWhenATargetRegisters() {
            RelayHarness harness = full();
            harness.call("read");
            harness.addTarget("new");
            harness.advance(10);
            assertEquals(harness.lastSent().target(), "new");
        }

        /** Guards against judging a target by a report that its newer answers contradict. */
        @Test
        public void areSentWhenATargetReportsThatOthersHaveLeft() {
            RelayHarness harness = new RelayHarness(1, true);
            harness.advance(10);
            harness.call("read");
            harness.call("read");
            harness.sent.get(0).answer(200, "done", STAMP, "stamp", "X-Server-Load", "7,0,6");
            harness.call("read");
            assertEquals(harness.sent.size(), 2);
            harness.sent.get(1).head(200, STAMP, "stamp", "X-Server-Load", "1,0,6");
            assertEquals(harness.sent.size(), 3);
        }

        @Test
        public void areSentWhenAPauseEnds() {
            RelayHarness harness = new RelayHarness(2, true);
            harness.advance(10);
            harness.call("write");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "0.4");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "0.4");
            RelayHarness.Caller caller = harness.call("read");
            harness.advance(390);
            assertEquals(harness.sent.size(), 2);
            harness.advance(30);
            assertEquals(harness.sent.size(), 3);
            assertTrue(caller.open());
        }

        @Test
        public void goAfterMoreUrgentOnes() {
            RelayHarness harness = full();
            harness.addWorkspace("urgent", "urgent-key", 0);
            harness.call("read");
            harness.call("write", Optional.of("urgent-key"));
            answer(harness, 0);
            assertEquals(harness.lastSent().request.header("X-Tenant"), Optional.of("urgent"));
        }

        /** Guards against running requests whose callers have left, which costs tokens and slots for nothing. */
        @Test
        public void areNeverSentOnceTheirCallerHasLeft() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("read");
            caller.disconnect();
            answer(harness, 0);
            harness.advance(100);
            assertEquals(harness.sent.size(), SLOTS);
            assertEquals(harness.relay.inProgress(), SLOTS - 1);
        }

        /** Guards against sending before the closed connections of callers have been read after a stall of the event loop. */
        @Test
        public void areNotSentDirectlyAfterAStall() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("read");
            harness.stall(500);
            answer(harness, 0);
            harness.relay.tick();
            assertEquals(harness.sent.size(), SLOTS);
            caller.disconnect();
            RelayHarness.Caller staying = harness.call("read");
            harness.advance(20);
            assertEquals(harness.sent.size(), SLOTS + 1);
            assertTrue(staying.open());
        }
    }

    /** Reports of targets that other routers use as well. */
    public static class Reports {
        private static RelayHarness reportedFull() {
            RelayHarness harness = new RelayHarness(1, true);
            harness.advance(10);
            harness.call("read");
            harness.advance(100);
            harness.lastSent().answer(200, "done", STAMP, "stamp", "X-Server-Load", "7,0,6");
            harness.call("read");
            return harness;
        }

        @Test
        public void ofAFullTargetMakeRequestsWait() {
            assertEquals(reportedFull().sent.size(), 1);
        }

        /** Guards against a target that was full once and gets no request any more, so that it cannot report otherwise. */
        @Test
        public void loseTheirForceWithTime() {
            RelayHarness harness = reportedFull();
            harness.advance(1_300);
            assertEquals(harness.sent.size(), 2);
        }
    }

    /** Requests that no target can serve in time. */
    public static class Refused {
        @Test
        public void whenTheyCannotMeetTheirDeadlineAnyMore() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("write");
            harness.advance(1_000);
            assertTrue(caller.open());
            harness.advance(420);
            Failure failure = caller.failure();
            assertEquals(failure.kind(), ErrorKind.OVERLOADED);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() > 0);
            assertEquals(harness.sent.size(), SLOTS);
        }

        @Test
        public void atOnceWhenThePauseOfAllTargetsIsTooLong() {
            RelayHarness harness = new RelayHarness(2, true);
            harness.advance(10);
            harness.call("write");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "3");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "3");
            Failure failure = harness.call("read").failure();
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() >= 3_000, "Retry-After " + failure.retryAfterMillis());
        }

        /** Guards against letting all requests wait for their deadlines when few are served. */
        @Test
        public void atOnceWhenTheRequestsBeforeThemTakeTooLong() {
            RelayHarness harness = full();
            int answered = 0;
            int refusedAtOnce = 0;
            for (int i = 0; i < 28; i++) {
                refusedAtOnce += harness.call("read").open() ? 0 : 1;
                harness.advance(50);
                if (i % 4 == 3) {
                    answer(harness, answered++);
                }
            }
            assertTrue(refusedAtOnce >= 5, "20 requests a second arrive and 5 are answered; refused " + refusedAtOnce);
            assertEquals(harness.sent.size(), SLOTS + answered, "all room was used");
        }

        /** Guards against reporting as not run what a target may have run. */
        @Test
        public void areNotReportedAsNotRunIfTheyMayHaveRun() {
            RelayHarness harness = new RelayHarness(2, true);
            harness.advance(10);
            List<RelayHarness.Caller> callers = new ArrayList<>();
            for (int i = 0; i < 2 * SLOTS; i++) {
                callers.add(harness.call("read"));
            }
            harness.sent.get(0).loseConnection();
            harness.advance(1_600);
            Failure failure = callers.get(0).failure();
            assertEquals(failure.ran(), Failure.Ran.UNKNOWN);
            assertEquals(failure.retryAfterMillis(), 0);
        }

        @Test
        public void atOnceWithoutAnyTarget() {
            RelayHarness harness = new RelayHarness(0, true);
            harness.advance(10);
            assertEquals(harness.call("read").failure().kind(), ErrorKind.NO_TARGET);
        }
    }

    /** Load beside one failure. */
    public static class Failing {
        /** Guards against waiting requests that are lost or sent twice when a target crashes under load. */
        @Test
        public void aTargetUnderLoadLosesNoWaitingRequest() {
            RelayHarness harness = new RelayHarness(2, true);
            harness.advance(10);
            List<RelayHarness.Caller> callers = new ArrayList<>();
            for (int i = 0; i < 2 * SLOTS + 4; i++) {
                callers.add(harness.call("write"));
            }
            assertEquals(harness.sent.size(), 2 * SLOTS);
            String crashed = harness.sent.get(0).target();
            List<RelayHarness.SentRequest> lost = harness.sent.stream()
                    .filter(request -> request.target().equals(crashed))
                    .toList();
            lost.forEach(harness::crashTarget);
            harness.advance(50);
            for (int i = 0; i < harness.sent.size(); i++) {
                if (!lost.contains(harness.sent.get(i))) {
                    answer(harness, i);
                }
            }
            assertEquals(callers.stream().filter(caller -> caller.status == 200).count(), SLOTS + 4);
            assertEquals(harness.sent.size(), 2 * SLOTS + 4, "no request that may have run is sent again");
            callers.stream()
                    .filter(caller -> caller.status != 200)
                    .forEach(caller -> assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN));
        }

        @Test
        public void refusalsByATargetDoNotReachCallersThatCanWait() {
            RelayHarness harness = new RelayHarness(2, true);
            harness.advance(10);
            for (int i = 0; i < 2 * SLOTS; i++) {
                harness.call("read");
            }
            harness.sent.get(0).head(503, "X-Not-Executed", "1");
            assertEquals(harness.sent.size(), 2 * SLOTS, "the other target has no room");
            answer(harness, 1);
            answer(harness, 2);
            assertEquals(harness.sent.size(), 2 * SLOTS + 1);
        }
    }

    /** A planned stop of the router. */
    public static class Stopping {
        @Test
        public void servesWhatWaits() {
            RelayHarness harness = full();
            harness.call("read");
            harness.relay.refuseNew();
            assertEquals(harness.call("read").failure().kind(), ErrorKind.DRAINING);
            answer(harness, 0);
            assertEquals(harness.sent.size(), SLOTS + 1);
        }

        @Test
        public void refusesTheRestAsNotRun() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("write");
            harness.relay.refuseWaiting();
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertEquals(harness.relay.inProgress(), SLOTS);
        }

        /** Guards against requests that were taken late in the grace time, sent, and cut off without an answer at its end. */
        @Test
        public void sendsNothingThatCannotBeAnsweredBeforeItsEnd() {
            for (String route : List.of("read", "write", "stream")) {
                RelayHarness harness = new RelayHarness(1, true);
                harness.advance(10);
                harness.relay.endBy(harness.nowMillis() + 1_000);
                RelayHarness.Caller early = harness.call(route);
                harness.advance(900);
                RelayHarness.Caller late = harness.call(route);
                assertTrue(early.open());
                assertEquals(late.failure().kind(), ErrorKind.DRAINING, route);
                assertEquals(late.failure().ran(), Failure.Ran.NO);
                assertTrue(late.failure().retryAfterMillis() > 0, "another router can serve it");
                assertEquals(harness.sent.size(), 1);
            }
        }

        @Test
        public void refusesWhatWaitsAsSoonAsItIsTooLate() {
            RelayHarness harness = full();
            RelayHarness.Caller caller = harness.call("write");
            harness.relay.endBy(harness.nowMillis() + 600);
            harness.advance(100);
            assertTrue(caller.open());
            harness.advance(200);
            assertEquals(caller.failure().kind(), ErrorKind.DRAINING);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), SLOTS);
        }

        @Test
        public void answersWhatIsStillInProgressAtItsEnd() {
            RelayHarness harness = new RelayHarness(1, true);
            harness.advance(10);
            RelayHarness.Caller sent = harness.call("write");
            RelayHarness.Caller unsent = harness.call("read");
            harness.lastSent().connecting = true;
            RelayHarness.Caller stream = harness.call("once");
            harness.lastSent().head(200, "Content-Type", "text/event-stream", "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 2);
            harness.relay.endAll();
            assertEquals(sent.failure().ran(), Failure.Ran.UNKNOWN);
            assertTrue(sent.failure().kind().httpStatus() != 503, "503 would promise that it did not run");
            assertEquals(unsent.failure().ran(), Failure.Ran.NO);
            assertEquals(unsent.failure().kind(), ErrorKind.DRAINING);
            assertTrue(stream.aborted, "the caller can see that the stream is incomplete");
            assertEquals(harness.relay.inProgress(), 0);
        }
    }

    /** A router whose event loop is late. */
    public static class LateEventLoop {
        @Test
        public void refusesRequestsThatItCannotHandleInTime() {
            RelayHarness harness = new RelayHarness(1, true);
            harness.advance(10);
            harness.relay.onLoopDelay(1_100);
            Failure failure = harness.call("read").failure();
            assertEquals(failure.kind(), ErrorKind.OVERLOADED);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() > 0);
            harness.relay.onLoopDelay(120);
            assertTrue(harness.call("read").open(), "a request that is only late is not refused");
            harness.relay.onLoopDelay(20);
            assertTrue(harness.call("read").open());
        }

        @Test
        public void refusesNothingWithoutTheFeature() {
            RelayHarness harness = new RelayHarness(1);
            harness.relay.onLoopDelay(1_000);
            assertTrue(harness.call("read").open());
        }
    }
}
