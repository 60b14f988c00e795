package org.radishspan.deployment;

import java.util.Set;

import org.radishspan.log.EventLog;
import org.radishspan.routing.TargetTable;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** The table of targets follows what they say of themselves. */
public class TargetDirectoryTest {

    private static final class Harness {
        private final TargetTable table = new TargetTable();
        private boolean storeFailedLately;
        private final TargetDirectory directory =
                new TargetDirectory(table, millis -> storeFailedLately, EventLog.silent(), ended -> {});

        private void present(boolean draining) {
            directory.onPresent("t", new TargetEntry("", "s", new Address("10.0.0.1", 80), "a", 6, draining, 1));
        }

        private int usable() {
            return table.candidates("s", Set.of(), 0).size();
        }
    }

    @Test
    public void aTargetThatIsGoneGetsNoNewWorkAtOnce() {
        Harness harness = new Harness();
        harness.present(false);
        harness.directory.onAbsent("t");
        assertEquals(harness.usable(), 0);
    }

    @Test
    public void aDrainingTargetGetsNoNewWork() {
        Harness harness = new Harness();
        harness.present(false);
        harness.present(true);
        assertEquals(harness.usable(), 0);
    }

    @Test
    public void anEntryThatLapsedInAnOutageCountsUntilItShouldBeBack() {
        Harness harness = new Harness();
        harness.present(false);
        harness.storeFailedLately = true;
        harness.directory.onAbsent("t");
        harness.directory.tick();
        assertEquals(harness.usable(), 1, "the entry may be back within two seconds");
        harness.storeFailedLately = false;
        harness.directory.tick();
        assertEquals(harness.usable(), 0, "it did not come back");
    }

    @Test
    public void anEntryThatCameBackStays() {
        Harness harness = new Harness();
        harness.present(false);
        harness.storeFailedLately = true;
        harness.directory.onAbsent("t");
        harness.present(false);
        harness.storeFailedLately = false;
        harness.directory.tick();
        assertEquals(harness.usable(), 1);
    }
}
