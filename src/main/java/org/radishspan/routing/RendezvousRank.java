package org.radishspan.routing;

import org.apache.commons.codec.digest.MurmurHash3;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Rendezvous hashing of pairs of names. Every router computes the same rank for a pair, from one hash of each name. */
public final class RendezvousRank {
    private static final int FIRST_MIX = 0x85ebca6b;
    private static final int SECOND_MIX = 0xc2b2ae35;

    private RendezvousRank() {}

    /** Returns the hash of a name. */
    public static int hash(String name) {
        byte[] bytes = name.getBytes(UTF_8);
        return MurmurHash3.hash32x86(bytes, 0, bytes.length, 0);
    }

    /**
     * Returns the rank of the second of two hashed names for the first. Ranks are compared as unsigned numbers; the
     * highest ranks first.
     */
    public static int of(int firstHash, int secondHash) {
        int mixed = firstHash * FIRST_MIX ^ secondHash;
        mixed = (mixed ^ mixed >>> 16) * FIRST_MIX;
        mixed = (mixed ^ mixed >>> 13) * SECOND_MIX;
        return mixed ^ mixed >>> 16;
    }
}
