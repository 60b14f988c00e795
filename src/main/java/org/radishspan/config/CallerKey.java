package org.radishspan.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import org.apache.commons.codec.digest.DigestUtils;
import org.radishspan.proto.WorkspaceState;

/** Creates and verifies the keys of callers, which are stored as salted hashes and compared in constant time. */
public final class CallerKey {
    private static final SecureRandom SECURE_RANDOM = new SecureRandom();

    private CallerKey() {}

    /** Returns the salted SHA-256 hash of a key in hexadecimal, as it is stored. */
    public static String hash(String salt, String key) {
        return DigestUtils.sha256Hex(salt + ":" + key);
    }

    /** Returns whether a key has the hash that is stored for a workspace. */
    public static boolean matches(WorkspaceState workspace, String key) {
        return constantTimeEquals(hash(workspace.getKeySalt(), key), workspace.getKeyHash());
    }

    /** Returns whether two texts are equal. The comparison takes the same time wherever they differ. */
    public static boolean constantTimeEquals(String left, String right) {
        return MessageDigest.isEqual(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns {@code byteCount} cryptographically random bytes in hexadecimal, for use as a salt, a key or an id. */
    public static String random(int byteCount) {
        byte[] bytes = new byte[byteCount];
        SECURE_RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
