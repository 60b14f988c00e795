package org.radishspan.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.error.Failure;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.LedgerResult;
import org.radishspan.proto.SpendingBound;
import org.radishspan.standin.InMemoryObjectStore;
import org.radishspan.store.CallBudget;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoreEra;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/**
 * Tests {@link LedgerGateway}: changes of ledgers that are committed by another router, and what happens if it does not
 * respond.
 */
public class LedgerGatewayTest {
    private static final int MAX_SENDS = 8;
    private static final long RESPONSE_TIMEOUT_MILLIS = 900;

    private static final class Harness implements LedgerGateway.CombinerClient, VersionedObjects {
        private final InMemoryObjectStore objects = new InMemoryObjectStore();
        private final List<LedgerCall> sent = new ArrayList<>();
        private final List<LedgerResult> results = new ArrayList<>();
        private final LedgerPartitions ledgers = new LedgerPartitions(
                1,
                new SharedObject.Ports(
                        this,
                        new CallBudget(1_000, 1_000),
                        new CallBudget(1_000, 1_000),
                        RandomSource.XO_SHI_RO_256_PP.create(1),
                        0));
        private final LedgerGateway gateway = new LedgerGateway(ledgers, this, new StoreEra(), RESPONSE_TIMEOUT_MILLIS);
        private String combiner = "other";
        private String combinerAfterTimeout = "other";
        private boolean storeSilent;
        private long nowMillis = 1_000;

        Harness() {
            ledgers.of("w").submit(AccountChanges.adoptLimit("w", 1_000, 1), result -> {});
            advance(100);
            Ledger.GrantRequest request = new Ledger.GrantRequest(
                    "vm-0.1", "vm-0", "vm", 1, 400, 400, 400, 0, List.of(), SpendingBound.getDefaultInstance());
            gateway.submit(0, LedgerOps.grant("w", request, 1, SharePolicy.Tuning.DEFAULT), results::add);
            advance(10);
        }

        private void advance(long millis) {
            for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 10) {
                nowMillis += 10;
                gateway.tick(nowMillis);
                ledgers.tick(nowMillis);
            }
        }

        private long committedTokens() {
            LedgerBook book = LedgerBook.decode(objects.get("ledger/0").value());
            return Accounts.committedTokens(book.find("w").orElseThrow());
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            if (!storeSilent) {
                reply.accept(Either.right(objects.get(key)));
            }
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (!storeSilent) {
                reply.accept(objects.put(key, expectedVersion, value));
            }
        }

        @Override
        public String combinerOf(int partition) {
            return combiner;
        }

        @Override
        public void send(String vm, LedgerCall call) {
            sent.add(call);
        }

        @Override
        public void onTimeout(String vm) {
            combiner = combinerAfterTimeout;
        }

        @Override
        public void reply(String vm, LedgerAnswer answer) {}
    }

    @Test
    public void changesAreCommittedLocallyWhenTheConnectionIsLost() {
        Harness harness = new Harness();
        assertEquals(harness.committedTokens(), 0);
        harness.gateway.onConnectionLost("other");
        harness.advance(50);
        assertEquals(harness.results.size(), 1);
        assertEquals(harness.committedTokens(), 400);
    }

    @Test
    public void changesAreCommittedLocallyAfterTheResponseTimeout() {
        Harness harness = new Harness();
        harness.advance(RESPONSE_TIMEOUT_MILLIS - 100);
        assertEquals(harness.results.size(), 0);
        harness.advance(200);
        assertEquals(harness.committedTokens(), 400);
    }

    @Test
    public void changesCommittedByBothRoutersCountOnce() {
        Harness harness = new Harness();
        LedgerCall call = harness.sent.get(0);
        harness.ledgers.get(0).submit(LedgerOps.mutation(call.getOps(0)), result -> {});
        harness.gateway.onConnectionLost("other");
        harness.advance(50);
        assertEquals(harness.committedTokens(), 400);
        assertEquals(harness.results.size(), 1);
    }

    /**
     * Guards against routers that all write the ledger as soon as their combiner is slow: with 75 such routers, 7,670 of
     * 7,979 writes conflicted.
     */
    @Test
    public void changesAreSentToOtherCombinersBeforeTheyAreCommittedLocally() {
        Harness harness = new Harness();
        harness.combinerAfterTimeout = "next";
        harness.advance(RESPONSE_TIMEOUT_MILLIS + 50);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.committedTokens(), 0);
        for (int i = 3; i <= MAX_SENDS; i++) {
            harness.combinerAfterTimeout = "router-" + i;
            harness.advance(RESPONSE_TIMEOUT_MILLIS);
            assertEquals(harness.sent.size(), i);
        }
        harness.combinerAfterTimeout = "last";
        harness.advance(RESPONSE_TIMEOUT_MILLIS + 50);
        assertEquals(harness.sent.size(), MAX_SENDS);
        assertEquals(harness.committedTokens(), 400);
    }

    /** Guards against routers that all write the ledger when an outage ends, because others had refused their changes in it. */
    @Test
    public void refusalsOfRoutersWithoutTheStoreDoNotCountAsSends() {
        Harness harness = new Harness();
        for (int i = 1; i <= 2 * MAX_SENDS; i++) {
            harness.combinerAfterTimeout = "router-" + i;
            LedgerCall last = harness.sent.get(harness.sent.size() - 1);
            harness.gateway.onAnswer(LedgerAnswer.newBuilder()
                    .setCallId(last.getCallId())
                    .setStoreUnreachable(true)
                    .build());
            harness.advance(10);
            assertEquals(harness.sent.size(), i + 1);
        }
        assertEquals(harness.committedTokens(), 0);
    }

    /** Guards against routers that all write the ledger when an outage ends, because none had another combiner in it. */
    @Test
    public void changesThatWaitHereAreSentWhenAnotherRouterCommits() {
        Harness harness = new Harness();
        harness.sent.clear();
        harness.combiner = "";
        harness.storeSilent = true;
        harness.gateway.adoptLimit("w", 2_000, 2, failure -> {});
        harness.advance(100);
        assertEquals(harness.sent.size(), 0);
        harness.combiner = "other";
        harness.advance(10);
        assertEquals(harness.sent.size(), 1);
    }

    @Test
    public void limitChangesAndClosingsAreSentToTheCombiner() {
        Harness harness = new Harness();
        harness.sent.clear();
        harness.gateway.adoptLimit("w", 2_000, 2, failure -> {});
        harness.gateway.closeEarlierShares(new Ledger.ProcessStart("vm", "vm-1", 0, 0), failure -> {});
        harness.advance(10);
        assertEquals(harness.sent.size(), 1);
        assertEquals(harness.sent.get(0).getOpsCount(), 2);
    }
}
