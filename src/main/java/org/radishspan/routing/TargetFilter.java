package org.radishspan.routing;

/** A condition that a target has to meet to be sent a request. */
@FunctionalInterface
public interface TargetFilter {
    /** Admits every target. */
    TargetFilter ALL = (target, nowMillis) -> true;

    /** Returns whether the request may be sent to the target now. */
    boolean admits(Target target, long nowMillis);

    /** Returns a filter that admits the targets that both filters admit. */
    default TargetFilter and(TargetFilter other) {
        return (target, nowMillis) -> admits(target, nowMillis) && other.admits(target, nowMillis);
    }
}
