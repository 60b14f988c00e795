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
import org.radishspan.standin.ObjectTable;
import org.radishspan.store.CallBudget;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Changes of ledgers that go through another router. */
public class LedgerGatewayTest {
    private static final int MOST_SENDS = 8;
    private static final long ANSWER_MILLIS = 900;

    private static final class Harness implements LedgerGateway.Combiners, VersionedObjects {
        private final ObjectTable objects = new ObjectTable();
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
        private final LedgerGateway gateway = new LedgerGateway(ledgers, this, ANSWER_MILLIS);
        private String combiner = "other";
        private String combinerAfterSilence = "other";
        private long nowMillis = 1_000;

        Harness() {
            ledgers.of("w").submit(AccountChanges.adoptLimit("w", 1_000, 1), result -> {});
            pass(100);
            Ledger.GrantRequest request = new Ledger.GrantRequest(
                    "vm-0.1", "vm-0", "vm", 1, 400, 400, 400, 0, List.of(), SpendingBound.getDefaultInstance());
            gateway.submit(0, LedgerOps.grant("w", request, 1, SharePolicy.Tuning.USUAL), results::add);
            pass(10);
        }

        private void pass(long millis) {
            for (long passed = 0; passed < millis; passed += 10) {
                nowMillis += 10;
                gateway.tick(nowMillis);
                ledgers.tick(nowMillis);
            }
        }

        private long granted() {
            LedgerBook book = LedgerBook.decode(objects.get("ledger/0").value());
            return Accounts.committedTokens(book.find("w").orElseThrow());
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            reply.accept(Either.right(objects.get(key)));
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            reply.accept(objects.put(key, expectedVersion, value));
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
        public void onUnanswered(String vm) {
            combiner = combinerAfterSilence;
        }

        @Override
        public void reply(String vm, LedgerAnswer answer) {}
    }

    @Test
    public void areCommittedHereWhenTheConnectionIsLost() {
        Harness harness = new Harness();
        assertEquals(harness.granted(), 0);
        harness.gateway.onConnectionLost("other");
        harness.pass(50);
        assertEquals(harness.results.size(), 1);
        assertEquals(harness.granted(), 400);
    }

    @Test
    public void areCommittedHereWhenThereIsNoAnswerInTime() {
        Harness harness = new Harness();
        harness.pass(ANSWER_MILLIS - 100);
        assertEquals(harness.results.size(), 0);
        harness.pass(200);
        assertEquals(harness.granted(), 400);
    }

    @Test
    public void countOnceWhereBothRoutersCommitThem() {
        Harness harness = new Harness();
        LedgerCall call = harness.sent.get(0);
        harness.ledgers.get(0).submit(LedgerOps.mutation(call.getOps(0)), result -> {});
        harness.gateway.onConnectionLost("other");
        harness.pass(50);
        assertEquals(harness.granted(), 400);
        assertEquals(harness.results.size(), 1);
    }

    /** With 75 routers that each wrote the ledger once their combiner was late, 7,670 of 7,979 writes met a conflict. */
    @Test
    public void goToTheNextCombinerBeforeTheyAreCommittedHere() {
        Harness harness = new Harness();
        harness.combinerAfterSilence = "next";
        harness.pass(ANSWER_MILLIS + 50);
        assertEquals(harness.sent.size(), 2);
        assertEquals(harness.granted(), 0);
        for (int i = 3; i <= MOST_SENDS; i++) {
            harness.combinerAfterSilence = "router-" + i;
            harness.pass(ANSWER_MILLIS);
            assertEquals(harness.sent.size(), i);
        }
        harness.combinerAfterSilence = "last";
        harness.pass(ANSWER_MILLIS + 50);
        assertEquals(harness.sent.size(), MOST_SENDS);
        assertEquals(harness.granted(), 400);
    }

    @Test
    public void ofLimitsAndClosingsGoToTheCombinerToo() {
        Harness harness = new Harness();
        harness.sent.clear();
        harness.gateway.adoptLimit("w", 2_000, 2, failure -> {});
        harness.gateway.closeEarlier(new Ledger.ProcessStart("vm", "vm-1", 0, 0), failure -> {});
        harness.pass(10);
        assertEquals(harness.sent.size(), 1);
        assertEquals(harness.sent.get(0).getOpsCount(), 2);
    }
}
