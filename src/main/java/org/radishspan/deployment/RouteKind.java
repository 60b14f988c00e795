package org.radishspan.deployment;

/** What may be repeated of the requests of a route. */
public enum RouteKind {
    /** May run more than once. */
    IDEMPOTENT,
    /** Runs at most once for each attempt of a caller. */
    NON_IDEMPOTENT,
    /** Is answered by a stream of events; may run again only where the route allows that the stream is resumed. */
    STREAM
}
