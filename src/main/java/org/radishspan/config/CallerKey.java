package org.radishspan.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;
import org.radishspan.proto.WorkspaceState;

/** Keys of callers, stored as salted hashes and compared in constant time. */
public final class CallerKey {
    private static final SecureRandom SECURE_RANDOM = new SecureRandom();

    private CallerKey() {}

    /** Returns the hash of a key as it is stored. */
    public static String hash(String salt, String key) {
        return DigestUtils.sha256Hex(salt + ":" + key);
    }

    /** Returns whether a key is the one that a workspace was created with. */
    public static boolean matches(WorkspaceState workspace, String key) {
        return sameText(hash(workspace.getKeySalt(), key), workspace.getKeyHash());
    }

    /** Compares two texts in a time that does not depend on where they differ. */
    public static boolean sameText(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a salt, a key or an id: so many random bytes as hexadecimal text. */
    public static String random(int byteCount) {
        byte[] bytes = new byte[byteCount];
        SECURE_RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
