package org.radishspan.virtual;

import java.util.Objects;

import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the quarantine of a request that crashes every target that runs it, while its caller repeats it. */
public class QuarantineTest {
    private static final String KEY = "workspace.key";
    private static final int CALLS = 20;
    private static final int TARGETS_BEFORE_QUARANTINE = 2;

    private static VirtualFleet fleet() {
        VirtualFleet fleet =
                VirtualFleet.builder().routers(3).engines(6).seed(41).build();
        fleet.createBudget("crew", 1_000_000);
        fleet.createWorkspace("workspace", "crew");
        fleet.runStartup();
        return fleet;
    }

    private static TestCaller sendToAllRouters(VirtualFleet fleet) {
        TestCaller last = new TestCaller();
        for (int i = 0; i < CALLS; i++) {
            last = TestCaller.crashing(fleet.node(i % 3), KEY);
            fleet.run(1_000);
        }
        return last;
    }

    @Test
    public void crashesTwoTargetsAndNoMore() {
        VirtualFleet fleet = fleet();
        TestCaller last = sendToAllRouters(fleet);
        assertEquals(fleet.targets().crashCount(), TARGETS_BEFORE_QUARANTINE);
        Failure failure = Objects.requireNonNull(last.failure, "the last call is refused");
        assertEquals(failure.kind(), ErrorKind.QUARANTINED);
        assertEquals(failure.ran(), Failure.Ran.NO);
        assertTrue(failure.retryAfterMillis() > 0, "the refusal has a retry delay");
    }

    @Test
    public void doesNotAffectOtherRequests() {
        VirtualFleet fleet = fleet();
        sendToAllRouters(fleet);
        TestCaller other = TestCaller.chat(fleet.node(0), KEY, 4, false, null);
        fleet.run(2_000);
        assertTrue(other.answered());
    }

    @Test
    public void requestsInterruptedByTheCrashAreAnswered() {
        VirtualFleet fleet = fleet();
        TestCaller[] interrupted = new TestCaller[CALLS];
        for (int i = 0; i < CALLS; i++) {
            interrupted[i] = TestCaller.chat(fleet.node(0), KEY, 30, false, null);
        }
        fleet.run(200);
        TestCaller.crashing(fleet.node(0), KEY);
        fleet.run(10_000);
        for (TestCaller request : interrupted) {
            assertTrue(request.answered(), String.valueOf(request.failure));
        }
    }

    @Test
    public void isReleasedOnAllRoutersByAnOperator() {
        VirtualFleet fleet = fleet();
        sendToAllRouters(fleet);
        var quarantineTable = fleet.node(1).router().requests().quarantineTable();
        String fingerprint =
                quarantineTable.quarantined(fleet.time().nowMillis()).get(0).fingerprint();
        assertTrue(quarantineTable.release(fingerprint));
        fleet.run(1_000);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    fleet.node(i)
                            .router()
                            .requests()
                            .quarantineTable()
                            .quarantined(fleet.time().nowMillis())
                            .size(),
                    0);
        }
    }
}
