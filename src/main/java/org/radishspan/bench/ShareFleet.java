package org.radishspan.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.budget.AccountChanges;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.LedgerGateway;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.budget.Reservation;
import org.radishspan.budget.SharePolicy;
import org.radishspan.budget.ShareSystem;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.standin.InMemoryObjectStore;
import org.radishspan.store.CallBudget;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

/**
 * Models several routers that share one budget over a store that can become unreachable. Each router consists of its share
 * system only.
 *
 * <pre>{@code
 * ShareFleet fleet = new ShareFleet(3, 100_000, policy, tuning);
 * fleet.call(0, 500, false, 200);
 * fleet.pass(1_000);
 * }</pre>
 */
public final class ShareFleet {
    /** The name of the budget that all calls use. */
    public static final String BUDGET = "w";

    private static final long TICK_MILLIS = 10;
    private static final long BOOT = 7;

    /** After this time a call to the unreachable store fails with a time-out. */
    private static final long STORE_TIMEOUT_MILLIS = 500;

    private static final long COMMIT_GAP_MILLIS = 100;
    private static final long START_MILLIS = 1_000;
    private static final long SETTLE_DOWN_MILLIS = 400;
    private static final double CALLS_PER_SECOND = 1_000;

    /** An admitted call that ends, and is billed, at a given time. */
    private record Call(long untilMillis, Reservation reservation) {}

    /** One router process, with its connection to the store. */
    private final class SimulatedRouter implements VersionedObjects, LedgerGateway.CombinerClient {
        private final LedgerPartitions ledgers;
        private final LedgerGateway gateway;
        private final ShareSystem shares;
        private final Deque<Call> callsInProgress = new ArrayDeque<>();
        private final List<Runnable> timeouts = new ArrayList<>();
        private long timeoutsAtMillis;

        SimulatedRouter(String vm, int startNumber) {
            String incarnation = vm + "-" + startNumber;
            ledgers = new LedgerPartitions(
                    1,
                    new SharedObject.Ports(
                            this,
                            new CallBudget(CALLS_PER_SECOND, CALLS_PER_SECOND),
                            new CallBudget(CALLS_PER_SECOND, CALLS_PER_SECOND),
                            RandomSource.XO_SHI_RO_256_PP.create(incarnation.hashCode()),
                            COMMIT_GAP_MILLIS));
            gateway = new LedgerGateway(ledgers, this);
            shares = new ShareSystem(
                    new ShareSystem.Identity(vm, incarnation, BOOT),
                    gateway,
                    policy,
                    (budget, shareId, tokens) -> notifyShortage(this, tokens),
                    (holder, budget, settlement, accepted) -> accepted.accept(false),
                    count -> List.of());
            shares.useTuning(tuning, simulatedRouters::size);
            ledgers.of(BUDGET)
                    .submit(
                            Ledger.closeEarlierShares(new Ledger.ProcessStart(vm, incarnation, BOOT, nowMillis)),
                            result -> {});
            shares.prepare(BUDGET);
        }

        private void tick() {
            if (!timeouts.isEmpty() && nowMillis >= timeoutsAtMillis) {
                List<Runnable> due = List.copyOf(timeouts);
                timeouts.clear();
                due.forEach(Runnable::run);
            }
            while (!callsInProgress.isEmpty() && callsInProgress.peek().untilMillis() <= nowMillis) {
                Reservation reservation = callsInProgress.remove().reservation();
                shares.bill(reservation, reservation.tokens(), result -> {});
                servedCalls++;
                servedTokens += reservation.tokens();
            }
            shares.tick(nowMillis);
            gateway.tick(nowMillis);
            ledgers.tick(nowMillis);
        }

        private void replyAfterTimeout(Runnable reply) {
            if (timeouts.isEmpty()) {
                timeoutsAtMillis = nowMillis + STORE_TIMEOUT_MILLIS;
            }
            timeouts.add(reply);
        }

        private Failure storeTimeout() {
            return Failure.unknown(ErrorKind.PLATFORM_UNAVAILABLE, "the store did not answer within the time limit");
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            if (storeUnreachable) {
                replyAfterTimeout(() -> reply.accept(Either.left(storeTimeout())));
                return;
            }
            reply.accept(Either.right(objects.get(key)));
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (storeUnreachable) {
                replyAfterTimeout(() -> reply.accept(Either.left(storeTimeout())));
                return;
            }
            reply.accept(objects.put(key, expectedVersion, value));
        }

        @Override
        public String combinerOf(int partition) {
            return "";
        }

        @Override
        public void send(String vm, LedgerCall call) {
            throw new IllegalStateException("every router of this model commits its own ledger operations");
        }

        @Override
        public void onTimeout(String vm) {
            throw new IllegalStateException("every router of this model commits its own ledger operations");
        }

        @Override
        public void reply(String vm, LedgerAnswer answer) {
            throw new IllegalStateException("every router of this model commits its own ledger operations");
        }
    }

    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final SharePolicy policy;
    private final SharePolicy.Tuning tuning;
    private final List<SimulatedRouter> simulatedRouters = new ArrayList<>();
    private final List<Failure> refusals = new ArrayList<>();
    private int startCount;
    private boolean storeUnreachable;
    private long servedCalls;
    private long servedTokens;
    private long nowMillis = START_MILLIS;

    /** Starts routers, sets the limit of the budget and runs until the routers have applied it. */
    public ShareFleet(int routers, long limitTokens, SharePolicy policy, SharePolicy.Tuning tuning) {
        this.policy = policy;
        this.tuning = tuning;
        startAll(routers);
        simulatedRouters
                .get(0)
                .ledgers
                .of(BUDGET)
                .submit(AccountChanges.adoptLimit(BUDGET, limitTokens, 1), result -> {});
        pass(SETTLE_DOWN_MILLIS);
    }

    private void startAll(int routers) {
        startCount++;
        for (int i = 0; i < routers; i++) {
            simulatedRouters.add(new SimulatedRouter("vm-" + i, startCount));
        }
    }

    private void notifyShortage(SimulatedRouter source, long tokens) {
        for (SimulatedRouter router : simulatedRouters) {
            if (router != source) {
                router.shares.onShortage(BUDGET, tokens);
            }
        }
    }

    /** Makes a call at a router. If it is admitted, it is billed all of its reserved tokens after {@code serviceMillis}. */
    public void call(int routerIndex, long tokens, boolean deferrable, long serviceMillis) {
        SimulatedRouter router = simulatedRouters.get(routerIndex);
        router.shares.reserve(BUDGET, tokens, deferrable, result -> {
            if (result.isLeft()) {
                refusals.add(result.getLeft());
                return;
            }
            router.callsInProgress.add(new Call(nowMillis + serviceMillis, result.get()));
        });
    }

    /** Advances the virtual time in steps of 10 ms and runs all routers at each step. */
    public void pass(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            simulatedRouters.forEach(SimulatedRouter::tick);
        }
    }

    /** Makes a call at every router each {@code stepMillis}, until {@code millis} have passed. */
    public void serve(long millis, long stepMillis, long tokens, boolean deferrable) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += stepMillis) {
            for (int i = 0; i < simulatedRouters.size(); i++) {
                call(i, tokens, deferrable, 0);
            }
            pass(stepMillis);
        }
    }

    /** Makes the store unreachable for all routers, or reachable again. */
    public void cutStore(boolean unreachable) {
        storeUnreachable = unreachable;
    }

    /** Kills all routers and their calls in progress, and starts new routers after {@code downMillis}. */
    public void killAll(long downMillis) {
        int routers = simulatedRouters.size();
        simulatedRouters.clear();
        nowMillis += downMillis;
        startAll(routers);
        pass(SETTLE_DOWN_MILLIS);
    }

    /** Returns the number of routers. */
    public int routers() {
        return simulatedRouters.size();
    }

    /** Returns the share system of a router. */
    public ShareSystem shares(int routerIndex) {
        return simulatedRouters.get(routerIndex).shares;
    }

    /** Returns the failures of all calls that were refused so far. */
    public List<Failure> refusals() {
        return refusals;
    }

    /** Returns the number of calls that were billed so far. */
    public long servedCalls() {
        return servedCalls;
    }

    /** Returns the tokens of the calls that were billed so far. */
    public long servedTokens() {
        return servedTokens;
    }

    /** Returns the account of the budget as it is stored. */
    public AccountState account() {
        return LedgerBook.decode(objects.get("ledger/0").value()).find(BUDGET).orElseThrow();
    }
}
