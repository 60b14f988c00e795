package org.radishspan.budget;

import java.util.Collection;
import java.util.function.Function;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;

/** The shares of this router, with one row for each budget. */
public final class ShareTable {
    private final Object2ObjectHashMap<String, Share> rows = new Object2ObjectHashMap<>();

    /** Returns the share of a budget; null if this router has none. */
    public @Nullable Share get(String budget) {
        return rows.get(budget);
    }

    /** Returns all shares. */
    public Collection<Share> rows() {
        return rows.values();
    }

    Share getOrCreate(String budget, Function<String, Share> create) {
        Share share = rows.get(budget);
        if (share == null) {
            share = create.apply(budget);
            rows.put(budget, share);
        }
        return share;
    }

    void remove(Share share) {
        rows.remove(share.budget);
    }
}
