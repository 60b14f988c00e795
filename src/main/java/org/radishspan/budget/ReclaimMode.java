package org.radishspan.budget;

import java.util.Locale;
import java.util.Optional;

/** Determines what happens to the unspent tokens of a dead router's share. */
public enum ReclaimMode {
    /** They return to the account once the share can receive no more bills. */
    FENCED,
    /** They are withheld until an operator releases them. */
    OPERATOR;

    /** Returns the mode with the given wire name; empty if there is none. */
    public static Optional<ReclaimMode> ofWireName(String name) {
        for (ReclaimMode mode : values()) {
            if (mode.wireName().equals(name)) {
                return Optional.of(mode);
            }
        }
        return Optional.empty();
    }

    /** Returns the name of the mode in settings and in the ledger. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
