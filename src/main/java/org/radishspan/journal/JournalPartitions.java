package org.radishspan.journal;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.proto.JournalState;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The journal objects, among which idempotency keys are divided by their hash. */
public final class JournalPartitions {
    private final List<SharedObject<JournalState>> partitions = new ArrayList<>();

    /** Creates the objects {@code journal/0} to {@code journal/(count-1)}. */
    public JournalPartitions(int count, SharedObject.Ports ports) {
        if (count < 1) {
            throw new IllegalArgumentException("count must be at least 1: " + count);
        }
        for (int i = 0; i < count; i++) {
            partitions.add(new SharedObject<>("journal/" + i, Journal.CODEC, ports));
        }
    }

    /** Returns the partition that holds a key. */
    public SharedObject<JournalState> of(String key) {
        byte[] bytes = key.getBytes(UTF_8);
        return partitions.get(Math.floorMod(MurmurHash3.hash32x86(bytes, 0, bytes.length, 0), partitions.size()));
    }

    /** Returns every partition. */
    public List<SharedObject<JournalState>> all() {
        return partitions;
    }

    /** Lets every partition send what is due. */
    public void tick(long nowMillis) {
        for (SharedObject<JournalState> partition : partitions) {
            partition.tick(nowMillis);
        }
    }
}
