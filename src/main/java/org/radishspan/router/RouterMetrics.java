package org.radishspan.router;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.store.SharedObject;

/** Exposes the counters of a router as Prometheus metrics. */
final class RouterMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    RouterMetrics(Router router) {
        Gauge.builder(
                        "radishspan.requests.in.progress",
                        router,
                        r -> r.requests().inProgress())
                .register(registry);
        Gauge.builder(
                        "radishspan.config.revision",
                        router,
                        r -> r.configuration().inForce().getRevision())
                .register(registry);
        Gauge.builder("radishspan.held.shares", router, r -> r.heldBills().heldShares())
                .register(registry);
        counter("requests.accepted", router, r -> r.requests().counters().accepted());
        counter("requests.answered", router, r -> r.requests().counters().answered());
        counter("requests.replayed", router, r -> r.requests().counters().replayed());
        counter("requests.retried", router, r -> r.requests().counters().retried());
        counter("requests.resumed", router, r -> r.requests().counters().resumed());
        counter("frames.dropped", router, r -> r.requests().counters().droppedFrames());
        counter("tokens.billed", router, r -> r.requests().counters().billedTokens());
        counter("shares.refused", router, r -> r.shares().counters().refused());
        counter("shares.lost", router, r -> r.shares().counters().sharesLost());
        counter("shares.handovers", router, r -> r.shares().counters().handovers());
        counter("ledger.writes", router, r -> sum(r.ledgers(), SharedObject.Counters::writes));
        counter("ledger.reads", router, r -> sum(r.ledgers(), SharedObject.Counters::reads));
        counter("ledger.conflicts", router, r -> sum(r.ledgers(), SharedObject.Counters::conflicts));
        counter("ledger.unknown.outcomes", router, r -> sum(r.ledgers(), SharedObject.Counters::unknownOutcomes));
    }

    /** Reads a counter of the router. */
    @FunctionalInterface
    private interface RouterCounter {
        double of(Router router);
    }

    /** Reads a counter of one shared object. */
    @FunctionalInterface
    private interface ObjectCounter {
        long of(SharedObject.Counters counters);
    }

    private void counter(String name, Router router, RouterCounter reader) {
        FunctionCounter.builder("radishspan." + name, router, reader::of)
                .tags(Tags.empty())
                .register(registry);
    }

    private static double sum(LedgerPartitions ledgers, ObjectCounter reader) {
        return ledgers.all().stream()
                .mapToLong(ledger -> reader.of(ledger.counters()))
                .sum();
    }

    /** Returns all metrics in the Prometheus text format. */
    String scrape() {
        return registry.scrape();
    }
}
