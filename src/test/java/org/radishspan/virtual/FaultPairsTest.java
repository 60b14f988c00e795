package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What must always hold, under each fault and each pair of faults. */
public class FaultPairsTest {
    private static final long LIMIT_TOKENS = 20_000;

    @DataProvider
    public Object[][] pairs() {
        List<Object[]> rows = new ArrayList<>();
        for (FaultRun.Fault first : FaultRun.Fault.values()) {
            for (FaultRun.Fault second : FaultRun.Fault.values()) {
                if (first.compareTo(second) <= 0) {
                    rows.add(new Object[] {first, second, 1L + rows.size()});
                    rows.add(new Object[] {first, second, 1_001L + rows.size()});
                }
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "pairs")
    public void promisesHold(FaultRun.Fault first, FaultRun.Fault second, long seed) {
        FaultRun run = new FaultRun(seed, 5, LIMIT_TOKENS);
        run.run(3_000, true);
        run.start(first);
        run.run(2_000, true);
        run.start(second);
        run.run(10_000, true);
        run.heal();
        run.run(5_000, true);
        run.run(60_000, false);
        run.checkOutcome();
        run.checkEveryKeyedChatAnswered();
        run.checkPlannedStop();
        run.checkOutcome();
    }
}
