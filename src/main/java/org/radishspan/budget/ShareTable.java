package org.radishspan.budget;

import java.util.Collection;
import java.util.function.Function;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;

/** The shares of this router, one row a budget. */
public final class ShareTable {
    private final Object2ObjectHashMap<String, Share> rows = new Object2ObjectHashMap<>();

    /** Returns the row of a budget; null if this router holds no share of it. */
    public @Nullable Share get(String budget) {
        return rows.get(budget);
    }

    /** Returns every row. */
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
