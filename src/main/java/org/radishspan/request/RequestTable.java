package org.radishspan.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;

/** The requests in progress on this router, and the queue of those that a system has work for. */
final class RequestTable {
    private final Object2ObjectHashMap<String, Request> rows = new Object2ObjectHashMap<>();
    private final Deque<Request> readyRows = new ArrayDeque<>();

    void add(Request request) {
        rows.put(request.requestId, request);
        markReady(request);
    }

    void remove(Request request) {
        rows.remove(request.requestId);
    }

    void markReady(Request request) {
        if (!request.ready) {
            request.ready = true;
            readyRows.add(request);
        }
    }

    void moveTo(Request request, Request.Phase phase) {
        request.phase = phase;
        markReady(request);
    }

    @Nullable
    Request takeReady() {
        Request request = readyRows.poll();
        if (request != null) {
            request.ready = false;
        }
        return request;
    }

    List<Request> snapshot() {
        return new ArrayList<>(rows.values());
    }

    int size() {
        return rows.size();
    }
}
