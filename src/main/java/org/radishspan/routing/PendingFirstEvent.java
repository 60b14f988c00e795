package org.radishspan.routing;

/** The first event of an answer that this router expects from a target. */
public final class PendingFirstEvent {
    final double expectedAtMillis;
    private boolean ended;

    PendingFirstEvent(double expectedAtMillis) {
        this.expectedAtMillis = expectedAtMillis;
    }

    /** Marks the first event as received, or as no longer expected because the request ended. */
    public void end() {
        ended = true;
    }

    boolean ended() {
        return ended;
    }
}
