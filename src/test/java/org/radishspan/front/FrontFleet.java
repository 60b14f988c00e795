package org.radishspan.front;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Accounts;
import org.radishspan.budget.LedgerBook;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.deployment.VmSettings;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;
import org.radishspan.log.EventLog;
import org.radishspan.peer.Peer;
import org.radishspan.peer.PeerLink;
import org.radishspan.platform.ConfigurationCodec;
import org.radishspan.platform.EvacuationCodec;
import org.radishspan.platform.HttpTargetProtocol;
import org.radishspan.platform.RouterCodec;
import org.radishspan.platform.TargetCodec;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.PeerMessage;
import org.radishspan.relay.CallerExchange;
import org.radishspan.relay.CallerRequest;
import org.radishspan.relay.Prompt;
import org.radishspan.standin.InMemoryObjectStore;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoreEra;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Simulates a deployment on virtual time for tests. The {@link FrontRouter}s are real. The store, the targets, the network
 * links and the callers are simulated.
 *
 * <p>Each router has a link of limited rate and handles one event at a time. Callers do not repeat refused calls.
 */
final class FrontFleet {

    /**
     * The size of a deployment.
     *
     * @param routers the number of routers; each runs on its own VM
     * @param failureDomains the number of failure domains; routers are spread evenly among them
     * @param workspaces the number of workspaces; the i-th has 1/i of the calls of the first
     * @param callsPerSecond the rate of calls that need tokens, for all workspaces together
     * @param budgetSeconds how many seconds of its calls a workspace's budget covers
     * @param linkBytesPerMilli the rate of a VM's link in bytes per millisecond
     * @param eventMicros how long a router takes to handle an answer or a message, in microseconds
     */
    record Layout(
            int routers,
            int failureDomains,
            int workspaces,
            double callsPerSecond,
            double budgetSeconds,
            long linkBytesPerMilli,
            long eventMicros) {}

    /**
     * Counts the results of calls.
     *
     * @param served calls that were answered
     * @param refused calls that a router refused or failed
     */
    record Outcome(long served, long refused) {
        double servedFraction() {
            return served == 0 ? 0 : (double) served / (served + refused);
        }
    }

    private static final long MICROS_PER_MILLI = 1_000;
    private static final long TICK_MICROS = 10 * MICROS_PER_MILLI;
    private static final long STORE_LATENCY_MICROS = 4 * MICROS_PER_MILLI;
    private static final long PEER_LATENCY_MICROS = MICROS_PER_MILLI;
    private static final long STORE_TIMEOUT_MICROS = 500 * MICROS_PER_MILLI;
    private static final long TARGET_MICROS = 700 * MICROS_PER_MILLI;
    private static final long REBOOT_CLOCK_JUMP_MILLIS = 9_000_000;
    private static final int DEFAULT_MAX_CONNECTIONS = 2_000;
    /*
     * Prompts are large or small. Each has a part that all prompts of its size share, and a unique part of exponentially
     * distributed length with the given mean.
     */
    private static final double LARGE_PROMPT_FRACTION = 0.53;
    private static final long LARGE_PROMPT_SHARED_TOKENS = 6_300;
    private static final long LARGE_PROMPT_MEAN_UNIQUE_TOKENS = 2_890;
    private static final long SMALL_PROMPT_SHARED_TOKENS = 200;
    private static final long SMALL_PROMPT_MEAN_UNIQUE_TOKENS = 630;
    private static final long OUTPUT_TOKENS = 300;
    private static final String TOKENS_HEADER = "x-test-tokens";
    private static final String PARTS_HEADER = "x-test-parts";
    private static final String CRASHING_PART = "crashing";
    private static final int DOCUMENTS = 30;
    /** A crashed target leaves the list of targets after this time, and is back under another name after the next one. */
    private static final long CRASH_UNLISTED_MICROS = 2_900 * MICROS_PER_MILLI;

    private static final long CRASH_RESTARTED_MICROS = 3_400 * MICROS_PER_MILLI;
    /** Time until a target begins to write an answer. */
    private static final long ANSWER_BEGIN_MICROS = 150 * MICROS_PER_MILLI;

    /** Time between two events of a stream. */
    private static final long EVENT_MICROS = 200 * MICROS_PER_MILLI;

    private static final Failure NO_ANSWER =
            Failure.unknown(ErrorKind.PLATFORM_UNAVAILABLE, "the store does not answer");

    private static final int STORE_WRITES_PER_SECOND = 1_200;
    private static final int STORE_READS_PER_SECOND = 6_000;

    private record Event(long atMicros, long number, Runnable action) {}

    private record PendingWatch(
            Node node,
            String kind,
            long aboveRevision,
            Consumer<Either<Failure, ObjectKinds.Changes>> reply,
            Runnable cut) {}

    /** All objects of the store at one moment. */
    private record StoreCopy(
            InMemoryObjectStore.Copy objects,
            Map<String, TreeMap<String, JsonNode>> kinds,
            int recordedChanges,
            long revision) {}

    private record RecordedChange(String kind, long revision, ObjectKinds.Change change) {}

    /** A VM with the router that runs on it, its network link and its access to the store. */
    private final class Node implements VersionedObjects, ObjectKinds, PeerLink {
        private final int number;
        private final String vm;
        private @Nullable FrontRouter router;
        private int incarnationNumber;
        private long bootId = 1;
        private long clockOffsetMillis;
        private long freeAtMicros;
        private long linkFreeAtMicros;
        private boolean storeDisconnected;
        private boolean isolated;
        private StoreEra storeEra = new StoreEra();
        private MeterRegistry meters = new SimpleMeterRegistry();

        Node(int number) {
            this.number = number;
            this.vm = "vm-" + number;
        }

        private long clockMillis() {
            return nowMicros / MICROS_PER_MILLI + clockOffsetMillis;
        }

        private String failureDomain() {
            return "domain-" + number % layout.failureDomains();
        }

        private String host() {
            return "10.0." + number / 250 + "." + number % 250;
        }

        private void start() {
            incarnationNumber++;
            storeEra = new StoreEra();
            meters = new SimpleMeterRegistry();
            RouterEntry self =
                    new RouterEntry(vm, vm + "-" + incarnationNumber, new Address(host(), 7_200), failureDomain());
            router = new FrontRouter(
                    new VmSettings(
                            vm,
                            host(),
                            failureDomain(),
                            Set.of("domain-0", "domain-1", "domain-2"),
                            Map.of("domain-0", "north", "domain-1", "north", "domain-2", "south"),
                            new Address(host(), 80),
                            new Address(host(), 81),
                            List.of(7_200),
                            new VmSettings.Bounds(8_000, 3_000, 3_000, 4_000, 0.2, 10_000, 200, 5_000, 1_200),
                            new VmSettings.Store(
                                    new Address("10.9.9.9", 80),
                                    STORE_WRITES_PER_SECOND,
                                    STORE_READS_PER_SECOND,
                                    1_048_576),
                            new VmSettings.Resources(330, 4_100),
                            features,
                            List.of()),
                    self,
                    new FrontRouter.Ports(
                            this,
                            this,
                            storeEra,
                            targetTransport,
                            new HttpTargetProtocol(),
                            this,
                            RandomSource.XO_SHI_RO_256_PP.create(number + 1_000L * incarnationNumber),
                            this::clockMillis,
                            FrontFleet.this::nowMillis,
                            bootId,
                            EventLog.silent(),
                            meters));
            tickEvery(incarnationNumber);
        }

        private void tickEvery(int scheduledIncarnation) {
            if (incarnationNumber == scheduledIncarnation && router != null) {
                router.tick();
                scheduleAt(nowMicros + TICK_MICROS, () -> tickEvery(scheduledIncarnation));
            }
        }

        private void stop() {
            router = null;
        }

        /**
         * Schedules an event for the router. It is handled once the router is free, and dropped if that process has ended by
         * then.
         */
        private void handle(long atMicros, Consumer<FrontRouter> action) {
            int scheduledIncarnation = incarnationNumber;
            scheduleAt(atMicros, () -> {
                FrontRouter running = router;
                if (incarnationNumber != scheduledIncarnation || running == null) {
                    return;
                }
                if (freeAtMicros > nowMicros) {
                    handle(freeAtMicros, action);
                    return;
                }
                freeAtMicros = nowMicros + layout.eventMicros();
                action.accept(running);
                running.tick();
            });
        }

        private long transferEndMicros(long bytes) {
            linkFreeAtMicros =
                    Math.max(nowMicros, linkFreeAtMicros) + bytes * MICROS_PER_MILLI / layout.linkBytesPerMilli();
            return linkFreeAtMicros;
        }

        /** Delivers an answer of the store in its current era; the router drops it if it knows a later era by then. */
        private <T> void answer(long atMicros, Consumer<Either<Failure, T>> reply, Either<Failure, T> result) {
            long answerEra = era;
            handle(atMicros, running -> reply.accept(storeEra.onAnswer(answerEra) ? result : Either.left(NO_ANSWER)));
        }

        /** Fails a call without an answer of the store. */
        private <T> void fail(long atMicros, Consumer<Either<Failure, T>> reply) {
            handle(atMicros, running -> reply.accept(Either.left(NO_ANSWER)));
        }

        private <T> boolean failIfDisconnected(String call, long waitMillis, Consumer<Either<Failure, T>> reply) {
            storeCalls.merge(call, 1, Integer::sum);
            if (call.endsWith(" " + refusedKind)) {
                fail(nowMicros + STORE_LATENCY_MICROS, reply);
                return true;
            }
            if (storeDisconnected) {
                fail(
                        nowMicros
                                + (storeRefuses
                                        ? STORE_LATENCY_MICROS
                                        : waitMillis * MICROS_PER_MILLI + STORE_TIMEOUT_MICROS),
                        reply);
            }
            return storeDisconnected;
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            if (!failIfDisconnected("get", 0, reply)) {
                StoredObject stored = objects.get(key);
                answer(transferEndMicros(stored.value().length) + STORE_LATENCY_MICROS, reply, Either.right(stored));
            }
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (failIfDisconnected("put", 0, reply)) {
                return;
            }
            int scheduledIncarnation = incarnationNumber;
            scheduleAt(transferEndMicros(value.length) + STORE_LATENCY_MICROS / 2, () -> {
                Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                if (incarnationNumber == scheduledIncarnation) {
                    answer(nowMicros + STORE_LATENCY_MICROS / 2, reply, result);
                }
            });
        }

        @Override
        public void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply) {
            if (!failIfDisconnected("list " + kind, 0, reply)) {
                List<Entry> entries = new ArrayList<>();
                kinds.getOrDefault(kind, new TreeMap<>())
                        .tailMap(afterName, false)
                        .forEach((name, content) -> entries.add(new Entry(name, content)));
                answer(nowMicros + STORE_LATENCY_MICROS, reply, Either.right(new Page(entries, true, revision)));
            }
        }

        @Override
        public void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply) {
            if (failIfDisconnected("watch " + kind, waitMillis, reply)) {
                return;
            }
            if (aboveRevision > revision) {
                answer(
                        nowMicros + STORE_LATENCY_MICROS,
                        reply,
                        Either.left(Failure.notRun(ErrorKind.CONFLICT, "no such revision")));
                return;
            }
            long timeoutMicros = nowMicros + waitMillis * MICROS_PER_MILLI + STORE_TIMEOUT_MICROS;
            PendingWatch pending = new PendingWatch(
                    this,
                    kind,
                    aboveRevision,
                    result -> answer(nowMicros + STORE_LATENCY_MICROS, reply, result),
                    () -> fail(timeoutMicros, reply));
            if (!answerIfChanged(pending)) {
                pendingWatches.add(pending);
                if (cutWatchesAfterMillis < waitMillis) {
                    scheduleAt(nowMicros + cutWatchesAfterMillis * MICROS_PER_MILLI, () -> {
                        if (pendingWatches.remove(pending)) {
                            fail(nowMicros + STORE_LATENCY_MICROS, reply);
                        }
                    });
                }
                scheduleAt(nowMicros + waitMillis * MICROS_PER_MILLI, () -> {
                    if (pendingWatches.remove(pending)) {
                        pending.reply().accept(Either.right(new Changes(List.of(), revision)));
                    }
                });
            }
        }

        @Override
        public void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply) {
            if (!failIfDisconnected("write " + kind, 0, reply)) {
                FrontFleet.this.write(kind, name, content);
                answer(nowMicros + STORE_LATENCY_MICROS, reply, Either.right(revision));
            }
        }

        @Override
        public void remove(String kind, String name, Consumer<Either<Failure, Long>> reply) {
            if (!failIfDisconnected("remove " + kind, 0, reply)) {
                change(kind, new Change(new Entry(name, Json.object()), true));
                answer(nowMicros + STORE_LATENCY_MICROS, reply, Either.right(revision));
            }
        }

        @Override
        public void send(Peer peer, PeerMessage message) {
            Node to = Objects.requireNonNull(nodesByVm.get(peer.vm()), peer.vm());
            int scheduledIncarnation = to.incarnationNumber;
            if (random.nextDouble() < lostFraction || isolated || to.isolated) {
                return;
            }
            scheduleAt(transferEndMicros(message.getSerializedSize()) + PEER_LATENCY_MICROS, () -> {
                if (to.incarnationNumber == scheduledIncarnation && to.router != null) {
                    to.handle(nowMicros, running -> running.peers().onMessage(vm, message));
                    return;
                }
                handle(nowMicros, running -> running.onPeerConnectionLost(peer.vm()));
            });
        }
    }

    private final Layout layout;
    private final VmSettings.Features features;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private final InMemoryObjectStore objects = new InMemoryObjectStore();
    private final FleetTargets targets = new FleetTargets();
    private final Map<String, TreeMap<String, JsonNode>> kinds = new HashMap<>();
    private final List<RecordedChange> recordedChanges = new ArrayList<>();
    private final List<PendingWatch> pendingWatches = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> nodesByVm = new HashMap<>();
    private final double[] weights;
    private final List<Failure> refusals = new ArrayList<>();
    private final Map<String, Long> sentTokens = new HashMap<>();
    private final Map<String, Integer> sendCounts = new HashMap<>();
    private final Map<String, Integer> storeCalls = new TreeMap<>();
    private final Map<String, List<TargetCall>> targetCalls = new HashMap<>();
    private final Map<String, String> softwareVersions = new HashMap<>();
    private final Map<String, String> addresses = new HashMap<>();
    private final Map<String, String> targetsByAddress = new HashMap<>();
    private final List<Long> crashesMillis = new ArrayList<>();
    private final List<Long> crashingArrivalsMillis = new ArrayList<>();
    private final List<Failure> crashingRefusals = new ArrayList<>();
    private double crashingCallsPerSecond;
    private double pendingCrashingCalls;
    private int extraCallsVm;
    private double extraCallsPerSecond;
    private double pendingExtraCalls;
    private int maxConnections = DEFAULT_MAX_CONNECTIONS;
    private String routeKind = "unsafe";
    private String routeFields = "";
    private String serviceFields = "";
    private boolean storeRefuses;
    private String refusedKind = "none";
    private long cutWatchesAfterMillis = Long.MAX_VALUE;
    private double lostFraction;
    private long served;
    private long revision = 1;
    private long era = StoreEra.UNKNOWN;
    private @Nullable StoreCopy storeCopy;
    private long nowMicros = 1_000_000;
    private long eventCount;
    private long requestCount;
    private double pendingCalls;

    /** Creates a deployment with a configuration and one target, and starts every router at the current virtual time. */
    FrontFleet(Layout layout, long seed) {
        this(layout, seed, VmSettings.Features.NONE);
    }

    /** Creates a deployment with optional features, see {@link #FrontFleet(Layout, long)}. */
    FrontFleet(Layout layout, long seed, VmSettings.Features features) {
        this.layout = layout;
        this.features = features;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.weights = new double[layout.workspaces()];
        double totalWeight = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = 1.0 / (i + 1);
            totalWeight += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            weights[i] /= totalWeight;
        }
        configure(1);
        registerTarget();
        for (int i = 0; i < layout.routers(); i++) {
            Node node = new Node(i);
            nodes.add(node);
            nodesByVm.put(node.vm, node);
        }
        nodes.forEach(Node::start);
    }

    private static double meanTokens() {
        return LARGE_PROMPT_FRACTION * (LARGE_PROMPT_SHARED_TOKENS + LARGE_PROMPT_MEAN_UNIQUE_TOKENS)
                + (1 - LARGE_PROMPT_FRACTION) * (SMALL_PROMPT_SHARED_TOKENS + SMALL_PROMPT_MEAN_UNIQUE_TOKENS);
    }

    /** Returns the mean number of tokens that the calls of a workspace use per second. */
    double demandTokensPerSecond(int workspace) {
        return weights[workspace] * layout.callsPerSecond() * meanTokens();
    }

    /** Writes a configuration with unchanged content under the given version. */
    void configure(long version) {
        write(
                ConfigurationCodec.KIND,
                ConfigurationCodec.NAME,
                Json.parseObject(configuration(version).getBytes(UTF_8)).orElseThrow());
    }

    /** Writes a configuration in which each target accepts at most this many connections from all routers together. */
    void limitConnections(int connections, long version) {
        maxConnections = connections;
        configure(version);
    }

    /** Writes a configuration with further fields of the route, each preceded by a comma. */
    void setRouteFields(String fields, long version) {
        routeFields = fields;
        configure(version);
    }

    /** Writes a configuration whose route carries streams that may be resumed. */
    void useStreams(long version) {
        routeKind = "streaming";
        setRouteFields(",\"stream_resume\": true, \"max_attempts\": 2", version);
    }

    /** Writes a configuration with further fields of the service, each preceded by a comma. */
    void setServiceFields(String fields, long version) {
        serviceFields = fields;
        configure(version);
    }

    /** Writes the entry that evacuates a failure domain. */
    void evacuate(String failureDomain) {
        evacuate(failureDomain, Json.object());
    }

    /** Writes the entry that evacuates a failure domain, with any content. */
    void evacuate(String failureDomain, JsonNode content) {
        write(EvacuationCodec.KIND, failureDomain, content);
    }

    /** Removes the entry that evacuates a failure domain. */
    void endEvacuation(String failureDomain) {
        change(EvacuationCodec.KIND, new ObjectKinds.Change(new ObjectKinds.Entry(failureDomain, Json.object()), true));
    }

    /** Lets the store leave all calls of some routers unanswered, also those in progress, and reconnects all others. */
    void makeStoreSilentFor(Set<Integer> routers) {
        storeRefuses = false;
        nodes.forEach(node -> node.storeDisconnected = routers.contains(node.number));
        List<PendingWatch> cut = pendingWatches.stream()
                .filter(pending -> pending.node().storeDisconnected)
                .toList();
        pendingWatches.removeAll(cut);
        cut.forEach(pending -> pending.cut().run());
    }

    /** Makes the store immediately refuse all further calls of some routers, and leave those in progress unanswered. */
    void makeStoreRefuse(Set<Integer> routers) {
        makeStoreSilentFor(routers);
        storeRefuses = true;
    }

    /** Cuts off each further watch that has waited so long without an answer, as a proxy with a short idle time-out does. */
    void cutWatchesAfter(long millis) {
        cutWatchesAfterMillis = millis;
    }

    /** Makes the store immediately refuse all further calls for one kind of object. */
    void refuseKind(String kind) {
        refusedKind = kind;
    }

    /** Returns the numbers of the running routers that are not ready. */
    List<Integer> routersNotReady() {
        return nodes.stream()
                .filter(node -> node.router != null && !node.router.ready())
                .map(node -> node.number)
                .toList();
    }

    /** Returns the numbers of the running routers at which a number of evacuations other than the given one is in force. */
    List<Integer> routersWithoutEvacuations(int expected) {
        return nodes.stream()
                .filter(node -> node.router != null)
                .filter(node ->
                        node.meters.get("radishspan.evacuations").gauge().value() != expected)
                .map(node -> node.number)
                .toList();
    }

    /** Returns the configuration version that is recorded in the ledger for the limit of a workspace. */
    long limitVersion(int workspace) {
        return account(workspace).getLimitVersion();
    }

    /** Writes a configuration that replaces the key of every workspace, so that the keys in use are no longer valid. */
    void replaceKeys(long version) {
        write(
                ConfigurationCodec.KIND,
                ConfigurationCodec.NAME,
                Json.parseObject(configuration(version, "new-k").getBytes(UTF_8))
                        .orElseThrow());
    }

    private String configuration(long version) {
        return configuration(version, "k");
    }

    private String configuration(long version, String keyPrefix) {
        StringBuilder tenants = new StringBuilder();
        for (int i = 0; i < layout.workspaces(); i++) {
            tenants.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"w" + i + "\",\"api_keys\":[\"" + keyPrefix + i + "\"],\"prepaid\":"
                            + limitTokens(i)
                            + "}");
        }
        return "{\"version\": " + version + """
                , "routes": [{"name": "r", "host": "h", "path_prefix": "/r/",
                  "timeout_ms": 6000, "target_latency_ms": 800, "service": "s", "kind": """ + "\"" + routeKind + "\"" + routeFields + """
                }],
                 "services": [{"name": "s", "max_conns": """ + maxConnections
                + serviceFields + """
                }], "limits": {}, "tenants": [""" + tenants
                + "]}";
    }

    private void scheduleAt(long atMicros, Runnable action) {
        eventCount++;
        events.add(new Event(atMicros, eventCount, action));
    }

    private void write(String kind, String name, JsonNode content) {
        kinds.computeIfAbsent(kind, ignored -> new TreeMap<>()).put(name, content);
        change(kind, new ObjectKinds.Change(new ObjectKinds.Entry(name, content), false));
    }

    private void change(String kind, ObjectKinds.Change change) {
        revision++;
        if (change.deleted()) {
            kinds.getOrDefault(kind, new TreeMap<>()).remove(change.entry().name());
        }
        recordedChanges.add(new RecordedChange(kind, revision, change));
        pendingWatches.removeIf(this::answerIfChanged);
    }

    private boolean answerIfChanged(PendingWatch pending) {
        List<ObjectKinds.Change> newChanges = recordedChanges.stream()
                .filter(recorded -> recorded.revision() > pending.aboveRevision()
                        && recorded.kind().equals(pending.kind()))
                .map(RecordedChange::change)
                .toList();
        if (!newChanges.isEmpty()) {
            pending.reply().accept(Either.right(new ObjectKinds.Changes(newChanges, revision)));
        }
        return !newChanges.isEmpty();
    }

    private final HttpTransport targetTransport = new HttpTransport() {
        @Override
        public Call send(Request request, Listener listener) {
            return sendToTarget(request, listener);
        }

        @Override
        public void test(String host, int port, Consumer<ConnectionTest> reply) {
            boolean refused = targets.isDown(targetsByAddress.getOrDefault(host + ":" + port, ""));
            scheduleAt(
                    nowMicros + MICROS_PER_MILLI,
                    () -> reply.accept(refused ? ConnectionTest.REFUSED : ConnectionTest.ACCEPTED));
        }
    };

    /** Opens a stream at a router. */
    FleetStream openStream(int vm) {
        requestCount++;
        FleetStream stream = new FleetStream("request-" + requestCount);
        send(stream, stream.id(), vm);
        return stream;
    }

    /** Takes up a stream at a router after the last event that its caller has received. */
    void takeUp(FleetStream stream, int vm) {
        requestCount++;
        send(stream, "request-" + requestCount, vm);
    }

    private void send(FleetStream stream, String requestId, int vm) {
        CallerExchange exchange = stream.nextExchange();
        CallerRequest request = new CallerRequest(
                requestId,
                "POST",
                "/r/x",
                "h",
                List.of(Map.entry("X-Test-Id", requestId)),
                requestId.getBytes(UTF_8),
                Optional.of("k0"),
                OptionalLong.of(6_000),
                Optional.of(
                        new Prompt(100, OUTPUT_TOKENS, List.of(new Prompt.Part("s", 90), new Prompt.Part("o", 10)))),
                stream.lastEventId(),
                stream.lastEventId().isPresent() ? Optional.of(stream.id()) : Optional.empty());
        nodes.get(vm).handle(nowMicros, running -> running.relay().accept(request, exchange));
    }

    /** Writes the entry of a target of a software version. */
    void registerVersion(String name, String softwareVersion) {
        softwareVersions.put(name, softwareVersion);
        writeTarget(name, "10.1.4." + softwareVersions.size() + ":80", "ready");
    }

    /** Removes the entry of a target from the store. */
    void removeTarget(String name) {
        change(TargetCodec.KIND, new ObjectKinds.Change(new ObjectKinds.Entry(name, Json.object()), true));
    }

    private void scheduleEvents(HttpTransport.Request request, TargetCall call) {
        String version = softwareVersions.getOrDefault(call.target, "");
        int first = 1 + Integer.parseInt(request.header("Last-Event-Id").orElse("0"));
        for (int id = first; id <= FleetStream.EVENTS; id++) {
            String event = "id: " + id + "\ndata: " + version + "\n\n";
            scheduleAt(nowMicros + ANSWER_BEGIN_MICROS + (id - first) * EVENT_MICROS, () -> {
                if (!call.ended) {
                    call.listener.onBody(event.getBytes(UTF_8));
                }
            });
        }
        long lastMicros = nowMicros + ANSWER_BEGIN_MICROS + (FleetStream.EVENTS - first) * EVENT_MICROS;
        scheduleAt(lastMicros + 1, () -> {
            if (!call.ended) {
                call.end();
                call.listener.onEnd();
            }
        });
    }

    private HttpTransport.Call sendToTarget(HttpTransport.Request request, HttpTransport.Listener listener) {
        long tokens = Long.parseLong(request.header(TOKENS_HEADER).orElse("0"));
        String target = request.header(FleetTargets.nameHeader()).orElse("");
        if (targets.isDown(target)) {
            TargetCall refusedCall = new TargetCall(target, listener);
            refusedCall.ended = true;
            scheduleAt(nowMicros + MICROS_PER_MILLI, () -> listener.onFailure("cannot connect", false));
            return refusedCall;
        }
        targets.onArrival(target, nowMillis());
        sendCounts.merge(request.header("X-Test-Id").orElse(""), 1, Integer::sum);
        sentTokens.merge(request.header("X-Tenant").orElse(""), tokens, Long::sum);
        TargetCall call = new TargetCall(target, listener);
        boolean crashes = request.header(PARTS_HEADER).orElse("").contains(CRASHING_PART);
        if (crashes) {
            crashingArrivalsMillis.add(nowMillis());
        }
        targetCalls.computeIfAbsent(target, ignored -> new ArrayList<>()).add(call);
        scheduleAt(nowMicros + ANSWER_BEGIN_MICROS, () -> {
            if (!call.ended && crashes) {
                crash(target);
            }
            if (!call.ended) {
                listener.onHead(200, name -> targets.answerHeader(target, name));
            }
        });
        if (routeKind.equals("streaming")) {
            targets.useStreams();
            scheduleEvents(request, call);
            return call;
        }
        scheduleAt(nowMicros + TARGET_MICROS, () -> {
            if (!call.ended) {
                call.end();
                listener.onEnd();
            }
        });
        return call;
    }

    /** A request that is in progress at a target. */
    private final class TargetCall implements HttpTransport.Call {
        private final String target;
        private final HttpTransport.Listener listener;
        private boolean ended;

        TargetCall(String target, HttpTransport.Listener listener) {
            this.target = target;
            this.listener = listener;
        }

        private void end() {
            ended = true;
            targets.onEnd(target);
            targetCalls.getOrDefault(target, new ArrayList<>()).remove(this);
        }

        @Override
        public void cancel() {
            if (!ended) {
                end();
            }
        }

        @Override
        public void setPaused(boolean paused) {}
    }

    /** Ends some of the running targets at the same moment, for a reason that has nothing to do with requests. */
    void crashTargets(int count) {
        List<String> running = addresses.keySet().stream()
                .filter(target -> !targets.isDown(target))
                .sorted()
                .toList();
        running.subList(0, Math.min(count, running.size())).forEach(this::crash);
    }

    /** Ends a target: its connections are lost, and it refuses others until it is back as another target. */
    private void crash(String target) {
        crashesMillis.add(nowMillis());
        targets.onCrash(target);
        for (TargetCall call : List.copyOf(targetCalls.getOrDefault(target, List.of()))) {
            call.end();
            call.listener.onFailure("the connection was closed", true);
        }
        scheduleAt(
                nowMicros + CRASH_UNLISTED_MICROS,
                () -> change(
                        TargetCodec.KIND, new ObjectKinds.Change(new ObjectKinds.Entry(target, Json.object()), true)));
        scheduleAt(
                nowMicros + CRASH_RESTARTED_MICROS,
                () -> writeTarget(target + "+", Objects.requireNonNull(addresses.get(target)), "ready"));
    }

    /** Sets the rate of further calls that crash every target which begins to answer them. No two of them are alike. */
    void callWithCrashingPart(double callsPerSecond) {
        crashingCallsPerSecond = callsPerSecond;
    }

    /** Returns the times of all crashes of targets, in milliseconds. */
    List<Long> crashesMillis() {
        return crashesMillis;
    }

    /** Returns how many requests with the crashing part arrived at targets after a time. */
    int crashingArrivalsAfter(long millis) {
        return (int) crashingArrivalsMillis.stream()
                .filter(arrivedAtMillis -> arrivedAtMillis > millis)
                .count();
    }

    /** Returns the failures of the calls with the crashing part. */
    List<Failure> crashingRefusals() {
        return crashingRefusals;
    }

    /** A simulated caller that counts whether its call was answered or failed. */
    private final class Caller implements CallerExchange {
        private final List<Failure> failures;

        Caller(List<Failure> failures) {
            this.failures = failures;
        }

        @Override
        public void respond(int status, List<Map.Entry<String, String>> headers, byte[] body) {
            served++;
        }

        @Override
        public void fail(Failure failure) {
            failures.add(failure);
        }

        @Override
        public void start(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public void write(byte[] bytes) {}

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public void onClosed(Runnable action) {}

        @Override
        public void onWritable(Runnable action) {}
    }

    private int drawWorkspace() {
        double draw = random.nextDouble();
        for (int i = 0; i < weights.length; i++) {
            draw -= weights[i];
            if (draw < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    /** Sets the rate of further calls of the largest workspace, all of them at one router. */
    void callAlsoAt(int vm, double callsPerSecond) {
        extraCallsVm = vm;
        extraCallsPerSecond = callsPerSecond;
    }

    private void call(boolean crashing) {
        call(crashing, nodes.get(random.nextInt(nodes.size())), false);
    }

    private void call(boolean crashing, Node node, boolean ofLargestWorkspace) {
        List<Failure> failures = crashing ? crashingRefusals : refusals;
        if (node.router == null || !node.router.ready()) {
            failures.add(Failure.notRun(ErrorKind.DRAINING, "the router is not ready"));
            return;
        }
        boolean large = crashing || random.nextDouble() < LARGE_PROMPT_FRACTION;
        long sharedTokens = large ? LARGE_PROMPT_SHARED_TOKENS : SMALL_PROMPT_SHARED_TOKENS;
        long uniqueTokens = Math.round((large ? LARGE_PROMPT_MEAN_UNIQUE_TOKENS : SMALL_PROMPT_MEAN_UNIQUE_TOKENS)
                * -Math.log(1 - random.nextDouble()));
        requestCount++;
        List<Prompt.Part> parts = new ArrayList<>();
        parts.add(new Prompt.Part("s", sharedTokens));
        if (crashingCallsPerSecond > 0) {
            parts.add(new Prompt.Part("document-" + random.nextInt(DOCUMENTS), 0));
        }
        if (crashing) {
            parts.add(new Prompt.Part(CRASHING_PART, 0));
        }
        parts.add(new Prompt.Part("o" + requestCount, uniqueTokens));
        CallerRequest request = new CallerRequest(
                "request-" + requestCount,
                "POST",
                "/r/x",
                "h",
                List.of(
                        Map.entry(TOKENS_HEADER, Long.toString(sharedTokens + uniqueTokens)),
                        Map.entry(
                                PARTS_HEADER,
                                parts.stream().map(Prompt.Part::id).collect(Collectors.joining(","))),
                        Map.entry("X-Test-Id", "request-" + requestCount)),
                Long.toString(requestCount).getBytes(UTF_8),
                Optional.of("k" + (ofLargestWorkspace ? 0 : drawWorkspace())),
                OptionalLong.of(6_000),
                Optional.of(new Prompt(sharedTokens + uniqueTokens, OUTPUT_TOKENS, List.copyOf(parts))),
                OptionalLong.empty(),
                Optional.empty());
        node.handle(nowMicros, running -> running.relay().accept(request, new Caller(failures)));
    }

    /** Advances the virtual time without new calls. */
    void advance(long millis) {
        long untilMicros = nowMicros + millis * MICROS_PER_MILLI;
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.remove();
            nowMicros = Math.max(nowMicros, event.atMicros());
            event.action().run();
        }
        nowMicros = untilMicros;
    }

    /** Advances the virtual time while callers make calls. Returns the results of the calls that ended during this time. */
    Outcome runCalls(long millis) {
        long servedBefore = served;
        long refusedBefore = refusals.size();
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis++) {
            pendingCalls += layout.callsPerSecond() / 1_000;
            while (pendingCalls >= 1) {
                pendingCalls--;
                call(false);
            }
            pendingCrashingCalls += crashingCallsPerSecond / 1_000;
            while (pendingCrashingCalls >= 1) {
                pendingCrashingCalls--;
                call(true);
            }
            pendingExtraCalls += extraCallsPerSecond / 1_000;
            while (pendingExtraCalls >= 1) {
                pendingExtraCalls--;
                call(false, nodes.get(extraCallsVm), true);
            }
            advance(1);
        }
        return new Outcome(served - servedBefore, refusals.size() - refusedBefore);
    }

    /**
     * Disconnects the first {@code count} routers from the store and reconnects all others. Calls of disconnected routers time
     * out.
     */
    void setRoutersWithoutStore(int count) {
        storeRefuses = false;
        for (Node node : nodes) {
            node.storeDisconnected = node.number < count;
        }
    }

    /** Makes the store immediately refuse all calls of the first {@code count} routers. */
    void refuseStore(int count) {
        setRoutersWithoutStore(count);
        storeRefuses = true;
    }

    /** Disconnects one router from the store, or reconnects it. */
    void setStoreDisconnected(int vm, boolean disconnected) {
        nodes.get(vm).storeDisconnected = disconnected;
    }

    /** Disconnects one router from the store and from all other routers. Messages from and to it are lost without an error. */
    void isolate(int vm) {
        nodes.get(vm).storeDisconnected = true;
        nodes.get(vm).isolated = true;
    }

    /** Connects every router to the store that is not disconnected from the other routers. */
    void reconnectOthers() {
        nodes.forEach(node -> node.storeDisconnected = node.isolated);
    }

    /** Connects all routers to the store and to each other. */
    void reconnectAll() {
        nodes.forEach(node -> {
            node.storeDisconnected = false;
            node.isolated = false;
        });
    }

    /** Returns the number of routers that the store lists. */
    int listedRouters() {
        return kinds.getOrDefault(RouterCodec.KIND, new TreeMap<>()).size();
    }

    /** Returns the number of the VM whose router commits the changes of the ledger for the others. */
    int combiner() {
        for (Node node : nodes) {
            if (node.router != null && node.router.peers().table().combinerOf(0).isEmpty()) {
                return node.number;
            }
        }
        throw new IllegalStateException("no router commits the changes of the ledger");
    }

    /** Returns the number of calls to the store by operation and kind of object, and resets the counts. */
    Map<String, Integer> takeStoreCalls() {
        Map<String, Integer> taken = new TreeMap<>(storeCalls);
        storeCalls.clear();
        return taken;
    }

    /** Returns the numbers of the routers that reach the store and have a configuration older than the given version. */
    List<Integer> routersBehind(long version) {
        return nodes.stream()
                .filter(node -> node.router != null && !node.storeDisconnected)
                .filter(node ->
                        Objects.requireNonNull(node.router).configuration().version() < version)
                .map(node -> node.number)
                .toList();
    }

    /** Returns the numbers of the routers that reach the store and still consider any target of the service usable. */
    List<Integer> routersUsingTheTarget() {
        return nodes.stream()
                .filter(node -> node.router != null && !node.storeDisconnected)
                .filter(node -> !Objects.requireNonNull(node.router)
                        .targets()
                        .candidates("s", Set.of(), node.clockMillis())
                        .isEmpty())
                .map(node -> node.number)
                .toList();
    }

    /** Returns the numbers of the routers that any running router considers the watcher of its failure domain. */
    Set<Integer> watchingRouters() {
        Set<Integer> result = new TreeSet<>();
        for (Node node : nodes) {
            if (node.router != null) {
                String vm = node.router.peers().table().watcherOfDomain();
                result.add(vm.isEmpty() ? node.number : Objects.requireNonNull(nodesByVm.get(vm)).number);
            }
        }
        return result;
    }

    /** Marks the target as draining in the store. */
    void drainTarget() {
        writeTarget("target", "10.1.1.1:80", "draining");
    }

    /** Removes the entry of the target from the store. */
    void removeTarget() {
        change(TargetCodec.KIND, new ObjectKinds.Change(new ObjectKinds.Entry("target", Json.object()), true));
    }

    /** Writes the entry of the target, ready for requests. */
    void registerTarget() {
        writeTarget("target", "10.1.1.1:80", "ready");
    }

    /** Adds targets in addition to the first one and returns the names of the added ones. */
    List<String> addTargets(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add("target-" + i);
            writeTarget("target-" + i, "10.1.2." + i + ":80", "ready");
        }
        return names;
    }

    /** Returns the failures of all calls since the start that were not served. */
    List<Failure> refusals() {
        return refusals;
    }

    /** Returns the simulated targets. */
    FleetTargets targets() {
        return targets;
    }

    /** Returns the virtual time in milliseconds. The clocks of VMs may differ from it. */
    long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    /** Adds targets that are spread evenly among the failure domains, and returns the names of each domain's targets. */
    Map<String, List<String>> addTargetsInDomains(int count) {
        Map<String, List<String>> names = new TreeMap<>();
        for (int i = 1; i <= count; i++) {
            String domain = "domain-" + i % layout.failureDomains();
            names.computeIfAbsent(domain, ignored -> new ArrayList<>()).add("target-" + i);
            writeTarget("target-" + i, "10.1.2." + i + ":80", "ready", domain, 0);
        }
        return names;
    }

    /** Writes the entry of a target in a failure domain, which stays cold for some time. */
    void writeColdTarget(String name, String failureDomain, long coldMillis) {
        writeTarget(name, addresses.getOrDefault(name, "10.1.3.1:80"), "ready", failureDomain, coldMillis);
    }

    private void writeTarget(String name, String address, String state) {
        writeTarget(name, address, state, "domain-0", 0);
    }

    private void writeTarget(String name, String address, String state, String failureDomain, long coldMillis) {
        addresses.put(name, address);
        targetsByAddress.put(address, name);
        ObjectNode content = Json.object()
                .put("service", "s")
                .put("address", address)
                .put("zone", failureDomain)
                .put("slots", 64)
                .put("state", state)
                .put("born", 1);
        if (softwareVersions.containsKey(name)) {
            content.put("version", softwareVersions.get(name));
        }
        if (coldMillis > 0) {
            content.put("cold_left_ms", coldMillis);
        }
        write(TargetCodec.KIND, name, content);
    }

    /** Stops all VMs. They boot again with new boot ids and clocks after {@code downMillis}. */
    void powerOffAll(long downMillis) {
        nodes.forEach(Node::stop);
        scheduleAt(
                nowMicros + downMillis * MICROS_PER_MILLI,
                () -> nodes.forEach(node -> {
                    node.bootId++;
                    node.clockOffsetMillis += REBOOT_CLOCK_JUMP_MILLIS;
                    node.start();
                }));
    }

    /** Kills the router on a VM. It starts again after {@code downMillis} in the same boot of the VM. */
    void kill(int vm, long downMillis) {
        Node node = nodes.get(vm);
        node.stop();
        int killedIncarnation = node.incarnationNumber;
        scheduleAt(nowMicros + downMillis * MICROS_PER_MILLI, () -> {
            if (node.incarnationNumber == killedIncarnation && node.router == null) {
                node.start();
            }
        });
    }

    /** Lets the store name its era in all answers. To be called before the first event is handled. */
    void nameEras() {
        era = 1;
    }

    /** Makes a copy of the store, from which {@link #restoreStore} restores it. */
    void copyStore() {
        Map<String, TreeMap<String, JsonNode>> copied = new HashMap<>();
        kinds.forEach((kind, byName) -> copied.put(kind, new TreeMap<>(byName)));
        storeCopy = new StoreCopy(objects.copy(), copied, recordedChanges.size(), revision);
    }

    /**
     * Restores the store from its last copy in a new era. Watches that wait get no answer, so that their routers notice it only
     * when the calls time out. What the operator and the targets wrote since the copy was made is not written again.
     */
    void restoreStore() {
        StoreCopy copy = Objects.requireNonNull(storeCopy, "no copy was made");
        era++;
        objects.restore(copy.objects());
        kinds.clear();
        copy.kinds().forEach((kind, byName) -> kinds.put(kind, new TreeMap<>(byName)));
        recordedChanges.subList(copy.recordedChanges(), recordedChanges.size()).clear();
        revision = copy.revision();
        pendingWatches.forEach(pending -> pending.cut().run());
        pendingWatches.clear();
    }

    /** Sets the fraction of messages between routers that are lost from now on. */
    void loseMessages(double fraction) {
        lostFraction = fraction;
    }

    /** Returns the ids of the requests that were sent to targets more than once. */
    List<String> sentMoreThanOnce() {
        return sendCounts.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the workspaces whose requests sent to targets used more tokens than their budgets. */
    List<String> overspent() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < layout.workspaces(); i++) {
            if (sentTokens.getOrDefault("w" + i, 0L) > limitTokens(i)) {
                names.add("w" + i);
            }
        }
        return names;
    }

    private long limitTokens(int workspace) {
        return Math.round(demandTokensPerSecond(workspace) * layout.budgetSeconds());
    }

    private AccountState account(int workspace) {
        LedgerBook book = LedgerBook.decode(objects.get("ledger/0").value());
        return book.find("w" + workspace).orElseThrow();
    }

    /** Returns the forfeited tokens of a workspace's budget, which ended routers may have spent, in seconds of its demand. */
    double forfeitedSeconds(int workspace) {
        return Accounts.forfeitedTokens(account(workspace)) / demandTokensPerSecond(workspace);
    }
}
