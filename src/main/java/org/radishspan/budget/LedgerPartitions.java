package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The ledger objects, among which budgets are divided by a hash of their names. */
public final class LedgerPartitions {
    private final List<SharedObject<LedgerBook>> partitions = new ArrayList<>();

    /** Creates the objects {@code ledger/0} to {@code ledger/(count-1)}. */
    public LedgerPartitions(int count, SharedObject.Ports ports) {
        if (count < 1) {
            throw new IllegalArgumentException("count must be at least 1: " + count);
        }
        for (int i = 0; i < count; i++) {
            partitions.add(new SharedObject<>("ledger/" + i, Ledger.CODEC, ports));
        }
    }

    /** Returns the number of the partition that holds a budget. */
    public int partitionOf(String budget) {
        byte[] name = budget.getBytes(UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(name, 0, name.length, 0), partitions.size());
    }

    /** Returns a partition by number. */
    public SharedObject<LedgerBook> get(int partition) {
        return partitions.get(partition);
    }

    /** Returns the partition that holds a budget. */
    public SharedObject<LedgerBook> of(String budget) {
        return get(partitionOf(budget));
    }

    /** Returns every partition. */
    public List<SharedObject<LedgerBook>> all() {
        return partitions;
    }

    /** Lets every partition send what is due. */
    public void tick(long nowMillis) {
        for (SharedObject<LedgerBook> partition : partitions) {
            partition.tick(nowMillis);
        }
    }
}
