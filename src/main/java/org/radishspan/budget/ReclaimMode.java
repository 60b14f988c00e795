package org.radishspan.budget;

/** What becomes of the unspent rest of a dead router's share. */
public enum ReclaimMode {
    /** It goes back to the account once no bill of the share can come any more. */
    FENCED,
    /** It stays out until an operator releases it. */
    OPERATOR;

    /** Returns the name that stands in settings and in the ledger. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
