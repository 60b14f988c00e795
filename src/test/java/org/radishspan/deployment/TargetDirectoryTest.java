package org.radishspan.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.radishspan.log.EventLog;
import org.radishspan.routing.TargetTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the table of targets follows their entries in the store. */
public class TargetDirectoryTest {

    private static final class Harness {
        private final TargetTable table = new TargetTable();
        private boolean storeOutageRecently;
        private long nowMillis;
        private final TargetDirectory directory = new TargetDirectory(
                table, millis -> storeOutageRecently, () -> nowMillis, EventLog.silent(), ended -> {});

        private void putEntry(boolean draining) {
            directory.onPresent("t", new TargetEntry("", "s", new Address("10.0.0.1", 80), "a", 6, draining, 1));
        }

        private int usableTargets() {
            return table.candidates("s", Set.of(), 0).size();
        }
    }

    /** The cold times in the entries of targets. */
    public static class ColdTimes {
        private static final long COLD_MILLIS = 8_000;

        private final Harness harness = new Harness();
        private final List<String> reported = new ArrayList<>();

        private static TargetEntry entry(boolean draining, long startedAtUnixMillis, long coldMillis) {
            return new TargetEntry(
                    "", "s", new Address("10.0.0.1", 80), "a", 6, draining, startedAtUnixMillis, coldMillis, "");
        }

        private static ColdTimes enabled() {
            ColdTimes test = new ColdTimes();
            test.harness.table.setColdRates(Map.of("s", 0.1), 0);
            test.harness.directory.applyColdTimes(target -> test.reported.add(target.name()));
            return test;
        }

        private boolean coldAt(long millis) {
            harness.nowMillis = millis;
            harness.directory.tick();
            return harness.table.isColdLimited(Objects.requireNonNull(harness.table.get("t")), millis);
        }

        @Test
        public void areAppliedFromTheEntryToTheirEnd() {
            ColdTimes test = enabled();
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            assertEquals(test.reported, List.of("t"));
            assertEquals(test.harness.directory.coldTargets(), 1);
            assertTrue(test.coldAt(COLD_MILLIS - 1));
            assertFalse(test.coldAt(COLD_MILLIS));
            assertEquals(test.harness.directory.coldTargets(), 0);
        }

        @Test
        public void areIgnoredWithoutTheFeature() {
            ColdTimes test = new ColdTimes();
            test.harness.table.setColdRates(Map.of("s", 0.1), 0);
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            test.harness.directory.onRepeated("t", entry(false, 1, COLD_MILLIS));
            assertFalse(test.coldAt(1));
        }

        /** Guards against a cold time that never ends because its entry is listed again and again. */
        @Test
        public void doNotBeginAnewWhenTheSameEntryIsListedAgain() {
            ColdTimes test = enabled();
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            test.coldAt(5_000);
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            assertFalse(test.coldAt(COLD_MILLIS));
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            assertFalse(test.coldAt(COLD_MILLIS + 1));
            assertEquals(test.reported, List.of("t"));
        }

        @Test
        public void beginAnewWhenTheSameEntryIsWrittenAgain() {
            ColdTimes test = enabled();
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            assertFalse(test.coldAt(2 * COLD_MILLIS));
            test.harness.directory.onRepeated("t", entry(false, 1, COLD_MILLIS));
            assertTrue(test.coldAt(3 * COLD_MILLIS - 1));
            assertFalse(test.coldAt(3 * COLD_MILLIS));
        }

        @Test
        public void followEachChangeOfTheEntry() {
            ColdTimes test = enabled();
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            test.coldAt(1_000);
            test.harness.directory.onPresent("t", entry(false, 1, 2_000));
            assertTrue(test.coldAt(2_999));
            assertFalse(test.coldAt(3_000));
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            assertTrue(test.coldAt(3_001));
            test.harness.directory.onPresent("t", entry(false, 1, 0));
            assertFalse(test.coldAt(3_002));
        }

        @Test
        public void endWithTheIncarnation() {
            ColdTimes test = enabled();
            test.harness.directory.onPresent("t", entry(false, 1, COLD_MILLIS));
            test.harness.directory.onPresent("t", entry(false, 2, 0));
            assertFalse(test.coldAt(1));
            test.harness.directory.onPresent("t", entry(false, 3, COLD_MILLIS));
            assertTrue(test.coldAt(2));
            test.harness.directory.onAbsent("t");
            assertEquals(test.harness.directory.coldTargets(), 0);
        }
    }

    @Test
    public void aTargetWhoseEntryIsRemovedGetsNoNewRequestsAtOnce() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.directory.onAbsent("t");
        assertEquals(harness.usableTargets(), 0);
    }

    @Test
    public void aDrainingTargetGetsNoNewRequests() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.putEntry(true);
        assertEquals(harness.usableTargets(), 0);
    }

    @Test
    public void aTargetWhoseEntryLapsedInAnOutageIsKeptUntilTheEntryShouldReappear() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.storeOutageRecently = true;
        harness.directory.onAbsent("t");
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 1, "the entry may reappear within two seconds");
        harness.storeOutageRecently = false;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 0, "the entry did not reappear");
    }

    @Test
    public void aTargetWhoseEntryReappearsIsKept() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.storeOutageRecently = true;
        harness.directory.onAbsent("t");
        harness.putEntry(false);
        harness.storeOutageRecently = false;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 1);
    }

    /** The copy from which the store came back lists a target that has left since. */
    @Test
    public void aTargetThatLeftIsNotUsedAgainWhenAnOlderCopyListsIt() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.directory.onAbsent("t");
        harness.directory.onStoreRestored();
        harness.putEntry(false);
        harness.nowMillis = 3_900;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 0);
        harness.directory.onAbsent("t");
        harness.nowMillis = 4_100;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 0, "its entry expired");
    }

    @Test
    public void aDrainingTargetIsNotUsedAgainWhenAnOlderCopyListsItAsReady() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.putEntry(true);
        harness.directory.onStoreRestored();
        harness.putEntry(false);
        assertEquals(harness.usableTargets(), 0);
        harness.putEntry(true);
        harness.nowMillis = 4_100;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 0, "the target has written its entry again");
    }

    /** A target whose entry had only lapsed writes it again, which the store does not show as a change. */
    @Test
    public void aTargetThatAnOlderCopyGoesOnToListIsUsedAfterAWhile() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.directory.onAbsent("t");
        harness.directory.onStoreRestored();
        harness.putEntry(false);
        harness.nowMillis = 4_100;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 1);
    }

    @Test
    public void anotherIncarnationIsUsedAtOnceAfterARestore() {
        Harness harness = new Harness();
        harness.putEntry(true);
        harness.directory.onStoreRestored();
        harness.directory.onPresent("t", new TargetEntry("", "s", new Address("10.0.0.1", 80), "a", 6, false, 2));
        assertEquals(harness.usableTargets(), 1);
    }
}
