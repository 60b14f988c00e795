package org.radishspan.request;

import org.radishspan.error.Failure;

/** Ends requests on this router, with or without a failure. */
interface Finisher {

    /**
     * Sends the failure to the caller if it is still connected, closes the claim, frees the reservation and removes the
     * request.
     */
    void fail(Request request, Failure failure);

    /** Frees the reservation and removes a request that needs no further response. */
    void finish(Request request);
}
