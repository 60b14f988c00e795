package org.radishspan.routing;

import java.util.function.BooleanSupplier;

/** What this router knows of all targets of one service together: the means to which the views of single targets return. */
final class ServiceLoads {
    /** Number of latest reports of which the means are taken: those of a fraction of a second at the users' load. */
    private static final double REPORTS = 64;

    /** Number of latest answers of which the speed of the service is taken. */
    private static final double ANSWERS = 256;

    private final BooleanSupplier active;
    final DecayingMean pace = new DecayingMean(REPORTS);
    final DecayingMean othersLoad = new DecayingMean(REPORTS);
    final DecayingMean logStartMillis = new DecayingMean(ANSWERS);
    final DecayingMean logReadMillisPerToken = new DecayingMean(ANSWERS);
    final DecayingMean logFirstEventMillis = new DecayingMean(ANSWERS);
    final RequestSizes sizes = new RequestSizes();

    /** Whether this router has received streams of the service. */
    boolean streams;

    /** The tokens that fit into the memory of one target; 0 if not known. */
    long memoryTokens;

    /** When a peer last reported the load of a target. */
    long peerReportAtMillis = Long.MIN_VALUE / 2;

    ServiceLoads(BooleanSupplier active) {
        this.active = active;
    }

    boolean active() {
        return active.getAsBoolean();
    }

    double startMillis(double fallback) {
        return logStartMillis.count() == 0 ? fallback : Math.exp(logStartMillis.mean());
    }

    double readMillisPerToken(double fallback) {
        return logReadMillisPerToken.count() == 0 ? fallback : Math.exp(logReadMillisPerToken.mean());
    }

    /** Returns the usual time to the first event at the usual pace; 0 if none was measured. */
    double firstEventMillis() {
        return logFirstEventMillis.count() == 0 ? 0 : Math.exp(logFirstEventMillis.mean());
    }
}
