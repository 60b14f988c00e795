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

import com.fasterxml.jackson.databind.JsonNode;
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
import org.radishspan.platform.HttpTargetProtocol;
import org.radishspan.platform.TargetCodec;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.PeerMessage;
import org.radishspan.relay.CallerExchange;
import org.radishspan.relay.CallerRequest;
import org.radishspan.relay.Prompt;
import org.radishspan.standin.ObjectTable;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A deployment on virtual time: real {@link FrontRouter}s with stand-ins for the store, the targets, the links and the callers.
 *
 * <p>Each router has a link of limited rate and handles one event after the other; callers that are refused do not come back.
 */
final class FrontFleet {

    /**
     * The size of a deployment.
     *
     * @param routers the VMs
     * @param failureDomains among which they are spread evenly
     * @param workspaces of uneven size: the i-th has 1/i of the calls of the first
     * @param callsPerSecond calls that need tokens, of all workspaces
     * @param budgetSeconds each workspace's budget serves its calls for so long
     * @param linkBytesPerMilli the rate of a VM's link
     * @param eventMicros what a router needs for an answer or a message
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
     * What became of calls.
     *
     * @param served answered
     * @param refused not served by a router
     */
    record Outcome(long served, long refused) {
        double servedFraction() {
            return served == 0 ? 0 : (double) served / (served + refused);
        }
    }

    private static final long MICROS = 1_000;
    private static final long TICK_MICROS = 10 * MICROS;
    private static final long STORE_MICROS = 4 * MICROS;
    private static final long PEER_MICROS = MICROS;
    private static final long TIMEOUT_MICROS = 500 * MICROS;
    private static final long WORK_MICROS = 700 * MICROS;
    private static final long REBOOT_CLOCK_MILLIS = 9_000_000;
    private static final int AMPLE_CONNECTIONS = 2_000;
    private static final double LARGE_FRACTION = 0.53;
    private static final long LARGE_SHARED_TOKENS = 6_300;
    private static final long LARGE_TOKENS = 2_890;
    private static final long SMALL_SHARED_TOKENS = 200;
    private static final long SMALL_TOKENS = 630;
    private static final long OUTPUT_TOKENS = 300;
    private static final String TOKENS_HEADER = "x-test-tokens";
    private static final int STORE_WRITES_PER_SECOND = 1_200;
    private static final int STORE_READS_PER_SECOND = 6_000;

    private record Event(long atMicros, long number, Runnable action) {}

    private record Watcher(String kind, long aboveRevision, Consumer<Either<Failure, ObjectKinds.Changes>> reply) {}

    private record Logged(String kind, long revision, ObjectKinds.Change change) {}

    /** One VM and the router that runs on it. */
    private final class Node implements VersionedObjects, ObjectKinds, PeerLink {
        private final int number;
        private final String vm;
        private @Nullable FrontRouter router;
        private int life;
        private long bootId = 1;
        private long clockOffsetMillis;
        private long freeAtMicros;
        private long linkFreeAtMicros;
        private boolean storeCut;
        private boolean unreachable;

        Node(int number) {
            this.number = number;
            this.vm = "vm-" + number;
        }

        private long clockMillis() {
            return nowMicros / MICROS + clockOffsetMillis;
        }

        private String failureDomain() {
            return "domain-" + number % layout.failureDomains();
        }

        private String host() {
            return "10.0." + number / 250 + "." + number % 250;
        }

        private void start() {
            life++;
            RouterEntry self = new RouterEntry(vm, vm + "-" + life, new Address(host(), 7_200), failureDomain());
            router = new FrontRouter(
                    new VmSettings(
                            vm,
                            host(),
                            failureDomain(),
                            Set.of("domain-0", "domain-1", "domain-2"),
                            new Address(host(), 80),
                            new Address(host(), 81),
                            List.of(7_200),
                            new VmSettings.Bounds(8_000, 3_000, 3_000, 4_000, 0.2, 10_000, 200),
                            new VmSettings.Store(
                                    new Address("10.9.9.9", 80),
                                    STORE_WRITES_PER_SECOND,
                                    STORE_READS_PER_SECOND,
                                    1_048_576),
                            new VmSettings.Resources(330, 4_100),
                            List.of()),
                    self,
                    new FrontRouter.Ports(
                            this,
                            this,
                            FrontFleet.this::toTarget,
                            new HttpTargetProtocol(),
                            this,
                            RandomSource.XO_SHI_RO_256_PP.create(number + 1_000L * life),
                            this::clockMillis,
                            bootId,
                            EventLog.silent(),
                            new SimpleMeterRegistry()));
            tickEvery(life);
        }

        private void tickEvery(int started) {
            if (life == started && router != null) {
                router.tick();
                at(nowMicros + TICK_MICROS, () -> tickEvery(started));
            }
        }

        private void stop() {
            router = null;
        }

        /** Lets the router handle an event when it is free, unless it has ended by then. */
        private void handle(long atMicros, Consumer<FrontRouter> action) {
            int started = life;
            at(atMicros, () -> {
                FrontRouter running = router;
                if (life != started || running == null) {
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

        private long transferred(long bytes) {
            linkFreeAtMicros = Math.max(nowMicros, linkFreeAtMicros) + bytes * MICROS / layout.linkBytesPerMilli();
            return linkFreeAtMicros;
        }

        private <T> void answer(long atMicros, Consumer<Either<Failure, T>> reply, Either<Failure, T> result) {
            handle(atMicros, running -> reply.accept(result));
        }

        private <T> boolean cut(String call, long waitMillis, Consumer<Either<Failure, T>> reply) {
            storeCalls.merge(call, 1, Integer::sum);
            if (storeCut) {
                answer(
                        nowMicros + (storeRefuses ? STORE_MICROS : waitMillis * MICROS + TIMEOUT_MICROS),
                        reply,
                        Either.left(Failure.unknown(ErrorKind.PLATFORM_UNAVAILABLE, "the store does not answer")));
            }
            return storeCut;
        }

        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {
            if (!cut("get", 0, reply)) {
                StoredObject stored = objects.get(key);
                answer(transferred(stored.value().length) + STORE_MICROS, reply, Either.right(stored));
            }
        }

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {
            if (cut("put", 0, reply)) {
                return;
            }
            int started = life;
            at(transferred(value.length) + STORE_MICROS / 2, () -> {
                Either<Failure, Long> result = objects.put(key, expectedVersion, value);
                if (life == started) {
                    answer(nowMicros + STORE_MICROS / 2, reply, result);
                }
            });
        }

        @Override
        public void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply) {
            if (!cut("list " + kind, 0, reply)) {
                List<Entry> entries = new ArrayList<>();
                kinds.getOrDefault(kind, new TreeMap<>())
                        .tailMap(afterName, false)
                        .forEach((name, content) -> entries.add(new Entry(name, content)));
                answer(nowMicros + STORE_MICROS, reply, Either.right(new Page(entries, true, revision)));
            }
        }

        @Override
        public void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply) {
            if (cut("watch " + kind, waitMillis, reply)) {
                return;
            }
            Watcher watcher =
                    new Watcher(kind, aboveRevision, result -> answer(nowMicros + STORE_MICROS, reply, result));
            if (!wake(watcher)) {
                watchers.add(watcher);
                at(nowMicros + waitMillis * MICROS, () -> {
                    if (watchers.remove(watcher)) {
                        watcher.reply().accept(Either.right(new Changes(List.of(), revision)));
                    }
                });
            }
        }

        @Override
        public void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply) {
            if (!cut("write " + kind, 0, reply)) {
                FrontFleet.this.write(kind, name, content);
                answer(nowMicros + STORE_MICROS, reply, Either.right(revision));
            }
        }

        @Override
        public void remove(String kind, String name, Consumer<Either<Failure, Long>> reply) {
            if (!cut("remove " + kind, 0, reply)) {
                change(kind, new Change(new Entry(name, Json.object()), true));
                answer(nowMicros + STORE_MICROS, reply, Either.right(revision));
            }
        }

        @Override
        public void send(Peer peer, PeerMessage message) {
            Node to = Objects.requireNonNull(nodesByVm.get(peer.vm()), peer.vm());
            int started = to.life;
            if (random.nextDouble() < lostMessages || unreachable || to.unreachable) {
                return;
            }
            at(transferred(message.getSerializedSize()) + PEER_MICROS, () -> {
                if (to.life == started && to.router != null) {
                    to.handle(nowMicros, running -> running.peers().onMessage(vm, message));
                    return;
                }
                handle(nowMicros, running -> running.onPeerConnectionLost(peer.vm()));
            });
        }
    }

    private final Layout layout;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::number));
    private final ObjectTable objects = new ObjectTable();
    private final FleetTargets targets = new FleetTargets();
    private final Map<String, TreeMap<String, JsonNode>> kinds = new HashMap<>();
    private final List<Logged> changes = new ArrayList<>();
    private final List<Watcher> watchers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> nodesByVm = new HashMap<>();
    private final double[] weights;
    private final List<Failure> refusals = new ArrayList<>();
    private final Map<String, Long> spentTokens = new HashMap<>();
    private final Map<String, Integer> sends = new HashMap<>();
    private final Map<String, Integer> storeCalls = new TreeMap<>();
    private int maxConnections = AMPLE_CONNECTIONS;
    private boolean storeRefuses;
    private double lostMessages;
    private long served;
    private long revision = 1;
    private long nowMicros = 1_000_000;
    private long eventCount;
    private long requestCount;
    private double callsDue;

    /** Starts every router and waits until callers may come. */
    FrontFleet(Layout layout, long seed) {
        this.layout = layout;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        this.weights = new double[layout.workspaces()];
        double total = 0;
        for (int i = 0; i < weights.length; i++) {
            weights[i] = 1.0 / (i + 1);
            total += weights[i];
        }
        for (int i = 0; i < weights.length; i++) {
            weights[i] /= total;
        }
        configure(1);
        writeTarget("target", "10.1.1.1:80", "ready");
        for (int i = 0; i < layout.routers(); i++) {
            Node node = new Node(i);
            nodes.add(node);
            nodesByVm.put(node.vm, node);
        }
        nodes.forEach(Node::start);
    }

    private static double meanTokens() {
        return LARGE_FRACTION * (LARGE_SHARED_TOKENS + LARGE_TOKENS)
                + (1 - LARGE_FRACTION) * (SMALL_SHARED_TOKENS + SMALL_TOKENS);
    }

    /** Returns what the calls of a workspace use in a second. */
    double demandTokensPerSecond(int workspace) {
        return weights[workspace] * layout.callsPerSecond() * meanTokens();
    }

    /** Writes the same configuration under a version. */
    void configure(long version) {
        write(
                ConfigurationCodec.KIND,
                ConfigurationCodec.NAME,
                Json.parseObject(configuration(version).getBytes(UTF_8)).orElseThrow());
    }

    /** Writes a configuration by which each target takes fewer connections from all routers together. */
    void limitConnections(int connections, long version) {
        maxConnections = connections;
        configure(version);
    }

    /** Returns the configuration version that set the limit of a workspace, as the ledger has it. */
    long limitVersion(int workspace) {
        return account(workspace).getLimitVersion();
    }

    /** Writes a configuration in which every workspace has another key than before. */
    void withdrawKeys(long version) {
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
                , "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "kind": "unsafe",
                  "timeout_ms": 6000, "target_latency_ms": 800, "service": "s"}],
                 "services": [{"name": "s", "max_conns": """ + maxConnections + """
                }], "limits": {}, "tenants": [""" + tenants + "]}";
    }

    private void at(long atMicros, Runnable action) {
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
        changes.add(new Logged(kind, revision, change));
        watchers.removeIf(this::wake);
    }

    private boolean wake(Watcher watcher) {
        List<ObjectKinds.Change> news = changes.stream()
                .filter(logged -> logged.revision() > watcher.aboveRevision()
                        && logged.kind().equals(watcher.kind()))
                .map(Logged::change)
                .toList();
        if (!news.isEmpty()) {
            watcher.reply().accept(Either.right(new ObjectKinds.Changes(news, revision)));
        }
        return !news.isEmpty();
    }

    private HttpTransport.Call toTarget(HttpTransport.Request request, HttpTransport.Listener listener) {
        long tokens = Long.parseLong(request.header(TOKENS_HEADER).orElse("0"));
        String target = request.header(FleetTargets.nameHeader()).orElse("");
        targets.onArrival(target, nowMillis());
        sends.merge(request.header("X-Test-Id").orElse(""), 1, Integer::sum);
        spentTokens.merge(request.header("X-Tenant").orElse(""), tokens, Long::sum);
        boolean[] cancelled = {false};
        at(nowMicros + WORK_MICROS, () -> {
            if (!cancelled[0]) {
                targets.onEnd(target);
                listener.onHead(200, name -> targets.answerHeader(target, name));
                listener.onEnd();
            }
        });
        return new HttpTransport.Call() {
            @Override
            public void cancel() {
                if (!cancelled[0]) {
                    cancelled[0] = true;
                    targets.onEnd(target);
                }
            }

            @Override
            public void setPaused(boolean paused) {}
        };
    }

    /** A caller who counts what became of the call. */
    private final class Caller implements CallerExchange {
        @Override
        public void respond(int status, List<Map.Entry<String, String>> headers, byte[] body) {
            served++;
        }

        @Override
        public void fail(Failure failure) {
            refusals.add(failure);
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

    private void call() {
        Node node = nodes.get(random.nextInt(nodes.size()));
        if (node.router == null || !node.router.ready()) {
            refusals.add(Failure.notRun(ErrorKind.DRAINING, "the router is not ready"));
            return;
        }
        boolean large = random.nextDouble() < LARGE_FRACTION;
        long shared = large ? LARGE_SHARED_TOKENS : SMALL_SHARED_TOKENS;
        long own = Math.round((large ? LARGE_TOKENS : SMALL_TOKENS) * -Math.log(1 - random.nextDouble()));
        requestCount++;
        CallerRequest request = new CallerRequest(
                "request-" + requestCount,
                "POST",
                "/r/x",
                "h",
                List.of(
                        Map.entry(TOKENS_HEADER, Long.toString(shared + own)),
                        Map.entry("X-Test-Id", "request-" + requestCount)),
                new byte[0],
                Optional.of("k" + drawWorkspace()),
                OptionalLong.of(6_000),
                Optional.of(new Prompt(
                        shared + own,
                        OUTPUT_TOKENS,
                        List.of(new Prompt.Part("s", shared), new Prompt.Part("o" + requestCount, own)))),
                OptionalLong.empty());
        node.handle(nowMicros, running -> running.relay().accept(request, new Caller()));
    }

    /** Lets time pass without calls. */
    void pass(long millis) {
        long untilMicros = nowMicros + millis * MICROS;
        while (!events.isEmpty() && events.peek().atMicros() <= untilMicros) {
            Event event = events.remove();
            nowMicros = Math.max(nowMicros, event.atMicros());
            event.action().run();
        }
        nowMicros = untilMicros;
    }

    /** Lets callers make their calls for a while; returns what became of the calls that ended in it. */
    Outcome serve(long millis) {
        long servedBefore = served;
        long refusedBefore = refusals.size();
        for (long passed = 0; passed < millis; passed++) {
            callsDue += layout.callsPerSecond() / 1_000;
            while (callsDue >= 1) {
                callsDue--;
                call();
            }
            pass(1);
        }
        return new Outcome(served - servedBefore, refusals.size() - refusedBefore);
    }

    /** Cuts the first routers from the store, or joins all again. */
    void cutStore(int count) {
        storeRefuses = false;
        for (Node node : nodes) {
            node.storeCut = node.number < count;
        }
    }

    /** The store turns all calls of the first routers away at once. */
    void refuseStore(int count) {
        cutStore(count);
        storeRefuses = true;
    }

    /** Cuts one router from the store, or joins it again. */
    void cutStoreOf(int vm, boolean cut) {
        nodes.get(vm).storeCut = cut;
    }

    /** Cuts one router from everything; connections to it hang. */
    void cutOff(int vm) {
        nodes.get(vm).storeCut = true;
        nodes.get(vm).unreachable = true;
    }

    /** Returns the calls to the store since the last time, by what they asked for. */
    Map<String, Integer> takeStoreCalls() {
        Map<String, Integer> taken = new TreeMap<>(storeCalls);
        storeCalls.clear();
        return taken;
    }

    /** Returns the numbers of the routers that reach the store and lack a configuration version. */
    List<Integer> routersBehind(long version) {
        return nodes.stream()
                .filter(node -> node.router != null && !node.storeCut)
                .filter(node ->
                        Objects.requireNonNull(node.router).configuration().version() < version)
                .map(node -> node.number)
                .toList();
    }

    /** Returns the numbers of the routers that reach the store and would still send work to the target. */
    List<Integer> routersUsingTheTarget() {
        return nodes.stream()
                .filter(node -> node.router != null && !node.storeCut)
                .filter(node -> !Objects.requireNonNull(node.router)
                        .targets()
                        .candidates("s", Set.of(), node.clockMillis())
                        .isEmpty())
                .map(node -> node.number)
                .toList();
    }

    /** Returns the numbers of the routers that watch the store for their failure domain, as others see them. */
    Set<Integer> watchers() {
        Set<Integer> result = new TreeSet<>();
        for (Node node : nodes) {
            if (node.router != null) {
                String vm = node.router.peers().table().watcherOfDomain();
                result.add(vm.isEmpty() ? node.number : Objects.requireNonNull(nodesByVm.get(vm)).number);
            }
        }
        return result;
    }

    /** The target says in the store that it is about to stop. */
    void drainTarget() {
        writeTarget("target", "10.1.1.1:80", "draining");
    }

    /** Adds targets beside the first one; returns their names. */
    List<String> addTargets(int count) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add("target-" + i);
            writeTarget("target-" + i, "10.1.2." + i + ":80", "ready");
        }
        return names;
    }

    /** Returns the failures of the calls that were not served. */
    List<Failure> refusals() {
        return refusals;
    }

    /** Returns the targets, their answers and arrivals. */
    FleetTargets targets() {
        return targets;
    }

    /** Returns the time of the deployment, which no VM's clock need show. */
    long nowMillis() {
        return nowMicros / MICROS;
    }

    private void writeTarget(String name, String address, String state) {
        write(
                TargetCodec.KIND,
                name,
                Json.object()
                        .put("service", "s")
                        .put("address", address)
                        .put("zone", "domain-0")
                        .put("slots", 64)
                        .put("state", state)
                        .put("born", 1));
    }

    /** All VMs lose power and boot again after a while. */
    void powerOffAll(long downMillis) {
        nodes.forEach(Node::stop);
        at(
                nowMicros + downMillis * MICROS,
                () -> nodes.forEach(node -> {
                    node.bootId++;
                    node.clockOffsetMillis += REBOOT_CLOCK_MILLIS;
                    node.start();
                }));
    }

    /** Kills the router on a VM; it runs again after a while, in the same boot. */
    void kill(int vm, long downMillis) {
        Node node = nodes.get(vm);
        node.stop();
        int stopped = node.life;
        at(nowMicros + downMillis * MICROS, () -> {
            if (node.life == stopped && node.router == null) {
                node.start();
            }
        });
    }

    /** Loses a part of the messages between routers from now on. */
    void loseMessages(double fraction) {
        lostMessages = fraction;
    }

    /** Returns the requests that targets were sent more than once. */
    List<String> sentTwice() {
        return sends.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the workspaces of which targets were sent more tokens than their budgets hold. */
    List<String> overspent() {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < layout.workspaces(); i++) {
            if (spentTokens.getOrDefault("w" + i, 0L) > limitTokens(i)) {
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

    /** Returns the tokens that ended routers may have spent of a workspace's budget, in seconds of its demand. */
    double forfeitedSeconds(int workspace) {
        return Accounts.forfeitedTokens(account(workspace)) / demandTokensPerSecond(workspace);
    }
}
