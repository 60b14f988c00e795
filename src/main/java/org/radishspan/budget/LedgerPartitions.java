package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/** The ledger objects of a fleet. Budgets are assigned to them by a hash of their names. */
public final class LedgerPartitions {
    private final List<SharedObject<LedgerBook>> partitions = new ArrayList<>();

    /** Creates access to the objects {@code ledger/0} to {@code ledger/(count-1)}; {@code count} must be at least 1. */
    public LedgerPartitions(int count, SharedObject.Ports ports) {
        if (count < 1) {
            throw new IllegalArgumentException("count must be at least 1: " + count);
        }
        for (int i = 0; i < count; i++) {
            partitions.add(new SharedObject<>("ledger/" + i, Ledger.CODEC, LedgerRestoration::reconcile, ports));
        }
    }

    /** Returns the number of the partition that contains a budget. */
    public int partitionOf(String budget) {
        byte[] name = budget.getBytes(UTF_8);
        return Math.floorMod(MurmurHash3.hash32x86(name, 0, name.length, 0), partitions.size());
    }

    /** Returns the partition with the given number, counted from 0. */
    public SharedObject<LedgerBook> get(int partition) {
        return partitions.get(partition);
    }

    /** Returns the partition that contains a budget. */
    public SharedObject<LedgerBook> of(String budget) {
        return get(partitionOf(budget));
    }

    /** Returns all partitions, ordered by number. */
    public List<SharedObject<LedgerBook>> all() {
        return partitions;
    }

    /** Lets every partition send the reads and writes that are due. */
    public void tick(long nowMillis) {
        for (SharedObject<LedgerBook> partition : partitions) {
            partition.tick(nowMillis);
        }
    }
}
