package org.radishspan.bench;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.SharePolicy;
import org.radishspan.config.Configuration;
import org.radishspan.journal.Journal;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.BillState;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.HolderState;
import org.radishspan.proto.IntentState;
import org.radishspan.proto.JournalState;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.virtual.VirtualFleet;

/**
 * Measures how stored state, messages, platform calls and processor time grow with the size of the fleet.
 *
 * <p>Bytes and calls are counted. Processor time is given as a multiple of the time of a calibration loop in the same run.
 */
public final class CapacityBench {
    private static final int RESPONSE_BYTES = 400;
    private static final int IDLE_SECONDS = 60;
    private static final int TIMED_ROUNDS = 200;
    private static final int CALIBRATION_STEPS = 20_000;
    private static final double CALLS_PER_SECOND_PER_ROUTER = 8;

    private final PrintWriter out;
    private final long seed;
    private long sink;

    /** Creates a benchmark that prints its points and fitted lines to {@code out}. */
    public CapacityBench(PrintWriter out, long seed) {
        this.out = out;
        this.seed = seed;
    }

    /** Takes all measurements and prints one line for each. */
    public void run() {
        out.println("slopes: measure, growth per unit, value at size 0, points");
        for (Slope slope : stateSlopes()) {
            out.println(slope.row());
        }
        for (Slope slope : idleSlopes()) {
            out.println(slope.row());
        }
        for (Slope slope : loadSlopes()) {
            out.println(slope.row());
        }
        for (Slope slope : timeSlopes()) {
            out.println(slope.row());
        }
    }

    /** Returns the encoded size of stored objects in bytes, by the number of entries that they hold. */
    public static List<Slope> stateSlopes() {
        Slope accounts = new Slope("ledger bytes", "account");
        Slope shares = new Slope("ledger bytes of one account", "share");
        Slope intents = new Slope("journal bytes", "intent");
        Slope workspaces = new Slope("configuration bytes", "workspace");
        for (int size : new int[] {100, 200, 400, 800}) {
            accounts.add(size, ledger(size, 0).encode().length);
            shares.add(size, ledger(1, size).encode().length);
            intents.add(size, journalBytes(size));
            workspaces.add(size, configurationBytes(size));
        }
        return List.of(accounts, shares, intents, workspaces);
    }

    private static LedgerBook ledger(int accounts, int sharesEach) {
        LedgerBook book = LedgerBook.EMPTY;
        for (int i = 0; i < accounts; i++) {
            AccountState.Builder account = AccountState.newBuilder()
                    .setBudget("budget-" + (10_000 + i))
                    .setLimitTokens(50_000_000)
                    .setClosedSpentTokens(12_345_678)
                    .setReclaim("fenced");
            for (int j = 0; j < sharesEach; j++) {
                account.addShares(share(j));
            }
            book = book.with(account.build());
        }
        return book;
    }

    private static ShareState share(int number) {
        String vm = "router-" + (100 + number);
        return ShareState.newBuilder()
                .setShareId(vm + "-0123456789ab.12")
                .setIncarnation(vm + "-0123456789ab")
                .setVm(vm)
                .setGrantedTokens(250_000)
                .setSpentTokens(123_456)
                .setSettleSeq(12_345)
                .setRequestSeq(1_234)
                .setKeyedSpentTokens(1_234)
                .setKeyedSeq(123)
                .setDemandTokensPerSecond(500)
                .addHolders(HolderState.newBuilder().setIncarnation("router-1-0123456789ab"))
                .addHolders(HolderState.newBuilder().setIncarnation("router-2-0123456789ab"))
                .build();
    }

    private static int journalBytes(int intents) {
        JournalState.Builder journal = JournalState.newBuilder();
        for (int i = 0; i < intents; i++) {
            String key = "workspace-1234/7f9c24e8-3b12-4c8b-9d6a-" + (100_000_000 + i);
            journal.putIntents(
                    key,
                    IntentState.newBuilder()
                            .setKey(key)
                            .setRequestId("router-100-0123456789ab-" + (100_000 + i))
                            .setIncarnation("router-100-0123456789ab")
                            .setAttempt(i + 1)
                            .setPhase(IntentState.Phase.DONE)
                            .setCreatedMillis(1_800_000_000_000L)
                            .setFingerprint("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")
                            .setStatus(201)
                            .setContentType("application/json")
                            .setAnswer(ByteString.copyFrom(new byte[RESPONSE_BYTES]))
                            .setBill(BillState.newBuilder()
                                    .setBudget("budget-10000")
                                    .setShareId("router-100-0123456789ab.12")
                                    .setKeyedSeq(i + 1)
                                    .setTokens(5))
                            .build());
        }
        return Journal.CODEC.encode().apply(journal.build()).length;
    }

    private static int configurationBytes(int workspaces) {
        ConfigurationState.Builder state = ConfigurationState.newBuilder();
        for (int i = 0; i < workspaces; i++) {
            String name = "workspace-" + (1_000 + i);
            state.putWorkspaces(
                    name,
                    WorkspaceState.newBuilder()
                            .setName(name)
                            .setBudget("budget-" + (10_000 + i))
                            .setKeySalt("0123456789abcdef0123456789abcdef")
                            .setKeyHash("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef")
                            .setPriorityClass("urgent")
                            .build());
        }
        return Configuration.CODEC.encode().apply(state.build()).length;
    }

    /** Returns the link bytes and platform reads per second of a fleet without calls, by the number of routers. */
    public List<Slope> idleSlopes() {
        Slope linkBytes = new Slope("idle: link bytes/s of a router", "router");
        Slope reads = new Slope("idle: platform reads/s", "router");
        for (int routers : new int[] {4, 8, 16, 32, 64}) {
            VirtualFleet fleet = VirtualFleet.builder()
                    .routers(routers)
                    .seed(seed)
                    .tickMillis(50)
                    .tickOnEvents(false)
                    .build();
            fleet.runStartup();
            long bytesBefore = fleet.linkBytes();
            long readsBefore = fleet.platform().objects().reads();
            fleet.run(IDLE_SECONDS * 1_000L);
            linkBytes.add(routers, (fleet.linkBytes() - bytesBefore) / (double) IDLE_SECONDS / routers);
            reads.add(routers, (fleet.platform().objects().reads() - readsBefore) / (double) IDLE_SECONDS);
        }
        return List.of(linkBytes, reads);
    }

    /** Returns the link bytes and platform calls per second of a fleet with 8 calls per second at each router. */
    public List<Slope> loadSlopes() {
        Slope linkBytes = new Slope("loaded: link bytes/s of a router", "router");
        Slope writes = new Slope("loaded: platform writes/s", "router");
        Slope reads = new Slope("loaded: platform reads/s", "router");
        for (int routers : new int[] {4, 8, 16, 32}) {
            Demand demand = new Demand(routers * 4, 2, 8, CALLS_PER_SECOND_PER_ROUTER * routers);
            BudgetScenario scenario = BudgetScenario.calm(routers + " routers", routers, demand, IDLE_SECONDS, 0.05);
            BudgetResult result =
                    new FleetBudgetRun("shares", scenario, SharePolicy.DEFAULT, seed, Math.max(1, routers / 4)).run();
            linkBytes.add(routers, result.linkBytesPerSecond);
            writes.add(routers, result.writesPerSecond());
            reads.add(routers, result.readsPerSecond);
        }
        return List.of(linkBytes, writes, reads);
    }

    /** Returns the processor time of ledger operations, as multiples of the time of the calibration loop. */
    public List<Slope> timeSlopes() {
        Slope encode = new Slope("ledger encode, calibrations", "share");
        Slope settle = new Slope("one settlement, calibrations", "account");
        for (int size : new int[] {100, 200, 400, 800}) {
            LedgerBook manyShares = ledger(size / 10, 10);
            encode.add(size, medianCalibrations(() -> sink += manyShares.encode().length));
            LedgerBook manyAccounts = ledger(size, 2);
            Ledger.Settlement settlement =
                    new Ledger.Settlement("router-100-0123456789ab.12", 99_999, 200_000, 123, 1_234);
            settle.add(
                    size,
                    medianCalibrations(() -> sink += Ledger.settle("budget-10000", settlement)
                            .apply(manyAccounts)
                            .get()
                            .hashCode()));
        }
        return List.of(encode, settle);
    }

    /** Returns the median time of some work relative to a calibration loop that runs directly before it. */
    private double medianCalibrations(Runnable work) {
        List<Double> ratios = new ArrayList<>();
        for (int i = 0; i < TIMED_ROUNDS; i++) {
            double calibration = elapsedNanos(this::calibrate);
            ratios.add(elapsedNanos(work) / Math.max(1, calibration));
        }
        ratios.sort(Double::compare);
        return ratios.get(ratios.size() / 2);
    }

    private static double elapsedNanos(Runnable work) {
        long start = System.nanoTime();
        work.run();
        return System.nanoTime() - start;
    }

    /** Runs arithmetic steps whose result is stored, so that the compiler can't remove them. */
    private void calibrate() {
        long value = sink | 1;
        for (int i = 0; i < CALIBRATION_STEPS; i++) {
            value = value * 6_364_136_223_846_793_005L + 1_442_695_040_888_963_407L;
        }
        sink += value & 1;
    }
}
