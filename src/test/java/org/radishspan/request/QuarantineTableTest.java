package org.radishspan.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.radishspan.error.Failure;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the records of crashes: their exchange between routers, their removal and their expiry. */
public class QuarantineTableTest {
    private static final String PART = Fingerprint.ofPart("s", "part");
    private static final long QUARANTINE_MILLIS = 300_000;

    private final List<String> sent = new ArrayList<>();
    private final QuarantineTable table = new QuarantineTable(
            (fingerprints, target, ageMillis) -> sent.add(String.join(",", fingerprints) + ":" + target), 3);

    private boolean refused(long nowMillis) {
        return table.refusal(List.of("request", PART), Failure.Ran.NO, nowMillis)
                .isPresent();
    }

    private QuarantineTableTest strikeTwice() {
        table.strike(PART, "t1", 1_000);
        table.onPeerNotification(List.of(PART), "t2", 100, 2_000);
        return this;
    }

    /** Records of one's own crashes and of those that other routers report. */
    public static class Records {
        @Test
        public void ofSeveralRoutersCountTogetherAndEachTargetOnce() {
            QuarantineTableTest test = new QuarantineTableTest();
            test.table.strike(PART, "t1", 1_000);
            test.table.onPeerNotification(List.of(PART), "t1", 0, 1_500);
            assertFalse(test.refused(1_500));
            test.table.onPeerNotification(List.of(PART), "t2", 0, 2_000);
            assertTrue(test.refused(2_000));
            assertEquals(test.sent, List.of(PART + ":t1"));
        }

        @Test
        public void readFromTheStoreCountToo() {
            QuarantineTableTest test = new QuarantineTableTest();
            test.table.onReport(List.of(PART), "t1", 500, false, 1_000);
            test.table.onReport(List.of(PART), "t2", 900, true, 1_000);
            assertTrue(test.refused(1_000));
            assertEquals(
                    test.table.observedHere().get(PART), Map.of("t2", 900L), "its own earlier process observed one");
        }

        @Test
        public void expireAfterTheQuarantine() {
            QuarantineTableTest test = new QuarantineTableTest().strikeTwice();
            assertTrue(test.refused(1_900 + QUARANTINE_MILLIS - 1));
            assertFalse(test.refused(1_900 + QUARANTINE_MILLIS));
            assertTrue(test.table.isEmpty());
        }

        @Test
        public void areSentToARouterThatConnects() {
            QuarantineTableTest test = new QuarantineTableTest().strikeTwice();
            List<String> received = new ArrayList<>();
            test.table.sendAll(
                    (fingerprints, target, ageMillis) -> received.add(fingerprints + " " + target + " " + ageMillis),
                    2_500);
            assertEquals(received, List.of("[" + PART + "] t1 1500", "[" + PART + "] t2 600"));
        }

        /** Guards against a refusal of sound parts for the moment between two messages about the same crash. */
        @Test
        public void ofOneCrashAreJudgedTogether() {
            QuarantineTableTest test = new QuarantineTableTest();
            List<String> parts = List.of(Fingerprint.ofPart("s", "template"), PART);
            test.table.strike(parts, "t1", 1_000, 1_000);
            test.table.strike(parts, "t2", 2_000, 2_000);
            assertEquals(test.sent, List.of(String.join(",", parts) + ":t1", String.join(",", parts) + ":t2"));
            QuarantineTable receiver = new QuarantineTable((fingerprints, target, ageMillis) -> {}, 3);
            test.table.sendAll(
                    (fingerprints, target, ageMillis) -> {
                        receiver.onPeerNotification(fingerprints, target, ageMillis, 3_000);
                        assertFalse(
                                receiver.refusal(List.of(parts.get(0)), Failure.Ran.NO, 3_000)
                                        .isPresent(),
                                "after the records of " + target);
                    },
                    3_000);
            assertTrue(receiver.refusal(parts, Failure.Ran.NO, 3_000).isPresent());
        }
    }

    /** Answers that show that a part does not crash targets. */
    public static class Answers {
        @Test
        public void removeTheRecordsHereAndElsewhere() {
            QuarantineTableTest test = new QuarantineTableTest().strikeTwice();
            test.table.onAnswerBegan(List.of(PART), 2_100);
            assertFalse(test.refused(2_100));
            assertEquals(test.sent.get(test.sent.size() - 1), PART + ":");
        }

        @Test
        public void outweighReportsOfEarlierCrashesThatArriveLater() {
            QuarantineTableTest test = new QuarantineTableTest();
            test.table.onAnswerBegan(List.of(PART), 2_000);
            test.table.onPeerNotification(List.of(PART), "t1", 500, 2_100);
            assertTrue(test.table.isEmpty());
            assertEquals(test.sent, List.of(PART + ":"), "the other routers are told");
            test.table.onPeerNotification(List.of(PART), "t2", 50, 2_100);
            assertFalse(test.table.isEmpty(), "a crash after the answer counts");
        }
    }
}
