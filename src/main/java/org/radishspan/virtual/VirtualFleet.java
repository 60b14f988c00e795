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
import org.radishspan.http.WakingTransport;
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
 * Real routers over fake ports on virtual time.
 *
 * <pre>{@code
 * VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(1).build();
 * fleet.createBudget("crew", 10_000);
 * fleet.run(2_000);
 * fleet.node(0).crash();
 * }</pre>
 */
public final class VirtualFleet {
    /** The model that the engines serve. */
    public static final String MODEL = "model";

    /** The service whose calls may not be repeated. */
    public static final String SERVICE = "entries";

    /** What a call of the service is billed. */
    public static final long SERVICE_PRICE_TOKENS = 5;

    private static final int FIRST_ENGINE_PORT = 9_000;
    private static final int FIRST_SERVICE_PORT = 9_500;
    private static final int SERVICES = 2;
    private static final int PEER_PORT = 7_000;
    private static final int FAILURE_DOMAINS = 3;
    private static final long START_MILLIS = 1_000_000;
    private static final int FLEET_READS_PER_SECOND = 1_200;
    private static final int FLEET_WRITES_PER_SECOND = 250;
    private static final long LINK_MILLIS = 1;
    private static final long SETTLE_DOWN_MILLIS = 2_000;

    /** Collects what a fleet is made of. */
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

        /** Sets the number of routers. */
        public Builder routers(int count) {
            if (count < 1) {
                throw new IllegalArgumentException("count of routers must be at least 1: " + count);
            }
            routers = count;
            return this;
        }

        /** Sets the number of engines. */
        public Builder engines(int count) {
            engines = count;
            return this;
        }

        /** Sets the seed of everything random. */
        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** Sets the number of ledger objects. */
        public Builder ledgerPartitions(int count) {
            ledgerPartitions = count;
            return this;
        }

        /** Sets the shortest time between two writes of a router to one object. */
        public Builder commitGapMillis(long millis) {
            commitGapMillis = millis;
            return this;
        }

        /** Sets the time between ticks. */
        public Builder tickMillis(long millis) {
            tickMillis = millis;
            return this;
        }

        /** Sets the longest time a request may take. */
        public Builder deadlineMillis(long millis) {
            deadlineMillis = millis;
            return this;
        }

        /** Sets whether a router ticks at each event, as a real one does, or only on time. */
        public Builder tickOnEvents(boolean value) {
            tickOnEvents = value;
            return this;
        }

        /** Sets the share policy. */
        public Builder policy(SharePolicy value) {
            policy = value;
            return this;
        }

        /** Starts the fleet. */
        public VirtualFleet build() {
            return new VirtualFleet(this);
        }
    }

    private final Builder parts;
    private final VirtualTime time = new VirtualTime(START_MILLIS);
    private final UniformRandomProvider random;
    private final VirtualPlatform platform;
    private final VirtualTargets targets;
    private final List<VirtualNode> nodes = new ArrayList<>();
    private final List<ListedVm> listed = new ArrayList<>();
    private long processCount;
    private long operationCount;
    private long linkBytes;
    private long linkMessages;
    private double loseMessages;

    private VirtualFleet(Builder parts) {
        this.parts = parts;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(parts.seed);
        this.platform = new VirtualPlatform(time, random, 2);
        this.targets = new VirtualTargets(time, random, parts.tokenMillis);
        for (int i = 0; i < parts.routers; i++) {
            addNode(i);
        }
        for (int i = 0; i < parts.engines; i++) {
            listed.add(listedTarget("engine-" + i, "engine", enginePort(i), MODEL, i));
        }
        for (int i = 0; i < SERVICES; i++) {
            listed.add(listedTarget("service-" + i, "service", servicePort(i), SERVICE, i));
        }
        publishList();
        publishConfiguration();
    }

    /** Starts to put a fleet together. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port of an engine. */
    public static int enginePort(int engine) {
        return FIRST_ENGINE_PORT + engine;
    }

    /** Returns the port of one of the two VMs of the service. */
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
        VirtualNode[] holder = new VirtualNode[1];
        VirtualNode node = new VirtualNode(time, vm, domain(index), newRouter(vm, domain(index), holder));
        holder[0] = node;
        nodes.add(node);
        listed.add(new ListedVm(vm, "router", vm, PEER_PORT, domain(index), false, Set.of()));
        scheduleTick(node, node.router(), random.nextLong(parts.tickMillis));
    }

    private Router newRouter(String vm, String failureDomain, VirtualNode[] holder) {
        processCount++;
        UniformRandomProvider routerRandom = RandomSource.XO_SHI_RO_256_PP.create(parts.seed * 1_000 + processCount);
        return new Router(
                settings(vm, failureDomain),
                vm + "-p" + processCount,
                new Router.Ports(
                        platform.storeOf(() -> holder[0]),
                        waking(holder),
                        (peer, message) -> send(holder[0], peer, message),
                        routerRandom));
    }

    private HttpTransport waking(VirtualNode[] holder) {
        HttpTransport transport = targets.transportOf(() -> holder[0]);
        if (!parts.tickOnEvents) {
            return transport;
        }
        return new WakingTransport(transport, () -> holder[0].router().tick(time.nowMillis()));
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
                new RouterSettings.Storage(parts.ledgerPartitions, 2, parts.commitGapMillis, 86_400_000, 5_000, 16_384),
                parts.policy,
                new RouterSettings.Requests(parts.deadlineMillis, 2_000, 5_000, 10_000, 4_096, 256),
                Map.of(SERVICE, new CallReader.ServiceSpec(false, SERVICE_PRICE_TOKENS)));
    }

    private void scheduleTick(VirtualNode node, Router router, long delayMillis) {
        node.deliver(delayMillis, () -> {
            if (node.router() == router) {
                router.tick(time.nowMillis());
                scheduleTick(node, router, parts.tickMillis);
            }
        });
    }

    private void send(VirtualNode from, Peer peer, PeerMessage message) {
        VirtualNode to = find(peer.vm());
        if (to == null || !from.alive() || from.side() != to.side()) {
            return;
        }
        if (random.nextDouble() < loseMessages) {
            return;
        }
        linkMessages++;
        linkBytes += message.getSerializedSize() + Integer.BYTES;
        to.deliver(LINK_MILLIS, () -> to.router().onPeerMessage(from.vm(), message));
    }

    private @Nullable VirtualNode find(String vm) {
        for (VirtualNode node : nodes) {
            if (node.vm().equals(vm)) {
                return node;
            }
        }
        return null;
    }

    private void publishList() {
        long version = platform.objects().get(LiveList.KEY).version();
        platform.objects().put(LiveList.KEY, version, LiveList.encode(listed));
    }

    private void publishConfiguration() {
        ConfigurationState state =
                ConfigurationState.newBuilder().setRevision(1).build();
        platform.objects().put(Configuration.KEY, 0, state.toByteArray());
    }

    /** Returns the clock. */
    public VirtualTime time() {
        return time;
    }

    /** Returns the platform. */
    public VirtualPlatform platform() {
        return platform;
    }

    /** Returns the engines and services. */
    public VirtualTargets targets() {
        return targets;
    }

    /** Returns the VMs. */
    public List<VirtualNode> nodes() {
        return nodes;
    }

    /** Returns a VM. */
    public VirtualNode node(int index) {
        return nodes.get(index);
    }

    /** Returns the bytes sent between routers. */
    public long linkBytes() {
        return linkBytes;
    }

    /** Returns the messages sent between routers. */
    public long linkMessages() {
        return linkMessages;
    }

    /** Loses a part of the messages between routers. */
    public void loseMessages(double fraction) {
        loseMessages = fraction;
    }

    /** Lets time pass. */
    public void run(long millis) {
        time.run(millis);
    }

    /** Starts a new router process on a VM whose process has ended. */
    public void restart(int index) {
        VirtualNode node = nodes.get(index);
        VirtualNode[] holder = {node};
        node.restart(newRouter(node.vm(), node.failureDomain(), holder));
        scheduleTick(node, node.router(), 0);
    }

    /** Takes a VM out of the platform's list. */
    public void unlist(String vm) {
        listed.removeIf(entry -> entry.name().equals(vm));
        publishList();
    }

    /** Marks a VM in the platform's list as leaving. */
    public void markLeaving(String vm) {
        listed.replaceAll(entry -> entry.name().equals(vm)
                ? new ListedVm(
                        vm, entry.role(), entry.host(), entry.port(), entry.failureDomain(), true, entry.serves())
                : entry);
        publishList();
    }

    private AccountChanges.Operation operation() {
        operationCount++;
        return new AccountChanges.Operation("test", "op-" + operationCount, time.nowMillis());
    }

    /** Creates a budget in the stored ledger, as an operator would. */
    public void createBudget(String budget, long limitTokens) {
        createBudget(budget, limitTokens, AccountChanges.AccountPolicy.USUAL);
    }

    /** Creates a budget that is treated in a given way. */
    public void createBudget(String budget, long limitTokens, AccountChanges.AccountPolicy policy) {
        changeLedger(budget, AccountChanges.create(budget, limitTokens, policy, operation()));
    }

    /** Tops a budget up in the stored ledger, as an operator would. */
    public void topUp(String budget, long tokens) {
        changeLedger(budget, AccountChanges.topUp(budget, tokens, operation()));
    }

    private void changeLedger(String budget, SharedObject.Mutation<LedgerBook> mutation) {
        String key = nodes.get(0).router().ledgers().of(budget).key();
        StoredObject stored = platform.objects().get(key);
        LedgerBook state = Ledger.CODEC.decode().apply(stored.value());
        LedgerBook changed = mutation.apply(state).get();
        platform.objects().put(key, stored.version(), changed.encode());
    }

    /** Creates a workspace that pays from a budget, and returns its key. */
    public String createWorkspace(String name, String budget) {
        String key = name + ".key";
        WorkspaceState workspace = WorkspaceState.newBuilder()
                .setName(name)
                .setBudget(budget)
                .setPriorityClass("urgent")
                .setKeySalt("salt")
                .setKeyHash(CallerKey.hash("salt", key))
                .build();
        changeConfiguration(Configuration.putWorkspace(workspace, change()));
        return key;
    }

    /** Returns who changes the configuration, with a new operation id. */
    public Configuration.Change change() {
        operationCount++;
        return new Configuration.Change("test", "op-" + operationCount, time.nowMillis(), null);
    }

    /** Changes the stored configuration, as an operator would. */
    public void changeConfiguration(SharedObject.Mutation<ConfigurationState> mutation) {
        StoredObject stored = platform.objects().get(Configuration.KEY);
        ConfigurationState state = Configuration.CODEC.decode().apply(stored.value());
        ConfigurationState changed = mutation.apply(state).get();
        platform.objects().put(Configuration.KEY, stored.version(), changed.toByteArray());
    }

    /** Returns a budget as the stored ledger has it. */
    public AccountState account(String budget) {
        String key = nodes.get(0).router().ledgers().of(budget).key();
        LedgerBook state =
                Ledger.CODEC.decode().apply(platform.objects().get(key).value());
        return state.find(budget).orElseThrow();
    }

    /** Lets the routers find each other and the configuration. */
    public void settleDown() {
        run(SETTLE_DOWN_MILLIS);
    }
}
