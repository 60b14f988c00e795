package org.radishspan.deployment;

import java.util.Map;
import java.util.Set;

/**
 * What a router has registered in the store about the crashes of targets that it observed.
 *
 * @param targetsByFingerprint the targets that crashed, by the fingerprint of the requests that may be the cause
 */
public record CrashReport(Map<String, Set<String>> targetsByFingerprint) {

    /** Returns whether no crash is reported. */
    public boolean isEmpty() {
        return targetsByFingerprint.isEmpty();
    }
}
