package org.radishspan.request;

import org.radishspan.error.Failure;

/** Ends requests. */
interface Finisher {

    /** Answers with a failure, frees what the request holds, and forgets it. */
    void fail(Request request, Failure failure);

    /** Forgets a request whose caller has its answer. */
    void finish(Request request);
}
