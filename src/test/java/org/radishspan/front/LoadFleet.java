package org.radishspan.front;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BiPredicate;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.TargetLoads;
import org.radishspan.routing.LimitDivision;
import org.radishspan.routing.PendingFirstEvent;
import org.radishspan.routing.Placement;
import org.radishspan.routing.PromptShape;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetFilter;
import org.radishspan.routing.TargetTable;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.virtual.VirtualTime;

/**
 * Simulates, on virtual time, routers that place prompts on engines and share the loads of those. Tables, placement, peers
 * and the exchange of loads are real; engines and links are simulated.
 */
final class LoadFleet {

    /**
     * The deployment.
     *
     * @param memoryTokens the tokens that fit into the memory of an engine, which crashes beyond it
     * @param reportsPace whether engines report their pace, so that routers share loads
     * @param limitsMemory whether routers send only what fits into the memory of an engine
     */
    record Layout(
            int routers,
            int failureDomains,
            int engines,
            int slots,
            long memoryTokens,
            boolean reportsPace,
            boolean limitsMemory) {}

    /**
     * A type of request.
     *
     * @param perSecond the requests a second of the whole fleet
     * @param promptTokens the tokens of the prompt, all of which the engine reads
     * @param outputTokens the maximum output, which counts for the memory
     * @param answerMillis the time from the first event to the end at the usual speed
     * @param objectiveMillis when the first event is due
     */
    record Kind(double perSecond, long promptTokens, long outputTokens, long answerMillis, long objectiveMillis) {}

    private static final String SERVICE = "llm";
    private static final long TICK_MILLIS = 10;
    private static final long HOP_MILLIS = 2;
    private static final double READ_MILLIS_PER_TOKEN = 1 / 40.0;
    private static final double START_MILLIS = 20;
    private static final long RESTART_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 50;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final long PACE_MILLIS = 600;
    private static final double SLOW_FRACTION = 0.15;
    private static final double SLOW_PACE = 2.5;
    private static final double WAVE_MILLIS = 17_000;
    private static final double WAVE_AMPLITUDE = 0.55;
    private static final long SECOND_MILLIS = 1_000;

    /** Sends a request to an engine, later if none has room for it. */
    private void place(Kind kind, Node node, long acceptedAtMillis) {
        Optional<Placement.Choice> choice = node.choose(kind);
        if (choice.isPresent()) {
            new Attempt(kind, node, acceptedAtMillis, choice.get()).start();
            return;
        }
        waits++;
        if (time.nowMillis() - acceptedAtMillis >= PATIENCE_MILLIS) {
            refused++;
            return;
        }
        time.schedule(RETRY_MILLIS, () -> place(kind, node, acceptedAtMillis));
    }

    /** A request on its way to an engine or there. */
    private final class Attempt {
        private final Kind kind;
        private final Node node;
        private final long acceptedAtMillis;
        private final Placement.Choice choice;
        private final Target target;
        private final PendingFirstEvent pending;
        private final long sentAtMillis = time.nowMillis();
        private boolean begun;

        Attempt(Kind kind, Node node, long acceptedAtMillis, Placement.Choice choice) {
            this.kind = kind;
            this.node = node;
            this.acceptedAtMillis = acceptedAtMillis;
            this.choice = choice;
            this.target = choice.target();
            this.pending = node.table.expectFirstEvent(choice, sentAtMillis);
        }

        private long tokens() {
            return kind.promptTokens() + kind.outputTokens();
        }

        void start() {
            node.table.onDispatched(target, sentAtMillis);
            node.table.holdMemory(target, tokens(), sentAtMillis);
            node.table.addPendingPrompt(target, kind.promptTokens());
            Engine engine = Objects.requireNonNull(engines.get(target.name()));
            time.schedule(HOP_MILLIS, () -> engine.submit(this));
        }

        void onFirstEvent(int running, int waiting, OptionalInt pacePercent) {
            long now = time.nowMillis();
            begun = true;
            pending.end();
            node.table.removePendingPrompt(target, kind.promptTokens());
            node.table.onLoad(target, running, waiting, pacePercent, now);
            node.table.onFirstEvent(target, choice.unreadTokens(), now - sentAtMillis, now);
            if (measuring) {
                answered++;
                late += now - acceptedAtMillis > kind.objectiveMillis() ? 1 : 0;
                ratios.add((now - sentAtMillis) / choice.estimateMillis());
            }
        }

        void onEnd(boolean success) {
            if (!begun) {
                pending.end();
                node.table.removePendingPrompt(target, kind.promptTokens());
            }
            node.table.onFinished(target, success, time.nowMillis());
            node.table.releaseMemory(target, tokens());
            if (success) {
                node.table.onAnswer(target, time.nowMillis() - sentAtMillis, time.nowMillis());
            }
        }
    }

    /** An engine that reads prompts one after another and crashes if it holds more than its memory. */
    private final class Engine {
        private final double slowness;
        private final Deque<Attempt> waiting = new ArrayDeque<>();
        private final Set<Attempt> held = new HashSet<>();
        private int running;
        private long heldTokens;
        private double readFreeAtMillis;
        private double pace = 1;
        private long downUntilMillis;

        Engine(double slowness) {
            this.slowness = slowness;
        }

        void submit(Attempt job) {
            if (time.nowMillis() < downUntilMillis) {
                time.schedule(HOP_MILLIS, () -> job.onEnd(false));
                return;
            }
            held.add(job);
            heldTokens += job.tokens();
            largestHeldTokens = Math.max(largestHeldTokens, heldTokens);
            if (heldTokens > layout.memoryTokens()) {
                crash();
                return;
            }
            if (running < layout.slots()) {
                start(job);
            } else {
                waiting.add(job);
            }
        }

        private void crash() {
            crashes++;
            downUntilMillis = time.nowMillis() + RESTART_MILLIS;
            Set<Attempt> lost = Set.copyOf(held);
            held.clear();
            waiting.clear();
            running = 0;
            heldTokens = 0;
            lost.forEach(job -> time.schedule(HOP_MILLIS, () -> job.onEnd(false)));
        }

        private void start(Attempt job) {
            running++;
            double ratio = slowness * pace;
            readFreeAtMillis = Math.max(time.nowMillis(), readFreeAtMillis)
                    + job.kind.promptTokens() * READ_MILLIS_PER_TOKEN * ratio;
            long firstAtMillis = Math.round(readFreeAtMillis + START_MILLIS * ratio);
            time.schedule(firstAtMillis - time.nowMillis(), () -> onFirstEvent(job));
        }

        private void onFirstEvent(Attempt job) {
            if (!held.contains(job)) {
                return;
            }
            int runningNow = running;
            int waitingNow = waiting.size();
            OptionalInt pacePercent =
                    layout.reportsPace() ? OptionalInt.of((int) Math.round(pace * 100)) : OptionalInt.empty();
            time.schedule(HOP_MILLIS, () -> job.onFirstEvent(runningNow, waitingNow, pacePercent));
            time.schedule(Math.round(job.kind.answerMillis() * slowness), () -> end(job));
        }

        private void end(Attempt job) {
            if (!held.remove(job)) {
                return;
            }
            running--;
            heldTokens -= job.tokens();
            time.schedule(HOP_MILLIS, () -> job.onEnd(true));
            if (!waiting.isEmpty()) {
                start(waiting.remove());
            }
        }
    }

    /** A router. */
    private final class Node extends NoPeerHandlers {
        private final String vm;
        private final String failureDomain;
        private final TargetTable table;
        private final PeerSystem peers;
        private final LoadExchange exchange;
        private final Placement placement;
        private boolean stopped;

        Node(int number) {
            this.vm = "vm-" + number;
            this.failureDomain = domainOf(number);
            LimitDivision division = new LimitDivision(vm, () -> true);
            division.replace(vms());
            this.table = new TargetTable(division);
            this.peers = new PeerSystem(
                    new PeerSystem.Self(vm, vm + "-1", failureDomain),
                    (peer, message) -> deliver(vm, peer.vm(), message),
                    this,
                    () -> 0,
                    () -> 0);
            this.exchange = new LoadExchange(table.loads(), peers, EventLog.silent(), new SimpleMeterRegistry());
            this.placement = new Placement(RandomSource.XO_SHI_RO_256_PP.create(number));
            peers.replace(listedVms());
            table.setMemoryTokens(SERVICE, layout.memoryTokens());
            if (layout.limitsMemory()) {
                table.loads().activate();
            }
            for (int i = 0; i < layout.engines(); i++) {
                table.register(new TargetEntry(
                        engineName(i), SERVICE, new Address("10.1.0." + i, 80), domainOf(i), layout.slots(), false, 1));
            }
        }

        void tick() {
            if (!stopped) {
                peers.tick(time.nowMillis());
                exchange.tick(time.nowMillis());
            }
        }

        Optional<Placement.Choice> choose(Kind kind) {
            long tokens = kind.promptTokens() + kind.outputTokens();
            TargetFilter filter = TargetFilter.ALL;
            if (layout.limitsMemory()) {
                filter = waitsForRoom ? table.roomFor(tokens) : table.memoryFor(tokens);
            }
            List<Target> candidates = table.candidates(SERVICE, Set.of(), filter, time.nowMillis());
            PromptShape prompt = new PromptShape("", List.of("p"), List.of(kind.promptTokens()));
            return placement.choose(
                    placement.sample(candidates, prompt, time.nowMillis()),
                    prompt,
                    kind.objectiveMillis(),
                    time.nowMillis());
        }

        @Override
        public void onTargetLoads(String from, TargetLoads loads) {
            exchange.onLoads(from, loads, time.nowMillis());
        }
    }

    private final Layout layout;
    private final VirtualTime time = new VirtualTime(10_000);
    private final UniformRandomProvider random;
    private final Map<String, Node> nodes = new HashMap<>();
    private final List<Node> nodeList = new ArrayList<>();
    private final Map<String, Engine> engines = new HashMap<>();
    private final Map<String, Integer> messagesByLink = new HashMap<>();
    private final Map<String, Long> sentBytes = new HashMap<>();
    private final List<Double> ratios = new ArrayList<>();
    private BiPredicate<String, String> isCut = (from, to) -> false;
    private boolean measuring;
    private long answered;
    private long late;
    private long waits;
    private long refused;
    private int crashes;
    private long largestHeldTokens;
    private double loadFactor = 1;
    private int duplicates = 1;
    private boolean waitsForRoom;
    private double usedSlotMillis;
    private int mostWaiting;

    LoadFleet(Layout layout, long seed) {
        this.layout = layout;
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
        for (int i = 0; i < layout.engines(); i++) {
            engines.put(engineName(i), new Engine(i % 3 == 2 ? 1.7 : 0.7));
        }
        for (int i = 0; i < layout.routers(); i++) {
            Node node = new Node(i);
            nodes.put(node.vm, node);
            nodeList.add(node);
        }
        changePaces();
        tickAll();
    }

    private static String engineName(int number) {
        return "engine-" + number;
    }

    private String domainOf(int number) {
        return "domain-" + number % layout.failureDomains();
    }

    private List<String> vms() {
        List<String> result = new ArrayList<>();
        for (int i = 0; i < layout.routers(); i++) {
            result.add("vm-" + i);
        }
        return result;
    }

    private List<ListedVm> listedVms() {
        List<ListedVm> result = new ArrayList<>();
        for (int i = 0; i < layout.routers(); i++) {
            result.add(new ListedVm("vm-" + i, "router", "10.0.0." + i, 7_200, domainOf(i), false, Set.of()));
        }
        return result;
    }

    private void changePaces() {
        engines.values().forEach(engine -> engine.pace = random.nextDouble() < SLOW_FRACTION ? SLOW_PACE : 1);
        time.schedule(PACE_MILLIS, this::changePaces);
    }

    private void tickAll() {
        nodeList.forEach(Node::tick);
        if (measuring) {
            for (Engine engine : engines.values()) {
                usedSlotMillis += (double) engine.running * TICK_MILLIS;
                mostWaiting = Math.max(mostWaiting, engine.waiting.size());
            }
        }
        time.schedule(TICK_MILLIS, this::tickAll);
    }

    private void deliver(String from, String to, PeerMessage message) {
        if (isCut.test(from, to)) {
            return;
        }
        Node receiver = nodes.get(to);
        boolean loads = message.hasTargetLoads();
        if (loads) {
            messagesByLink.merge(from + ">" + to, 1, Integer::sum);
            sentBytes.merge(from, (long) message.getSerializedSize(), Long::sum);
        }
        for (int i = 0; receiver != null && i < (loads ? duplicates : 1); i++) {
            time.schedule(HOP_MILLIS + 3L * i, () -> {
                if (!receiver.stopped) {
                    receiver.peers.onMessage(from, message);
                }
            });
        }
    }

    /** Starts the arrival of requests of one type, whose places move in waves from domain to domain. */
    void startLoad(Kind kind) {
        double perSecond = kind.perSecond() * loadFactor;
        long delayMillis = Math.round(-Math.log(1 - random.nextDouble()) * SECOND_MILLIS / perSecond);
        time.schedule(delayMillis, () -> {
            place(kind, drawNode(), time.nowMillis());
            startLoad(kind);
        });
    }

    /** Starts the arrival of requests of one type at one router, in addition to those that come to all. */
    void startLoadAt(String vm, Kind kind) {
        Node node = Objects.requireNonNull(nodes.get(vm), vm);
        long delayMillis = Math.round(-Math.log(1 - random.nextDouble()) * SECOND_MILLIS / kind.perSecond());
        time.schedule(delayMillis, () -> {
            place(kind, node, time.nowMillis());
            startLoadAt(vm, kind);
        });
    }

    private Node drawNode() {
        while (true) {
            int number = random.nextInt(nodeList.size());
            double phase = 2 * Math.PI * (number % layout.failureDomains()) / layout.failureDomains();
            double wave = Math.sin(2 * Math.PI * time.nowMillis() / WAVE_MILLIS + phase);
            boolean drawn = random.nextDouble() * (1 + WAVE_AMPLITUDE) < 1 + WAVE_AMPLITUDE * wave;
            if (drawn && !nodeList.get(number).stopped) {
                return nodeList.get(number);
            }
        }
    }

    /** Lets every router accept some requests of one type at the same moment. */
    void burst(Kind kind, int requestsPerRouter) {
        for (Node node : nodeList) {
            for (int i = 0; i < requestsPerRouter; i++) {
                place(kind, node, time.nowMillis());
            }
        }
    }

    void setLoadFactor(double factor) {
        loadFactor = factor;
    }

    /** Lets requests wait at their router until an engine has a free slot for them. */
    void setWaitsForRoom() {
        waitsForRoom = true;
    }

    /** Returns the fraction of slots that were in use while answers were counted. */
    double usedSlotFraction(long measuredMillis) {
        return usedSlotMillis / ((double) measuredMillis * layout.engines() * layout.slots());
    }

    /** Returns the largest number of requests that waited at an engine while answers were counted. */
    int mostWaiting() {
        return mostWaiting;
    }

    /** Sets which links between two VMs lose all messages. */
    void setCut(BiPredicate<String, String> cut) {
        isCut = cut;
    }

    /** Lets every message about loads arrive several times. */
    void setDuplicates(int copies) {
        duplicates = copies;
    }

    /** Stops a router without notice. */
    void stop(String vm) {
        Node node = nodes.get(vm);
        if (node != null) {
            node.stopped = true;
        }
    }

    void run(long millis) {
        time.run(millis);
    }

    /** Runs for a time in which answers and messages are counted. */
    void measure(long millis) {
        messagesByLink.clear();
        sentBytes.clear();
        answered = 0;
        late = 0;
        waits = 0;
        refused = 0;
        crashes = 0;
        ratios.clear();
        usedSlotMillis = 0;
        mostWaiting = 0;
        measuring = true;
        time.run(millis);
        measuring = false;
    }

    /** Returns the VM that collects the loads of a failure domain in the view of the first other router there. */
    String hubOf(int domain) {
        for (int i = domain; i < layout.routers(); i += layout.failureDomains()) {
            Node node = nodeList.get(i);
            if (!node.stopped) {
                String hub = node.peers.table().loadHub(vm -> false);
                return hub.isEmpty() ? node.vm : hub;
            }
        }
        throw new IllegalStateException("no router runs in domain " + domain);
    }

    /** Returns the median age of the newest reports that a router has of all engines. */
    long medianAgeMillis(String vm) {
        TargetTable table = Objects.requireNonNull(nodes.get(vm), vm).table;
        List<Long> ages = table.rows().stream()
                .map(target -> table.loads().reportAgeMillis(target, time.nowMillis()))
                .sorted()
                .toList();
        return ages.get(ages.size() / 2);
    }

    long answered() {
        return answered;
    }

    double lateFraction() {
        return (double) late / Math.max(1, answered);
    }

    /** Returns the ratio of actual to estimated times that a fraction of the answers does not exceed. */
    double ratio(double quantile) {
        List<Double> sorted = ratios.stream().sorted().toList();
        return sorted.get((int) (quantile * (sorted.size() - 1)));
    }

    int messages() {
        return messagesByLink.values().stream().mapToInt(Integer::intValue).sum();
    }

    int mostMessagesOfALink() {
        return messagesByLink.values().stream()
                .mapToInt(Integer::intValue)
                .max()
                .orElse(0);
    }

    long mostBytesOfARouter() {
        return sentBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    long bytes() {
        return sentBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    long waits() {
        return waits;
    }

    long refused() {
        return refused;
    }

    int crashes() {
        return crashes;
    }

    long largestHeldTokens() {
        return largestHeldTokens;
    }
}
