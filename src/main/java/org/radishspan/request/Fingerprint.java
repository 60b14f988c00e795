package org.radishspan.request;

/**
 * Fingerprints by which crashes are recorded: of a whole request, which are hashes, and of the parts of its prompt, which other
 * requests may share.
 */
public final class Fingerprint {
    private static final String PART_PREFIX = "part/";

    private Fingerprint() {}

    /** Returns the fingerprint of a part of a prompt. A part that crashes the targets of one service may be sound at another. */
    public static String ofPart(String service, String partId) {
        return PART_PREFIX + service + "/" + partId;
    }

    /** Returns whether a fingerprint is that of a part. */
    public static boolean isPart(String fingerprint) {
        return fingerprint.startsWith(PART_PREFIX);
    }
}
