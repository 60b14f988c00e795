package org.radishspan.deployment;

/** Whether the requests of a route may be repeated. */
public enum RouteKind {
    /** A request may run more than once. */
    IDEMPOTENT,
    /** A request runs at most once for each attempt of a caller. */
    NON_IDEMPOTENT,
    /** A request is answered by a stream of events. It may run again only if the route allows the stream to be resumed. */
    STREAM
}
