package org.radishspan.bench;

import java.util.Locale;

/** What one run of the budget benchmark came to. */
public final class BudgetResult {
    /** The part of a budget beyond which refusals are not counted as early. */
    public static final double NEARLY_SPENT = 0.98;

    /** The part of a budget up to which refusals in a partition count. */
    public static final double THREE_QUARTERS = 0.75;

    private static final double PER_TEN_THOUSAND = 10_000.0;

    final String policy;
    final String scenario;
    long calls;
    long answered;
    long refused;
    long earlyCalls;
    long falseRefusals;
    long threeQuarterCalls;
    long threeQuarterRefusals;
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

    /** Returns the tokens billed beyond a limit. */
    public long overspentTokens() {
        return overspentTokens;
    }

    /** Returns the false refusals in 10,000 calls, until 98% of the budget was spent. */
    public double falseRefusalsPerTenThousand() {
        return earlyCalls == 0 ? 0 : falseRefusals * PER_TEN_THOUSAND / earlyCalls;
    }

    /** Returns the false refusals in 10,000 calls while more than 25% of the budget was unspent. */
    public double threeQuarterRefusalsPerTenThousand() {
        return threeQuarterCalls == 0 ? 0 : threeQuarterRefusals * PER_TEN_THOUSAND / threeQuarterCalls;
    }

    /** Returns the platform writes a second, those that met a conflict included. */
    public double writesPerSecond() {
        return writesPerSecond;
    }

    /** Returns the unspent tokens that a crash left out at the end, in seconds of a router's demand. */
    public double forfeitedSeconds() {
        return forfeitedSeconds;
    }

    /** Returns the calls made. */
    public long calls() {
        return calls;
    }

    /** Returns the head of the table. */
    public static String head() {
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

    /** Returns a row of the table. */
    public String row() {
        return String.format(
                Locale.ROOT,
                "%-22s %-22s %8d %9d %9.2f %9.2f %9d %9.2f %8.1f %8.1f %8.1f %9.0f",
                scenario,
                policy,
                calls,
                overspentTokens,
                falseRefusalsPerTenThousand(),
                threeQuarterRefusalsPerTenThousand(),
                strandedTokens,
                forfeitedSeconds,
                writesPerSecond,
                conflictsPerSecond,
                readsPerSecond,
                linkBytesPerSecond);
    }
}
