package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.AccountChanges;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.SharePolicy;
import org.radishspan.config.CallerKey;
import org.radishspan.config.Configuration;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.NotifyingTransport;
import org.radishspan.membership.LiveList;
import org.radishspan.peer.Peer;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.request.CallReader;
import org.radishspan.router.Router;
import org.radishspan.router.RouterSettings;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;

/**
 * A fleet of routers in one process for tests and benchmarks.
 *
 * <p>The routers run the production code on a {@link VirtualTime}. Platform, targets and connections between routers
 * are simulated, with latencies and faults that are reproducible from a seed.
 *
 * <pre>{@code
 * VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(1).build();
 * fleet.createBudget("crew", 10_000);
 * fleet.run(2_000);
 * fleet.node(0).crash();
 * }</pre>
 */
public final class VirtualFleet {
    /** The name of the model that all engines serve. */
    public static final String MODEL = "model";

    /** The name of the service, whose calls must not be repeated because they are not idempotent. */
    public static final String SERVICE = "entries";

    /** The price of one call of the service. */
    public static final long SERVICE_PRICE_TOKENS = 5;

    private static final int FIRST_ENGINE_PORT = 9_000;
    private static final int FIRST_SERVICE_PORT = 9_500;
    private static final int SERVICES = 2;
    private static final int PEER_PORT = 7_000;
    private static final int FAILURE_DOMAINS = 3;
    private static final long START_MILLIS = 1_000_000;
    private static final int FLEET_READS_PER_SECOND = 1_200;
    private static final int FLEET_WRITES_PER_SECOND = 250;
    private static final long LINK_LATENCY_MILLIS = 1;
    private static final long STARTUP_MILLIS = 2_000;

    /** Collects the settings of a fleet, each of which has a default, and starts it. */
    public static final class Builder {
        private int routers = 3;
        private int engines = 3;
        private long seed = 1;
        private int ledgerPartitions = 1;
        private long commitGapMillis = 150;
        private long tickMillis = 10;
        private long tokenMillis = 20;
        private long deadlineMillis = 30_000;
        private boolean tickOnEvents = true;
        private SharePolicy policy = SharePolicy.DEFAULT;

        /** Sets the number of routers, each on a VM of its own; at least 1. */
        public Builder routers(int count) {
            if (count < 1) {
                throw new IllegalArgumentException("count of routers must be at least 1: " + count);
            }
            routers = count;
            return this;
        }

        /** Sets the number of engines, each of which serves {@link #MODEL}. */
        public Builder engines(int count) {
            engines = count;
            return this;
        }

        /** Sets the seed of all random numbers of the fleet and its routers. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Sets the number of objects that the ledger is divided into. */
        public Builder ledgerPartitions(int count) {
            ledgerPartitions = count;
            return this;
        }

        /** Sets the minimum time in milliseconds between two writes of a router to the same object. */
        public Builder commitGapMillis(long millis) {
            commitGapMillis = millis;
            return this;
        }

        /** Sets the time in milliseconds between two ticks of a router. */
        public Builder tickMillis(long millis) {
            tickMillis = millis;
            return this;
        }

        /** Sets the deadline of requests in milliseconds. */
        public Builder deadlineMillis(long millis) {
            deadlineMillis = millis;
            return this;
        }

        /** Sets whether a router also ticks after each transport event, as in production, or only on time. */
        public Builder tickOnEvents(boolean value) {
            tickOnEvents = value;
            return this;
        }

        /** Sets the policy that determines the size of escrow shares. */
        public Builder policy(SharePolicy value) {
            policy = value;
            return this;
        }

        /** Creates the fleet with its VM list and an empty configuration, and schedules the ticks of the routers. */
        public VirtualFleet build() {
            return new VirtualFleet(this);
        }
    }

    private final Builder options;
    private final VirtualTime time = new VirtualTime(START_MILLIS);
    private final UniformRandomProvider random;
    private final VirtualPlatform platform;
    private final VirtualTargets targets;
    private final List<VirtualNode> nodes = new ArrayList<>();
    private final List<ListedVm> listedVms = new ArrayList<>();
    private long processCount;
    private long operationCount;
    private long linkBytes;
    private long linkMessages;
    private double messageLossFraction;

    private VirtualFleet(Builder options) {
        this.options = options;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(options.seed);
        this.platform = new VirtualPlatform(time, random, 2);
        this.targets = new VirtualTargets(time, random, options.tokenMillis);
        for (int i = 0; i < options.routers; i++) {
            addNode(i);
        }
        for (int i = 0; i < options.engines; i++) {
            listedVms.add(listedTarget("engine-" + i, "engine", enginePort(i), MODEL, i));
        }
        for (int i = 0; i < SERVICES; i++) {
            listedVms.add(listedTarget("service-" + i, "service", servicePort(i), SERVICE, i));
        }
        publishVmList();
        publishConfiguration();
    }

    /** Returns a builder with the default settings. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port of the engine with an index from 0. */
    public static int enginePort(int engine) {
        return FIRST_ENGINE_PORT + engine;
    }

    /** Returns the port of one of the two VMs of the service; the index is 0 or 1. */
    public static int servicePort(int service) {
        return FIRST_SERVICE_PORT + service;
    }

    private static String domain(int index) {
        return "domain-" + index % FAILURE_DOMAINS;
    }

    private static ListedVm listedTarget(String name, String role, int port, String serves, int index) {
        return new ListedVm(name, role, "vm", port, domain(index), false, Set.of(serves));
    }

    private void addNode(int index) {
        String vm = "router-" + index;
        VirtualNode[] nodeReference = new VirtualNode[1];
        VirtualNode node = new VirtualNode(time, vm, domain(index), newRouter(vm, domain(index), nodeReference));
        nodeReference[0] = node;
        nodes.add(node);
        listedVms.add(new ListedVm(vm, "router", vm, PEER_PORT, domain(index), false, Set.of()));
        scheduleTick(node, node.router(), random.nextLong(options.tickMillis));
    }

    private Router newRouter(String vm, String failureDomain, VirtualNode[] nodeReference) {
        processCount++;
        UniformRandomProvider routerRandom = RandomSource.XO_SHI_RO_256_PP.create(options.seed * 1_000 + processCount);
        return new Router(
                settings(vm, failureDomain),
                vm + "-p" + processCount,
                new Router.Ports(
                        platform.storeFor(() -> nodeReference[0]),
                        transportFor(nodeReference),
                        (peer, message) -> send(nodeReference[0], peer, message),
                        routerRandom));
    }

    private HttpTransport transportFor(VirtualNode[] nodeReference) {
        HttpTransport transport = targets.transportFor(() -> nodeReference[0]);
        if (!options.tickOnEvents) {
            return transport;
        }
        return new NotifyingTransport(transport, () -> nodeReference[0].router().tick(time.nowMillis()));
    }

    private RouterSettings settings(String vm, String failureDomain) {
        return new RouterSettings(
                vm,
                failureDomain,
                new RouterSettings.Caller("vm", 0, 1_048_576),
                new RouterSettings.Operator("vm", 0, "operator"),
                new RouterSettings.PeerPort("vm", PEER_PORT, "secret"),
                new RouterSettings.Platform(
                        "vm", 0, 1_000, 10_000, FLEET_READS_PER_SECOND, FLEET_WRITES_PER_SECOND, false),
                new RouterSettings.Storage(
                        options.ledgerPartitions, 2, options.commitGapMillis, 86_400_000, 5_000, 16_384),
                options.policy,
                new RouterSettings.Requests(options.deadlineMillis, 2_000, 5_000, 10_000, 4_096, 256),
                Map.of(SERVICE, new CallReader.ServiceSpec(false, SERVICE_PRICE_TOKENS)));
    }

    private void scheduleTick(VirtualNode node, Router router, long delayMillis) {
        node.deliver(delayMillis, () -> {
            if (node.router() == router) {
                router.tick(time.nowMillis());
                scheduleTick(node, router, options.tickMillis);
            }
        });
    }

    private void send(VirtualNode from, Peer peer, PeerMessage message) {
        VirtualNode to = find(peer.vm());
        if (to == null || !from.alive() || from.side() != to.side()) {
            return;
        }
        if (random.nextDouble() < messageLossFraction) {
            return;
        }
        linkMessages++;
        linkBytes += message.getSerializedSize() + Integer.BYTES;
        to.deliver(LINK_LATENCY_MILLIS, () -> to.router().onPeerMessage(from.vm(), message));
    }

    private @Nullable VirtualNode find(String vm) {
        for (VirtualNode node : nodes) {
            if (node.vm().equals(vm)) {
                return node;
            }
        }
        return null;
    }

    private void publishVmList() {
        long version = platform.objects().get(LiveList.KEY).version();
        platform.objects().put(LiveList.KEY, version, LiveList.encode(listedVms));
    }

    private void publishConfiguration() {
        ConfigurationState state =
                ConfigurationState.newBuilder().setRevision(1).build();
        platform.objects().put(Configuration.KEY, 0, state.toByteArray());
    }

    /** Returns the clock that all parts of the fleet share. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the simulated platform. */
    public VirtualPlatform platform() {
        return platform;
    }

    /** Returns the simulated engines and services. */
    public VirtualTargets targets() {
        return targets;
    }

    /** Returns the router VMs in the order of their indexes. */
    public List<VirtualNode> nodes() {
        return nodes;
    }

    /** Returns the router VM with an index from 0. */
    public VirtualNode node(int index) {
        return nodes.get(index);
    }

    /** Returns the bytes of messages sent between routers, with length prefixes; lost messages are not counted. */
    public long linkBytes() {
        return linkBytes;
    }

    /** Returns the number of messages sent between routers; lost messages are not counted. */
    public long linkMessages() {
        return linkMessages;
    }

    /** Sets the fraction of the messages between routers that are lost, from 0 to 1. */
    public void setMessageLoss(double fraction) {
        messageLossFraction = fraction;
    }

    /** Advances the clock by a time span and runs all actions that are due in it. */
    public void run(long millis) {
        time.run(millis);
    }

    /** Starts a new router process on the VM with an index; used after a crash. */
    public void restart(int index) {
        VirtualNode node = nodes.get(index);
        VirtualNode[] nodeReference = {node};
        node.restart(newRouter(node.vm(), node.failureDomain(), nodeReference));
        scheduleTick(node, node.router(), 0);
    }

    /** Removes a VM from the VM list of the platform; has no effect if it is not listed. */
    public void removeFromVmList(String vm) {
        listedVms.removeIf(entry -> entry.name().equals(vm));
        publishVmList();
    }

    /** Marks a VM in the VM list of the platform as leaving, which announces its planned stop. */
    public void markLeaving(String vm) {
        listedVms.replaceAll(entry -> entry.name().equals(vm)
                ? new ListedVm(
                        vm, entry.role(), entry.host(), entry.port(), entry.failureDomain(), true, entry.serves())
                : entry);
        publishVmList();
    }

    private AccountChanges.Operation newOperation() {
        operationCount++;
        return new AccountChanges.Operation("test", "op-" + operationCount, time.nowMillis());
    }

    /** Creates a budget with the default account policy by a write to the stored ledger, in place of an operator. */
    public void createBudget(String budget, long limitTokens) {
        createBudget(budget, limitTokens, AccountChanges.AccountPolicy.DEFAULT);
    }

    /** Creates a budget with a given account policy by a write to the stored ledger. */
    public void createBudget(String budget, long limitTokens, AccountChanges.AccountPolicy policy) {
        changeLedger(budget, AccountChanges.create(budget, limitTokens, policy, newOperation()));
    }

    /** Tops up a budget by a write to the stored ledger, in place of an operator. */
    public void topUp(String budget, long tokens) {
        changeLedger(budget, AccountChanges.topUp(budget, tokens, newOperation()));
    }

    private void changeLedger(String budget, SharedObject.Mutation<LedgerBook> mutation) {
        String key = nodes.get(0).router().ledgers().of(budget).key();
        StoredObject stored = platform.objects().get(key);
        LedgerBook state = Ledger.CODEC.decode().apply(stored.value());
        LedgerBook changed = mutation.apply(state).get();
        platform.objects().put(key, stored.version(), changed.encode());
    }

    /** Adds a workspace whose calls are billed to a budget to the stored configuration, and returns its caller key. */
    public String createWorkspace(String name, String budget) {
        String key = name + ".key";
        WorkspaceState workspace = WorkspaceState.newBuilder()
                .setName(name)
                .setBudget(budget)
                .setPriorityClass("urgent")
                .setKeySalt("salt")
                .setKeyHash(CallerKey.hash("salt", key))
                .build();
        changeConfiguration(Configuration.putWorkspace(workspace, newChange()));
        return key;
    }

    /** Returns the metadata of a configuration change at the present time, with a new operation id. */
    public Configuration.Change newChange() {
        operationCount++;
        return new Configuration.Change("test", "op-" + operationCount, time.nowMillis(), null);
    }

    /** Applies a change to the stored configuration, in place of an operator. */
    public void changeConfiguration(SharedObject.Mutation<ConfigurationState> mutation) {
        StoredObject stored = platform.objects().get(Configuration.KEY);
        ConfigurationState state = Configuration.CODEC.decode().apply(stored.value());
        ConfigurationState changed = mutation.apply(state).get();
        platform.objects().put(Configuration.KEY, stored.version(), changed.toByteArray());
    }

    /** Returns the state of a budget in the stored ledger. */
    public AccountState account(String budget) {
        String key = nodes.get(0).router().ledgers().of(budget).key();
        LedgerBook state =
                Ledger.CODEC.decode().apply(platform.objects().get(key).value());
        return state.find(budget).orElseThrow();
    }

    /** Runs for 2 s, in which the routers connect to each other and read the configuration. */
    public void runStartup() {
        run(STARTUP_MILLIS);
    }
}
