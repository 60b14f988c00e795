package org.radishspan.demo;

import java.io.PrintWriter;
import java.util.Objects;

/** Compares what was seen with what was expected, and prints each comparison. */
final class DemoCheck {
    private final PrintWriter out;
    private int failed;
    private int done;

    DemoCheck(PrintWriter out) {
        this.out = out;
    }

    void equal(String what, Object expected, Object seen) {
        done++;
        boolean same = same(expected, seen);
        if (!same) {
            failed++;
        }
        out.println((same ? "ok    " : "WRONG ") + what + ": " + seen + (same ? "" : ", expected " + expected));
    }

    private static boolean same(Object expected, Object seen) {
        if (expected instanceof Number left && seen instanceof Number right) {
            return left.longValue() == right.longValue();
        }
        return Objects.equals(expected, seen);
    }

    boolean passed() {
        out.println((done - failed) + " passed, " + failed + " failed");
        return failed == 0;
    }
}
