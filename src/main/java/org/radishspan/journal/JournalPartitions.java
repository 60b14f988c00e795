package org.radishspan.journal;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.proto.JournalState;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The journal objects of a fleet; each idempotency key belongs to one of them, which its hash determines. */
public final class JournalPartitions {
    private final List<SharedObject<JournalState>> partitions = new ArrayList<>();

    /** Creates the objects {@code journal/0} to {@code journal/(count-1)}; {@code count} must be at least 1. */
    public JournalPartitions(int count, SharedObject.Ports ports) {
        if (count < 1) {
            throw new IllegalArgumentException("count must be at least 1: " + count);
        }
        for (int i = 0; i < count; i++) {
            partitions.add(new SharedObject<>("journal/" + i, Journal.CODEC, ports));
        }
    }

    /** Returns the partition to which a key belongs. */
    public SharedObject<JournalState> of(String key) {
        byte[] bytes = key.getBytes(UTF_8);
        return partitions.get(Math.floorMod(MurmurHash3.hash32x86(bytes, 0, bytes.length, 0), partitions.size()));
    }

    /** Returns all partitions, in the order of their numbers. */
    public List<SharedObject<JournalState>> all() {
        return partitions;
    }

    /** Sends the due read or write of each partition. */
    public void tick(long nowMillis) {
        for (SharedObject<JournalState> partition : partitions) {
            partition.tick(nowMillis);
        }
    }
}
