package org.radishspan.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;

/** The requests in progress on this router, and the queue of requests that are ready to be processed. */
final class RequestTable {
    private final Object2ObjectHashMap<String, Request> requests = new Object2ObjectHashMap<>();
    private final Deque<Request> readyQueue = new ArrayDeque<>();

    void add(Request request) {
        requests.put(request.requestId, request);
        markReady(request);
    }

    void remove(Request request) {
        requests.remove(request.requestId);
    }

    /** Adds the request to the queue unless it is already in it. */
    void markReady(Request request) {
        if (!request.queued) {
            request.queued = true;
            readyQueue.add(request);
        }
    }

    /** Sets the phase and queues the request for processing. */
    void moveTo(Request request, Request.Phase phase) {
        request.phase = phase;
        markReady(request);
    }

    /** Removes and returns the next request of the queue; null if the queue is empty. */
    @Nullable
    Request pollReady() {
        Request request = readyQueue.poll();
        if (request != null) {
            request.queued = false;
        }
        return request;
    }

    /** Returns a copy of the requests, so that requests may be removed during iteration. */
    List<Request> snapshot() {
        return new ArrayList<>(requests.values());
    }

    int size() {
        return requests.size();
    }
}
