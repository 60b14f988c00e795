package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the invariants of {@link FaultRun} under each fault and each pair of faults. */
public class FaultPairsTest {
    private static final long LIMIT_TOKENS = 20_000;
    private static final long TIGHT_LIMIT_TOKENS = 400;

    @DataProvider
    public Object[][] pairs() {
        List<Object[]> rows = new ArrayList<>();
        for (FaultRun.Fault first : FaultRun.Fault.values()) {
            for (FaultRun.Fault second : FaultRun.Fault.values()) {
                if (first.compareTo(second) <= 0) {
                    rows.add(new Object[] {first, second, 1L + rows.size()});
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "pairs")
    public void invariantsHold(FaultRun.Fault first, FaultRun.Fault second, long seed) {
        FaultRun run = runWith(first, second, seed, LIMIT_TOKENS);
        run.checkEveryKeyedChatAnswered();
        run.checkPlannedStop();
        run.checkOutcome();
    }

    @Test(dataProvider = "pairs")
    public void invariantsHoldWhileTheBudgetRunsOut(FaultRun.Fault first, FaultRun.Fault second, long seed) {
        FaultRun run = runWith(first, second, seed, TIGHT_LIMIT_TOKENS);
        run.checkPlannedStop();
        run.checkOutcome();
    }

    private static FaultRun runWith(FaultRun.Fault first, FaultRun.Fault second, long seed, long limitTokens) {
        FaultRun run = new FaultRun(seed, 5, limitTokens);
        run.run(3_000, true);
        run.start(first);
        run.run(2_000, true);
        run.start(second);
        run.run(10_000, true);
        run.clearFaults();
        run.run(5_000, true);
        run.run(60_000, false);
        run.checkOutcome();
        return run;
    }
}
