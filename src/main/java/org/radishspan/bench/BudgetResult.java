package org.radishspan.bench;

import java.util.Locale;

/** The counts and rates of one run of the budget benchmark, which form one row of its table. */
public final class BudgetResult {
    /** False refusals are counted while the billed fraction of a budget is below this value. */
    public static final double NEARLY_SPENT = 0.98;

    /** False refusals during faults are counted while the billed fraction of a budget is below this value. */
    public static final double THREE_QUARTERS = 0.75;

    private static final double PER_TEN_THOUSAND = 10_000.0;

    final String policy;
    final String scenario;
    long calls;
    long billedCalls;
    long refusedCalls;
    long callsBelow98;
    long falseRefusalsBelow98;
    long callsBelow75;
    long falseRefusalsBelow75;
    long overspentTokens;
    long strandedTokens;
    double forfeitedSeconds;
    double writesPerSecond;
    double conflictsPerSecond;
    double readsPerSecond;
    double linkBytesPerSecond;

    BudgetResult(String policy, String scenario) {
        this.policy = policy;
        this.scenario = scenario;
    }

    /** Returns the largest number of tokens by which the bills of any one budget exceeded its limit. */
    public long overspentTokens() {
        return overspentTokens;
    }

    /** Returns the false refusals per 10,000 calls while less than 98% of the budget was spent. */
    public double falseRefusalsPerTenThousand() {
        return callsBelow98 == 0 ? 0 : falseRefusalsBelow98 * PER_TEN_THOUSAND / callsBelow98;
    }

    /** Returns the false refusals per 10,000 calls while more than 25% of the budget was unspent. */
    public double falseRefusalsBelow75PerTenThousand() {
        return callsBelow75 == 0 ? 0 : falseRefusalsBelow75 * PER_TEN_THOUSAND / callsBelow75;
    }

    /** Returns the platform writes per second, including those that failed with a conflict. */
    public double writesPerSecond() {
        return writesPerSecond;
    }

    /**
     * Returns the unspent tokens that were forfeited by the end of the run because of a crash, in seconds of one router's
     * demand.
     */
    public double forfeitedSeconds() {
        return forfeitedSeconds;
    }

    /** Returns the number of calls, whether they were admitted or refused. */
    public long calls() {
        return calls;
    }

    /** Returns the column heads of the table, aligned with {@link #row}. */
    public static String header() {
        return String.format(
                Locale.ROOT,
                "%-22s %-22s %8s %9s %9s %9s %9s %9s %8s %8s %8s %9s",
                "scenario",
                "policy",
                "calls",
                "overspent",
                "false/10k",
                "f<75%/10k",
                "stranded",
                "forfeit s",
                "writes/s",
                "confl/s",
                "reads/s",
                "link B/s");
    }

    /** Returns this result as a row of the table. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "%-22s %-22s %8d %9d %9.2f %9.2f %9d %9.2f %8.1f %8.1f %8.1f %9.0f",
                scenario,
                policy,
                calls,
                overspentTokens,
                falseRefusalsPerTenThousand(),
                falseRefusalsBelow75PerTenThousand(),
                strandedTokens,
                forfeitedSeconds,
                writesPerSecond,
                conflictsPerSecond,
                readsPerSecond,
                linkBytesPerSecond);
    }
}
