package org.radishspan.demo;

import java.io.PrintWriter;
import java.util.Objects;

/** Compares actual with expected values, prints the result of each comparison, and counts failures. */
final class DemoCheck {
    private final PrintWriter out;
    private int failures;
    private int comparisons;

    DemoCheck(PrintWriter out) {
        this.out = out;
    }

    /** Compares two values and prints the result; numbers are equal if they have the same integer value. */
    void checkEqual(String description, Object expected, Object actual) {
        comparisons++;
        boolean same = same(expected, actual);
        if (!same) {
            failures++;
        }
        out.println(
                (same ? "ok    " : "WRONG ") + description + ": " + actual + (same ? "" : ", expected " + expected));
    }

    private static boolean same(Object expected, Object actual) {
        if (expected instanceof Number left && actual instanceof Number right) {
            return left.longValue() == right.longValue();
        }
        return Objects.equals(expected, actual);
    }

    /** Prints how many comparisons passed and failed, and returns whether all passed. */
    boolean passed() {
        out.println((comparisons - failures) + " passed, " + failures + " failed");
        return failures == 0;
    }
}
