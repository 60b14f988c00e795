package org.radishspan.deployment;

import java.util.Map;

/**
 * What a router has registered in the store about the crashes of targets that it observed.
 *
 * @param crashedAtUnixMillis when targets crashed, by the fingerprint of the requests that may be the cause and by target
 */
public record CrashReport(Map<String, Map<String, Long>> crashedAtUnixMillis) {

    /** Returns whether no crash is reported. */
    public boolean isEmpty() {
        return crashedAtUnixMillis.isEmpty();
    }
}
