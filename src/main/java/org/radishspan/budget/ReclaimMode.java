package org.radishspan.budget;

import java.util.Locale;
import java.util.Optional;

/** What becomes of the unspent rest of a dead router's share. */
public enum ReclaimMode {
    /** It goes back to the account once no bill of the share can come any more. */
    FENCED,
    /** It stays out until an operator releases it. */
    OPERATOR;

    /** Returns the mode of a name; empty if there is none of that name. */
    public static Optional<ReclaimMode> ofWireName(String name) {
        for (ReclaimMode mode : values()) {
            if (mode.wireName().equals(name)) {
                return Optional.of(mode);
            }
        }
        return Optional.empty();
    }

    /** Returns the name that stands in settings and in the ledger. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
