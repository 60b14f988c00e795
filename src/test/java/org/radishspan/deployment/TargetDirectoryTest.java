package org.radishspan.deployment;

import java.util.Set;

import org.radishspan.log.EventLog;
import org.radishspan.routing.TargetTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that the table of targets follows their entries in the store. */
public class TargetDirectoryTest {

    private static final class Harness {
        private final TargetTable table = new TargetTable();
        private boolean storeFailedRecently;
        private long nowMillis;
        private final TargetDirectory directory = new TargetDirectory(
                table, millis -> storeFailedRecently, () -> nowMillis, EventLog.silent(), ended -> {});

        private void putEntry(boolean draining) {
            directory.onPresent("t", new TargetEntry("", "s", new Address("10.0.0.1", 80), "a", 6, draining, 1));
        }

        private int usableTargets() {
            return table.candidates("s", Set.of(), 0).size();
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
        harness.storeFailedRecently = true;
        harness.directory.onAbsent("t");
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 1, "the entry may reappear within two seconds");
        harness.storeFailedRecently = false;
        harness.directory.tick();
        assertEquals(harness.usableTargets(), 0, "the entry did not reappear");
    }

    @Test
    public void aTargetWhoseEntryReappearsIsKept() {
        Harness harness = new Harness();
        harness.putEntry(false);
        harness.storeFailedRecently = true;
        harness.directory.onAbsent("t");
        harness.putEntry(false);
        harness.storeFailedRecently = false;
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
