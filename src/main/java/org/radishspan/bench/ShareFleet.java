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
import org.radishspan.standin.ObjectTable;
import org.radishspan.store.CallBudget;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

/**
 * Routers that share one budget, each reduced to its shares, over a store that can be cut off.
 *
 * <pre>{@code
 * ShareFleet fleet = new ShareFleet(3, 100_000, policy, tuning);
 * fleet.call(0, 500, false, 200);
 * fleet.pass(1_000);
 * }</pre>
 */
public final class ShareFleet {
    /** The budget that all calls use. */
    public static final String BUDGET = "w";

    private static final long TICK_MILLIS = 10;
    private static final long BOOT = 7;

    /** After what time a call of a store that is cut off is answered by its time limit. */
    private static final long STORE_TIMEOUT_MILLIS = 500;

    private static final long COMMIT_GAP_MILLIS = 100;
    private static final long START_MILLIS = 1_000;
    private static final long SETTLE_DOWN_MILLIS = 400;
    private static final double CALLS_PER_SECOND = 1_000;

    /** A call in progress. */
    private record Work(long untilMillis, Reservation reservation) {}

    /** One router process. */
    private final class Member implements VersionedObjects, LedgerGateway.Combiners {
        private final LedgerPartitions ledgers;
        private final LedgerGateway gateway;
        private final ShareSystem shares;
        private final Deque<Work> work = new ArrayDeque<>();
        private final List<Runnable> timeouts = new ArrayList<>();
        private long timeoutsAtMillis;

        Member(String vm, int life) {
            String incarnation = vm + "-" + life;
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
                    (budget, shareId, tokens) -> announceShortage(this, tokens),
                    (holder, budget, settlement, accepted) -> accepted.accept(false),
                    count -> List.of());
            shares.useTuning(tuning, members::size);
            ledgers.of(BUDGET)
                    .submit(
                            Ledger.closeEarlier(new Ledger.ProcessStart(vm, incarnation, BOOT, nowMillis)),
                            result -> {});
            shares.prepare(BUDGET);
        }

        private void tick() {
            if (!timeouts.isEmpty() && nowMillis >= timeoutsAtMillis) {
                List<Runnable> due = List.copyOf(timeouts);
                timeouts.clear();
                due.forEach(Runnable::run);
            }
            while (!work.isEmpty() && work.peek().untilMillis() <= nowMillis) {
                Reservation reservation = work.remove().reservation();
                shares.bill(reservation, reservation.tokens(), safe -> {});
                servedCalls++;
                servedTokens += reservation.tokens();
            }
            shares.tick(nowMillis);
            gateway.tick(nowMillis);
            ledgers.tick(nowMillis);
        }

        private void answerLate(Runnable reply) {
            if (timeouts.isEmpty()) {
                timeoutsAtMillis = nowMillis + STORE_TIMEOUT_MILLIS;
            }
            timeouts.add(reply);
        }

        private Failure silent() {
            return Failure.unknown(ErrorKind.PLATFORM_UNAVAILABLE, "the store does not answer");
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            if (storeCut) {
                answerLate(() -> reply.accept(Either.left(silent())));
                return;
            }
            reply.accept(Either.right(objects.get(key)));
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (storeCut) {
                answerLate(() -> reply.accept(Either.left(silent())));
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
            throw new IllegalStateException("every router commits for itself here");
        }

        @Override
        public void onUnanswered(String vm) {
            throw new IllegalStateException("every router commits for itself here");
        }

        @Override
        public void reply(String vm, LedgerAnswer answer) {
            throw new IllegalStateException("every router commits for itself here");
        }
    }

    private final ObjectTable objects = new ObjectTable();
    private final SharePolicy policy;
    private final SharePolicy.Tuning tuning;
    private final List<Member> members = new ArrayList<>();
    private final List<Failure> refusals = new ArrayList<>();
    private int lives;
    private boolean storeCut;
    private long servedCalls;
    private long servedTokens;
    private long nowMillis = START_MILLIS;

    /** Starts routers over a budget. */
    public ShareFleet(int routers, long limitTokens, SharePolicy policy, SharePolicy.Tuning tuning) {
        this.policy = policy;
        this.tuning = tuning;
        startAll(routers);
        members.get(0).ledgers.of(BUDGET).submit(AccountChanges.adoptLimit(BUDGET, limitTokens, 1), result -> {});
        pass(SETTLE_DOWN_MILLIS);
    }

    private void startAll(int routers) {
        lives++;
        for (int i = 0; i < routers; i++) {
            members.add(new Member("vm-" + i, lives));
        }
    }

    private void announceShortage(Member from, long tokens) {
        for (Member member : members) {
            if (member != from) {
                member.shares.onShortage(BUDGET, tokens);
            }
        }
    }

    /** Makes a call that uses all that it reserves, at a router. */
    public void call(int router, long tokens, boolean deferrable, long workMillis) {
        Member member = members.get(router);
        member.shares.reserve(BUDGET, tokens, deferrable, result -> {
            if (result.isLeft()) {
                refusals.add(result.getLeft());
                return;
            }
            member.work.add(new Work(nowMillis + workMillis, result.get()));
        });
    }

    /** Lets time pass. */
    public void pass(long millis) {
        for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
            nowMillis += TICK_MILLIS;
            members.forEach(Member::tick);
        }
    }

    /** Lets every router make a call at each step for a while. */
    public void serve(long millis, long stepMillis, long tokens, boolean deferrable) {
        for (long passed = 0; passed < millis; passed += stepMillis) {
            for (int i = 0; i < members.size(); i++) {
                call(i, tokens, deferrable, 0);
            }
            pass(stepMillis);
        }
    }

    /** Cuts all routers from the store, or joins them again. */
    public void cutStore(boolean cut) {
        storeCut = cut;
    }

    /** Kills all routers with their calls; they run again after {@code downMillis}. */
    public void killAll(long downMillis) {
        int routers = members.size();
        members.clear();
        nowMillis += downMillis;
        startAll(routers);
        pass(SETTLE_DOWN_MILLIS);
    }

    /** Returns the number of routers. */
    public int routers() {
        return members.size();
    }

    /** Returns the shares of a router. */
    public ShareSystem shares(int router) {
        return members.get(router).shares;
    }

    /** Returns the refusals so far. */
    public List<Failure> refusals() {
        return refusals;
    }

    /** Returns the calls served so far. */
    public long servedCalls() {
        return servedCalls;
    }

    /** Returns the tokens of the calls served so far. */
    public long servedTokens() {
        return servedTokens;
    }

    /** Returns the budget as the store has it. */
    public AccountState account() {
        return LedgerBook.decode(objects.get("ledger/0").value()).find(BUDGET).orElseThrow();
    }
}
