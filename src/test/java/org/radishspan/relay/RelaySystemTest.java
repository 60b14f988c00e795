package org.radishspan.relay;

import java.util.ArrayList;
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

/** Tests what callers receive and what targets are sent, with healthy and with failing targets. */
public class RelaySystemTest {
    private static final String STREAM = "text/event-stream";

    /** Requests that a target answers. */
    public static class Answered {
        @Test
        public void getTheCompleteAnswerOfTheTarget() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("read");
            harness.lastSent().answer(200, "body", "X-Server-Stamp", "stamp", "X-Server-Load", "1,0,6");
            assertEquals(caller.status, 200);
            assertEquals(caller.body.toString(), "body");
            assertEquals(caller.headers.toString(), "[X-Server-Stamp=stamp]", "headers for routers are not relayed");
            assertEquals(harness.relay.inProgress(), 0);
        }

        @Test
        public void sendTheWorkspaceAndTheRemainingTimeToTheTarget() {
            RelayHarness harness = new RelayHarness(1);
            harness.call("read");
            assertEquals(harness.lastSent().request.header("X-Deadline-Ms"), Optional.of("1500"));
            assertEquals(harness.lastSent().request.header("X-Tenant"), Optional.of("w"));
            assertEquals(harness.lastSent().target(), "t0");
            assertEquals(harness.lastSent().request.path(), "/read/x?y=1");
        }

        @Test
        public void clientErrorsOfTheTargetAreRelayed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().answer(422, "no", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 422);
            assertEquals(harness.sent.size(), 1);
        }

        @Test
        public void streamsAreRelayedEventByEvent() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 0, "the head is relayed with the first event");
            harness.lastSent().bytes(RelayHarness.event(1) + "id: 2\nda");
            assertEquals(caller.body.toString(), RelayHarness.event(1), "an incomplete event is not relayed");
            harness.lastSent().bytes("ta: 2\n\n");
            harness.lastSent().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
            assertTrue(caller.ended);
        }
    }

    /** Requests that are refused before they are sent to a target. */
    public static class Refused {
        @Test
        public void withoutAConfigurationBeforeRoutesAndKeysAreChecked() {
            RelayHarness harness = new RelayHarness(3);
            harness.removeConfiguration();
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
        public void withoutTokensDuringALedgerOutageButNotBecauseOfAnExhaustedBudget() {
            RelayHarness harness = new RelayHarness(3);
            harness.setPrepaidBudget();
            RelayHarness.Caller caller = harness.call("stream");
            harness.advance(1_400);
            assertTrue(caller.open() || caller.failure().kind() == ErrorKind.PLATFORM_UNAVAILABLE);
            harness.advance(1_000);
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
            harness.lastSent().loseConnection();
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
        public void areSentToAnotherTargetWhenATargetReportsThatItDidNotRunThem(
                int status, String header, String value) {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            String first = harness.lastSent().target();
            harness.lastSent().head(status, header, value);
            assertEquals(harness.sent.size(), 2);
            assertNotEquals(harness.lastSent().target(), first);
            harness.lastSent().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
        }

        @Test
        public void areSentToAnotherTargetWhenNoConnectionWasEstablished() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("write");
            harness.lastSent().failToConnect();
            assertEquals(harness.sent.size(), 2);
        }

        @Test
        public void areReportedAsNotRunOnlyIfEveryTargetRefusedThem() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().head(503, "X-Not-Executed", "1");
            harness.lastSent().head(503, "X-Not-Executed", "1");
            assertEquals(caller.failure().kind(), ErrorKind.OVERLOADED);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertTrue(caller.failure().retryAfterMillis() > 0);
        }

        /**
         * Guards against relaying requests that waited in the sockets of a stalled VM, and whose callers may have disconnected
         * meanwhile.
         */
        @Test
        public void areNotSentIfTheirDeadlinePassedBeforeTheyWereRead() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller expired = harness.callAfterWaiting("write", 1_600);
            assertEquals(expired.failure().ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), 0);
            harness.callAfterWaiting("write", 600);
            assertEquals(harness.lastSent().request.header("X-Deadline-Ms"), Optional.of("900"));
        }

        @Test
        public void areReportedAsNotRunAtTheDeadlineWhileTheirConnectionIsBeingEstablished() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().connecting = true;
            harness.advance(1_510);
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertTrue(harness.lastSent().cancelled);
        }

        @Test
        public void areNotReportedAsNotRunAtTheDeadlineOnceSent() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.advance(1_490);
            assertTrue(caller.open(), "the silence of the target does not end the request before its deadline");
            harness.advance(20);
            assertEquals(caller.failure().kind(), ErrorKind.DEADLINE_EXCEEDED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
            assertTrue(harness.lastSent().cancelled);
        }

        @DataProvider
        public Object[][] statusesThatMeanNotRun() {
            return new Object[][] {{408}, {429}, {503}};
        }

        /**
         * Guards against log entries that were filed twice (review/11): a target ran them and failed with a status that means
         * "not run" to callers, who sent them again.
         */
        @Test(dataProvider = "statusesThatMeanNotRun")
        public void areNotReportedAsNotRunUnlessTheTargetReportsIt(int status) {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().answer(status, "failed", "X-Server-Stamp", "stamp", "Retry-After", "0.1");
            assertEquals(harness.sent.size(), 1, "a request that may have run is not sent again");
            assertEquals(caller.status, 0, "the answer of the target is not relayed");
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
            assertEquals(caller.failure().retryAfterMillis(), 0);
        }

        @Test(dataProvider = "statusesThatMeanNotRun")
        public void areReportedAsNotRunIfTheTargetReportsIt(int status) {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().head(status, "X-Not-Executed", "1");
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertTrue(caller.failure().retryAfterMillis() > 0);
        }

        @Test
        public void areNotRepeatedAfterAServerErrorOfTheTarget() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().answer(500, "failed", "X-Server-Stamp", "stamp");
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
            harness.lastSent().answer(500, "failed", "X-Server-Stamp", "stamp");
            assertEquals(harness.sent.size(), 2);
            harness.lastSent().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
            harness.call("read");
            harness.lastSent().loseConnection();
            assertEquals(harness.sent.size(), 4);
        }

        @DataProvider
        public Object[][] routesAndStatusesThatMeanNotRun() {
            return new Object[][] {{"read", 408}, {"read", 429}, {"read", 503}, {"stream", 429}, {"stream", 503}};
        }

        /** Guards against refusing requests that their routes allow to be repeated, when targets fail with such a status. */
        @Test(dataProvider = "routesAndStatusesThatMeanNotRun")
        public void areSentAgainAfterAStatusThatMeansNotRun(String route, int status) {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call(route);
            String first = harness.lastSent().target();
            harness.lastSent().answer(status, "failed", "X-Server-Stamp", "stamp");
            assertEquals(harness.sent.size(), 2);
            assertNotEquals(harness.lastSent().target(), first);
            harness.lastSent().answer(status, "failed", "X-Server-Stamp", "stamp");
            assertEquals(harness.sent.size(), 2, "the route allows two targets");
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
        }

        @Test
        public void areNotReportedAsNotRunIfOnlyTheLastTargetReportsIt() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("read");
            harness.lastSent().answer(503, "failed", "X-Server-Stamp", "stamp");
            harness.lastSent().head(503, "X-Not-Executed", "1");
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
        }

        @Test
        public void reachNoMoreTargetsThanTheRouteAllows() {
            RelayHarness harness = new RelayHarness(5);
            RelayHarness.Caller caller = harness.call("read");
            harness.lastSent().loseConnection();
            harness.lastSent().loseConnection();
            assertEquals(harness.sent.size(), 2);
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
        }

        @Test
        public void areMovedFromASilentTarget() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("read");
            harness.advance(410);
            assertEquals(harness.sent.size(), 2);
            assertTrue(harness.sent.get(0).cancelled, "the call to the first target is cancelled");
            assertEquals(harness.lastSent().request.header("X-Deadline-Ms"), Optional.of("1100"));
        }

        @Test
        public void areNotSentToATargetThatRecentlyBecameSilent() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("read");
            String silent = harness.lastSent().target();
            harness.advance(410);
            for (int i = 0; i < 20; i++) {
                harness.call("read");
                assertNotEquals(harness.lastSent().target(), silent);
            }
        }

        @Test
        public void areNotRepeatedOnceTheRetryBudgetIsExhausted() {
            RelayHarness harness = new RelayHarness(3);
            int repeated = 0;
            for (int i = 0; i < 40; i++) {
                harness.call("read");
                int before = harness.sent.size();
                harness.lastSent().loseConnection();
                repeated += harness.sent.size() - before;
            }
            assertTrue(repeated >= 8 && repeated <= 16, "a fifth of 40, and eight from the slack: " + repeated);
        }
    }

    /** Answers whose bodies are encoded, although callers of this platform ask for bodies without any encoding. */
    public static class ContentCoded {
        @Test
        public void areNotRelayed() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().answer(200, "coded", "X-Server-Stamp", "stamp", "Content-Encoding", "gzip");
            assertEquals(caller.failure().ran(), Failure.Ran.UNKNOWN);
        }

        @Test
        public void areReplacedByTheAnswerOfAnotherTargetIfTheRouteAllowsThat() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("read");
            harness.lastSent().answer(200, "coded", "X-Server-Stamp", "stamp", "Content-Encoding", "gzip");
            assertEquals(harness.sent.size(), 2);
            harness.lastSent().answer(200, "done", "X-Server-Stamp", "stamp", "Content-Encoding", "identity");
            assertEquals(caller.body.toString(), "done");
        }
    }

    /** Streams while targets of several software versions are in service. */
    public static class SoftwareVersions {
        private static RelayHarness harnessWithTwoVersions() {
            RelayHarness harness = new RelayHarness(0);
            harness.addTargets("v1", "old-1", "old-2");
            harness.addTargets("v2", "new-1", "new-2");
            return harness;
        }

        private static void beginStream(RelayHarness harness) {
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 3);
        }

        /** Guards against texts of which one software version wrote the beginning and another the rest (ORDER, issue 62). */
        @Test
        public void areNotMixedWithinOneAnswer() {
            RelayHarness harness = harnessWithTwoVersions();
            for (int i = 0; i < 30; i++) {
                harness.call("stream");
                String version = harness.softwareVersion(harness.lastSent());
                beginStream(harness);
                int sends = harness.sent.size();
                harness.lastSent().loseConnection();
                if (harness.sent.size() > sends) {
                    assertEquals(harness.softwareVersion(harness.lastSent()), version);
                    harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
                    harness.lastSent().events(4, 5);
                    harness.lastSent().end();
                }
                harness.advance(3_000);
            }
        }

        @Test
        public void breakOffStreamsWhoseVersionHasNoOtherTarget() {
            RelayHarness harness = new RelayHarness(0);
            harness.addTargets("v1", "old-1");
            RelayHarness.Caller caller = harness.call("stream");
            harness.addTargets("v2", "new-1");
            beginStream(harness);
            harness.lastSent().loseConnection();
            assertEquals(harness.sent.size(), 1);
            assertTrue(caller.aborted, "the stream must not look complete");
        }

        @Test
        public void doNotMatterBeforeTheFirstEvent() {
            RelayHarness harness = new RelayHarness(0);
            harness.addTargets("v1", "old-1");
            RelayHarness.Caller caller = harness.call("stream");
            harness.addTargets("v2", "new-1");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().loseConnection();
            assertEquals(harness.lastSent().target(), "new-1");
            beginStream(harness);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 3));
        }

        @Test
        public void areKeptWhenACallerTakesUpAStream() {
            RelayHarness harness = harnessWithTwoVersions();
            harness.streams.versions.put("stream-1", "v1");
            harness.streams.versions.put("stream-2", "v2");
            for (int i = 0; i < 10; i++) {
                harness.takeUp("stream-1", 3);
                assertEquals(harness.softwareVersion(harness.lastSent()), "v1");
                assertEquals(harness.lastSent().request.header("Last-Event-Id"), Optional.of("3"));
                harness.takeUp("stream-2", 3);
                assertEquals(harness.softwareVersion(harness.lastSent()), "v2");
            }
        }

        @Test
        public void areRequiredToBeKnownWhenACallerTakesUpAStream() {
            RelayHarness harness = harnessWithTwoVersions();
            Failure failure = harness.takeUp("unknown", 3).failure();
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), 0);
        }

        @Test
        public void thatHaveLeftLeadToARefusalWithoutRetryDelay() {
            RelayHarness harness = harnessWithTwoVersions();
            harness.streams.versions.put("stream-0", "v0");
            Failure failure = harness.takeUp("stream-0", 3).failure();
            assertEquals(failure.kind(), ErrorKind.NO_TARGET);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertEquals(failure.retryAfterMillis(), 0, "the version does not come back while the caller waits");
            assertEquals(harness.sent.size(), 0);
        }

        @Test
        public void areUsedForStreamsOnlyOnceAllRoutersKnowThem() {
            RelayHarness harness = harnessWithTwoVersions();
            harness.streams.notAnnounced.add("v2");
            for (int i = 0; i < 10; i++) {
                harness.call("stream");
                assertEquals(harness.softwareVersion(harness.lastSent()), "v1");
            }
        }
    }

    /** Streams that break, stall or are slow. */
    public static class Streams {
        @Test
        public void continueAtAnotherTargetAfterTheLastCompleteEvent() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "first");
            harness.lastSent().events(1, 3);
            harness.lastSent().bytes("id: 4\nda");
            harness.lastSent().loseConnection();
            assertEquals(harness.sent.size(), 2);
            assertEquals(harness.lastSent().request.header("Last-Event-Id"), Optional.of("3"));
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "second");
            harness.lastSent().events(4, 5);
            harness.lastSent().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 5));
            assertTrue(caller.headers.toString().contains("first"), "the headers of the first target are kept");
        }

        @DataProvider
        public Object[][] answersWithoutFurtherEvents() {
            String error = "the engine's error";
            return new Object[][] {
                {500, "text/plain", error},
                {500, STREAM, "id: 4\ndata: " + error + "\n\n"},
                {404, "application/json", error},
                {200, "application/json", error},
                {200, STREAM, ""},
                {200, STREAM, error},
            };
        }

        /** Callers found the error's text in their stream, or the stream ended as if it were complete. */
        @Test(dataProvider = "answersWithoutFurtherEvents")
        public void thatTheNextTargetsDoNotContinueContainNothingOfTheirAnswers(
                int status, String contentType, String body) {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "first");
            harness.lastSent().events(1, 3);
            harness.lastSent().loseConnection();
            int sends = 0;
            while (!caller.aborted && sends < 5) {
                sends++;
                harness.lastSent().head(status, "Content-Type", contentType, "X-Server-Stamp", "next");
                harness.lastSent().bytes(body);
                harness.lastSent().end();
            }
            assertTrue(caller.aborted, "the stream must not look complete");
            assertFalse(caller.ended);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 3));
            assertTrue(caller.headers.toString().contains("first"));
        }

        @Test
        public void dropEventsThatTheCallerHasAlreadyReceived() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 3);
            harness.lastSent().loseConnection();
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(2, 4);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 4));
        }

        @Test
        public void thatMayNotBeResumedAreAbortedSoThatTheyDoNotLookComplete() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 3);
            harness.lastSent().loseConnection();
            assertTrue(caller.aborted);
            assertFalse(caller.ended);
            assertEquals(harness.sent.size(), 1);
        }

        /** Guards against aborting a slow but healthy stream: it stays at the last target that may run it. */
        @Test
        public void thatAreSlowButSoundAreNotCut() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 1);
            harness.advance(1_300);
            assertTrue(caller.open() || !caller.aborted);
            harness.lastSent().events(2, 2);
            harness.lastSent().end();
            assertTrue(caller.ended);
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
        }

        /** Guards against streams that send single bytes and never end: only complete events count as progress. */
        @Test
        public void thatOnlyDribbleAreLeftLikeSilentOnes() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            RelayHarness.SentRequest stalled = harness.lastSent();
            stalled.head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            stalled.events(1, 1);
            for (int i = 0; i < 11; i++) {
                harness.advance(100);
                stalled.bytes(i == 0 ? "id: 2\ndata: " : "x");
            }
            assertTrue(stalled.cancelled);
            assertEquals(harness.sent.size(), 2);
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(2, 2);
            harness.lastSent().end();
            assertEquals(caller.body.toString(), RelayHarness.events(1, 2));
        }

        @Test
        public void thatSendOnlySingleBytesAtTheirLastTargetAreAbortedAtTheirDeadline() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("once");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().events(1, 1);
            for (int i = 0; i < 16; i++) {
                harness.advance(100);
                harness.lastSent().bytes(":");
            }
            assertTrue(caller.aborted);
            assertTrue(harness.lastSent().cancelled);
        }

        @Test
        public void thatEndWithinAnEventAreAborted() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().bytes(RelayHarness.event(1) + "id: 2\n");
            harness.lastSent().end();
            assertTrue(caller.aborted);
        }

        @Test
        public void useTheHeadersOfTheSecondTargetIfNothingWasRelayed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("stream");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "first");
            harness.lastSent().loseConnection();
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "second");
            harness.lastSent().events(1, 1);
            assertTrue(caller.headers.toString().contains("second"));
        }
    }

    /** Successful answers that are not trusted, because they have no signature or no event. */
    public static class Unsigned {
        @Test
        public void areNotRelayed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.lastSent().head(200, "Content-Type", STREAM);
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
            RelayHarness.Caller reader = harness.call("read");
            harness.lastSent().head(200);
            harness.lastSent().answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(reader.status, 200);
        }

        @Test
        public void streamsWithoutAnyEventAreReportedAsFailed() {
            RelayHarness harness = new RelayHarness(3);
            RelayHarness.Caller caller = harness.call("once");
            harness.lastSent().head(200, "Content-Type", STREAM, "X-Server-Stamp", "stamp");
            harness.lastSent().end();
            assertEquals(caller.failure().kind(), ErrorKind.TARGET_FAILED);
        }
    }

    /** Requests that crash targets. */
    public static class Crashing {
        private static final int BODY_NUMBER = 99;

        private static void crash(RelayHarness harness) {
            harness.call("once", Optional.of(RelayHarness.KEY), BODY_NUMBER);
            RelayHarness.SentRequest crashing = harness.lastSent();
            crashing.loseConnection();
            harness.terminateTarget(crashing.target());
        }

        @Test
        public void areRefusedAfterTheThirdTarget() {
            RelayHarness harness = new RelayHarness(6);
            for (int i = 0; i < 3; i++) {
                crash(harness);
            }
            int sends = harness.sent.size();
            Failure failure = harness.call("once", Optional.of(RelayHarness.KEY), BODY_NUMBER)
                    .failure();
            assertEquals(failure.kind(), ErrorKind.QUARANTINED);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertEquals(harness.sent.size(), sends);
            assertTrue(harness.call("once").open(), "another request runs");
        }

        @Test
        public void areDistinguishedFromRequestsThatOnlyLostTheirAnswers() {
            RelayHarness harness = new RelayHarness(6);
            for (int i = 0; i < 8; i++) {
                RelayHarness.Caller caller = harness.call("once", Optional.of(RelayHarness.KEY), BODY_NUMBER);
                assertTrue(caller.open());
                harness.lastSent().loseConnection();
            }
        }
    }

    /** Parts of prompts that crash every target which begins to answer them; no two requests with them are alike. */
    public static class CrashingParts {
        private static final String STAMP = "X-Server-Stamp";
        private int requestCount;

        private RelayHarness.Caller call(RelayHarness harness, String route, String document) {
            requestCount++;
            return harness.callWithParts(route, "template", document, "own-" + requestCount);
        }

        private void crashTwoTargets(RelayHarness harness) {
            for (int i = 0; i < 2; i++) {
                call(harness, "once", "crashing");
                harness.crashTarget(harness.lastSent());
                harness.advance(300);
                answerSoundRequest(harness);
            }
        }

        private void answerSoundRequest(RelayHarness harness) {
            call(harness, "once", "sound");
            harness.lastSent().head(200, "Content-Type", STREAM, STAMP, "stamp");
            harness.lastSent().events(1, 1);
            harness.lastSent().end();
        }

        @Test
        public void areRefusedAsNotRunWhileTheirOtherPartsAreServed() {
            RelayHarness harness = new RelayHarness(6);
            crashTwoTargets(harness);
            int sends = harness.sent.size();
            Failure failure = call(harness, "once", "crashing").failure();
            assertEquals(failure.kind(), ErrorKind.QUARANTINED);
            assertEquals(failure.ran(), Failure.Ran.NO);
            assertTrue(failure.retryAfterMillis() > 0);
            assertEquals(harness.sent.size(), sends);
            assertTrue(call(harness, "once", "sound").open());
            assertTrue(call(harness, "once", "new").open());
        }

        @Test
        public void endTheRequestsThatWereSentButNotYetBegun() {
            RelayHarness harness = new RelayHarness(6);
            RelayHarness.Caller begun = call(harness, "once", "crashing");
            RelayHarness.SentRequest begunSent = harness.lastSent();
            RelayHarness.Caller waiting = call(harness, "once", "crashing");
            RelayHarness.SentRequest waitingSent = harness.lastSent();
            crashTwoTargets(harness);
            begunSent.head(200, "Content-Type", STREAM, STAMP, "stamp");
            harness.advance(20);
            assertTrue(waitingSent.cancelled);
            assertEquals(waiting.failure().ran(), Failure.Ran.UNKNOWN);
            assertTrue(begunSent.cancelled, "a head alone is no begun answer of a stream");
            assertFalse(begun.open());
        }

        @Test
        public void areClearedByAnAnswer() {
            RelayHarness harness = new RelayHarness(6);
            call(harness, "once", "crashing");
            RelayHarness.SentRequest slow = harness.lastSent();
            call(harness, "once", "crashing");
            harness.crashTarget(harness.lastSent());
            harness.advance(300);
            slow.head(200, "Content-Type", STREAM, STAMP, "stamp");
            slow.events(1, 1);
            harness.advance(100);
            call(harness, "once", "crashing");
            harness.crashTarget(harness.lastSent());
            assertTrue(call(harness, "once", "crashing").open());
        }

        /** Guards against a sound part that stays refused because no request with it is sent that could clear it. */
        @Test
        public void thatWereAnsweredBeforeAreClearedByRequestsInProgress() {
            RelayHarness harness = new RelayHarness(8);
            call(harness, "stream", "answered");
            harness.lastSent().head(200, "Content-Type", STREAM, STAMP, "stamp");
            harness.lastSent().events(1, 1);
            harness.lastSent().end();
            harness.advance(10);
            call(harness, "once", "answered");
            RelayHarness.SentRequest inProgress = harness.lastSent();
            for (int i = 0; i < 3; i++) {
                call(harness, "once", "answered");
                while (harness.lastSent().target().equals(inProgress.target())) {
                    call(harness, "once", "answered");
                }
                harness.crashTarget(harness.lastSent());
                harness.advance(260);
            }
            assertEquals(call(harness, "once", "answered").failure().kind(), ErrorKind.QUARANTINED);
            assertFalse(inProgress.cancelled);
            inProgress.head(200, "Content-Type", STREAM, STAMP, "stamp");
            inProgress.events(1, 1);
            assertTrue(call(harness, "once", "answered").open());
        }

        @Test
        public void areNotThoseOfStreamsThatRanOnTheTarget() {
            RelayHarness harness = new RelayHarness(8);
            for (int i = 0; i < 4; i++) {
                call(harness, "stream", "document");
                harness.lastSent().head(200, "Content-Type", STREAM, STAMP, "stamp");
                harness.lastSent().events(1, 3);
                RelayHarness.SentRequest running = harness.lastSent();
                harness.crashTarget(running);
                harness.lastSent().loseConnection();
            }
            assertTrue(call(harness, "stream", "document").open());
        }

        @Test
        public void areNotThoseOfTargetsThatFailTogether() {
            RelayHarness harness = new RelayHarness(6);
            List<RelayHarness.SentRequest> inProgress = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                call(harness, "once", "document-" + i);
                inProgress.add(harness.lastSent());
            }
            long targets = inProgress.stream()
                    .map(RelayHarness.SentRequest::target)
                    .distinct()
                    .count();
            assertTrue(targets > 2, targets + " targets");
            inProgress.forEach(harness::crashTarget);
            assertTrue(call(harness, "once", "document-9").open());
        }

        @Test
        public void areNotThoseOfTargetsThatCrashWheneverTheyStart() {
            RelayHarness harness = new RelayHarness(1);
            for (int i = 0; i < 5; i++) {
                assertTrue(call(harness, "once", "document").open());
                harness.crashTarget(harness.lastSent());
                harness.advance(4_000);
                harness.addTarget("new-" + i);
            }
        }

        @Test
        public void areNotThoseOfConnectionsThatARunningTargetReset() {
            RelayHarness harness = new RelayHarness(6);
            for (int i = 0; i < 5; i++) {
                call(harness, "once", "document");
                harness.lastSent().loseConnection();
                answerSoundRequest(harness);
            }
            assertTrue(call(harness, "once", "document").open());
        }
    }

    /**
     * Answers that never end. According to the users' pages, targets may send bytes that do not belong to an answer until the
     * connection is closed.
     */
    public static class EndlessAnswers {
        private static final String STAMP = "X-Server-Stamp";
        private static final int MAX_BYTES = 16_777_216;

        @DataProvider
        public Object[][] streams() {
            return new Object[][] {{"\n"}, {": \n"}, {"data: x"}, {"id: 1\ndata: 1\n\n"}, {": \n\n"}};
        }

        @Test(dataProvider = "streams")
        public void ofStreamsWithoutFurtherEventsAreAborted(String repeated) {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("once");
            RelayHarness.SentRequest sent = harness.lastSent();
            sent.head(200, "Content-Type", STREAM, STAMP, "stamp");
            sent.events(1, 1);
            String bytes = repeated.repeat(10_000);
            for (int total = 0; total < MAX_BYTES && !sent.cancelled; total += bytes.length()) {
                sent.bytes(bytes);
            }
            assertTrue(sent.cancelled, "the connection is closed");
            assertTrue(caller.aborted, "the caller can see that the stream is incomplete");
        }

        @DataProvider
        public Object[][] streamsWithoutIds() {
            return new Object[][] {{"x\n\n"}, {"data: x\n\n"}, {": \n\n"}, {"id: x\n\n"}, {"\n"}, {"x"}};
        }

        /** A router stopped for good after two targets had answered with lines without end: its memory was full. */
        @Test(dataProvider = "streamsWithoutIds")
        public void ofStreamsWithoutAnyEventAreAborted(String repeated) {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("once");
            RelayHarness.SentRequest sent = harness.lastSent();
            sent.head(200, "Content-Type", STREAM, STAMP, "stamp");
            String bytes = repeated.repeat(10_000);
            for (int total = 0; total < MAX_BYTES && !sent.cancelled; total += bytes.length()) {
                sent.bytes(bytes);
            }
            assertTrue(sent.cancelled, "the connection is closed");
            assertFalse(caller.ended);
            assertFalse(caller.open(), "the caller can see that the stream is incomplete");
        }

        @Test
        public void onManyConnectionsLeaveMemoryForOtherAnswers() {
            RelayHarness harness = new RelayHarness(1);
            for (int i = 0; i < 60; i++) {
                harness.call("read");
                harness.lastSent().head(200, STAMP, "stamp");
            }
            List<RelayHarness.SentRequest> endless = List.copyOf(harness.sent);
            String bytes = "x".repeat(100_000);
            for (int round = 0; round < 20; round++) {
                endless.stream().filter(sent -> !sent.cancelled).forEach(sent -> sent.bytes(bytes));
            }
            long bufferedBytes = 2_000_000L
                    * endless.stream().filter(sent -> !sent.cancelled).count();
            assertTrue(bufferedBytes <= 96_000_000 / 3, bufferedBytes + " bytes are buffered, of a heap of 96 MB");
            RelayHarness.Caller other = harness.call("read");
            harness.lastSent().answer(200, "done", STAMP, "stamp");
            assertEquals(other.status, 200);
        }
    }

    /** Callers that disconnect before their answer is complete. */
    public static class CallerDisconnects {
        @Test
        public void cancelTheRequestAtTheTargetImmediately() {
            RelayHarness harness = new RelayHarness(3);
            harness.call("stream").disconnect();
            assertTrue(harness.lastSent().cancelled);
            assertEquals(harness.relay.inProgress(), 0);
        }
    }

    /** Targets that signal in their answers that they accept fewer or no requests. */
    public static class SignallingTargets {
        private static final String STAMP = "X-Server-Stamp";

        @Test
        public void thatAreAboutToStopGetNoNewRequests() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("read");
            String stopping = harness.lastSent().target();
            harness.lastSent().answer(200, "done", STAMP, "stamp", "Server-Leaving", "1");
            assertEquals(caller.status, 200);
            for (int i = 0; i < 20; i++) {
                harness.call("read");
                assertNotEquals(harness.lastSent().target(), stopping);
            }
        }

        @Test
        public void thatAreAboutToStopCompleteTheirRequests() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller streaming = harness.call("stream");
            RelayHarness.SentRequest stream = harness.lastSent();
            stream.head(200, "Content-Type", STREAM, STAMP, "stamp", "Server-Leaving", "1");
            assertEquals(harness.call("read").failure().ran(), Failure.Ran.NO);
            stream.events(1, 2);
            stream.end();
            assertTrue(streaming.ended);
        }

        @Test
        public void thatRequestAPauseGetNoRequestsUntilItEnds() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("write");
            String paused = harness.lastSent().target();
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "0.8");
            assertNotEquals(harness.lastSent().target(), paused, "the request is sent to another target");
            for (int i = 0; i < 10; i++) {
                harness.call("read");
                assertNotEquals(harness.lastSent().target(), paused);
            }
            harness.advance(800);
            boolean resumed = false;
            for (int i = 0; i < 10; i++) {
                harness.call("read");
                resumed |= harness.lastSent().target().equals(paused);
            }
            assertTrue(resumed, "the target gets requests again as soon as the pause is over");
        }

        @Test
        public void thatAllPauseCauseARefusalWithTheRemainingPauseAsRetryDelay() {
            RelayHarness harness = new RelayHarness(2);
            RelayHarness.Caller caller = harness.call("write");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "3");
            harness.lastSent().head(503, "X-Not-Executed", "1", "Retry-After", "1.5");
            assertEquals(caller.failure().ran(), Failure.Ran.NO);
            assertEquals(caller.failure().retryAfterMillis(), 1_500);
            harness.advance(500);
            int sends = harness.sent.size();
            Failure next = harness.call("read").failure();
            assertEquals(next.retryAfterMillis(), 1_000);
            assertEquals(harness.sent.size(), sends, "no target is sent the request");
        }

        @Test
        public void thatReachedTheirRateLimitCauseARefusalWithTheTimeUntilTheNextRequest() {
            RelayHarness harness = new RelayHarness(1);
            harness.call("read");
            harness.lastSent().answer(200, "done", STAMP, "stamp", "Server-Limit", "2");
            Failure refused = harness.call("read").failure();
            assertEquals(refused.ran(), Failure.Ran.NO);
            assertEquals(refused.retryAfterMillis(), 500);
            harness.advance(500);
            RelayHarness.Caller served = harness.call("read");
            harness.lastSent().answer(200, "done", STAMP, "stamp", "Server-Limit", "2");
            assertEquals(served.status, 200);
        }

        @Test
        public void thatAnnouncedALimitKeepItAfterAnUnsignedAnswer() {
            RelayHarness harness = new RelayHarness(2);
            harness.call("read");
            String limited = harness.lastSent().target();
            harness.lastSent().answer(200, "done", STAMP, "stamp", "Server-Limit", "0.5");
            harness.advance(2_000);
            harness.terminateTarget(limited.equals("t0") ? "t1" : "t0");
            harness.call("write");
            assertEquals(harness.lastSent().target(), limited);
            harness.lastSent().answer(500, "not signed");
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
        public void getNoRequestsWhoseConnectionIsStillBeingEstablished(String header, String value) {
            RelayHarness harness = new RelayHarness(1);
            harness.call("write");
            RelayHarness.SentRequest answered = harness.lastSent();
            harness.call("write");
            RelayHarness.SentRequest unsent = harness.lastSent();
            unsent.connecting = true;
            harness.targets.register(new TargetEntry("u", "s", new Address("10.0.1.0", 80), "a", 6, false, 1));
            answered.answer(503, "busy", STAMP, "stamp", header, value);
            assertTrue(unsent.cancelled);
            assertEquals(harness.sent.size(), 3);
            assertEquals(harness.lastSent().target(), "u");
        }
    }

    /** Targets that are registered as draining. */
    public static class DrainingTargets {
        @Test
        public void completeTheirRequestsAndGetNoNewOnes() {
            RelayHarness harness = new RelayHarness(1);
            RelayHarness.Caller caller = harness.call("read");
            harness.targets.register(new TargetEntry("t0", "s", new Address("10.0.0.0", 80), "a", 6, true, 1));
            assertEquals(harness.call("read").failure().kind(), ErrorKind.NO_TARGET);
            harness.sent.get(0).answer(200, "done", "X-Server-Stamp", "stamp");
            assertEquals(caller.status, 200);
        }
    }
}
