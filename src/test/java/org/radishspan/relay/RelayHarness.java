package org.radishspan.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.LedgerGateway;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.budget.SharePolicy;
import org.radishspan.budget.ShareSystem;
import org.radishspan.budget.TokenClient;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.CallerLimits;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.RouteKind;
import org.radishspan.deployment.ServiceSpec;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.log.EventLog;
import org.radishspan.platform.HttpTargetProtocol;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.store.CallBudget;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoredObject;
import org.radishspan.store.VersionedObjects;

import static java.nio.charset.StandardCharsets.UTF_8;

/** A relay for tests. The test itself acts as the targets and callers, and advances the clock. */
final class RelayHarness {
    static final String KEY = "key";

    /** A request that the relay sent to a target; the test answers it through the methods of this class. */
    static final class SentRequest implements HttpTransport.Call {
        final HttpTransport.Request request;
        private final HttpTransport.Listener listener;
        boolean cancelled;
        boolean connecting;

        SentRequest(HttpTransport.Request request, HttpTransport.Listener listener) {
            this.request = request;
            this.listener = listener;
        }

        String target() {
            return request.header("X-Expect-Instance").orElse("");
        }

        void head(int status, String... headers) {
            Map<String, String> values = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (int i = 0; i < headers.length; i += 2) {
                values.put(headers[i], headers[i + 1]);
            }
            listener.onHead(status, new HttpTransport.Headers() {
                @Override
                public @Nullable String get(String name) {
                    return values.get(name);
                }

                @Override
                public List<Map.Entry<String, String>> all() {
                    return List.copyOf(values.entrySet());
                }
            });
        }

        void answer(int status, String body, String... headers) {
            head(status, headers);
            listener.onBody(body.getBytes(UTF_8));
            listener.onEnd();
        }

        void events(int from, int to) {
            for (int i = from; i <= to; i++) {
                listener.onBody(event(i).getBytes(UTF_8));
            }
        }

        void bytes(String text) {
            listener.onBody(text.getBytes(UTF_8));
        }

        void end() {
            listener.onEnd();
        }

        void loseConnection() {
            listener.onFailure("the connection was lost", true);
        }

        void failToConnect() {
            listener.onFailure("cannot connect", false);
        }

        @Override
        public void cancel() {
            cancelled = true;
        }

        @Override
        public boolean sent() {
            return !connecting;
        }

        @Override
        public void setPaused(boolean paused) {}
    }

    /** A caller that records the answer it receives. */
    static final class Caller implements CallerExchange {
        int status;
        List<Map.Entry<String, String>> headers = List.of();
        final StringBuilder body = new StringBuilder();
        boolean ended;
        boolean aborted;
        private @Nullable Failure failure;
        private Runnable onClosed = () -> {};

        Failure failure() {
            return Objects.requireNonNull(failure, "the request was not answered with a failure");
        }

        boolean open() {
            return status == 0 && failure == null && !ended && !aborted;
        }

        void disconnect() {
            onClosed.run();
        }

        @Override
        public void respond(int answerStatus, List<Map.Entry<String, String>> answerHeaders, byte[] bytes) {
            status = answerStatus;
            headers = answerHeaders;
            body.append(new String(bytes, UTF_8));
            ended = true;
        }

        @Override
        public void fail(Failure cause) {
            failure = cause;
        }

        @Override
        public void start(int answerStatus, List<Map.Entry<String, String>> answerHeaders) {
            status = answerStatus;
            headers = answerHeaders;
        }

        @Override
        public void write(byte[] bytes) {
            body.append(new String(bytes, UTF_8));
        }

        @Override
        public void end() {
            ended = true;
        }

        @Override
        public void abort() {
            aborted = true;
        }

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public void onClosed(Runnable action) {
            onClosed = action;
        }

        @Override
        public void onWritable(Runnable action) {}
    }

    private static final class UnresponsiveStore implements VersionedObjects {
        @Override
        public void get(String key, Consumer<Either<Failure, StoredObject>> reply) {}

        @Override
        public void put(String key, long expectedVersion, byte[] value, Consumer<Either<Failure, Long>> reply) {}
    }

    private static final class NoCombinerClient implements LedgerGateway.CombinerClient {
        @Override
        public String combinerOf(int partition) {
            return "";
        }

        @Override
        public void send(String vm, LedgerCall call) {}

        @Override
        public void onTimeout(String vm) {}

        @Override
        public void reply(String vm, LedgerAnswer answer) {}
    }

    private static final class NoKeeperClient implements TokenClient.KeeperClient {
        @Override
        public List<String> keepersOf(String budget) {
            return List.of();
        }

        @Override
        public void reserve(String vm, ReserveTokens call) {}

        @Override
        public void settle(String vm, SettleTokens settled) {}

        @Override
        public void onTimeout(String vm) {}
    }

    /** Remembers the streams of this relay, and knows those that the test adds. */
    static final class KnownStreams implements StreamVersions {
        final Map<String, String> versions = new HashMap<>();
        final Set<String> notAnnounced = new HashSet<>();

        @Override
        public boolean mayBegin(Target target, long nowMillis) {
            return !notAnnounced.contains(target.softwareVersion());
        }

        @Override
        public void onBegun(String service, String streamId, String softwareVersion) {
            versions.put(streamId, softwareVersion);
        }

        @Override
        public void onComplete(String streamId) {
            versions.remove(streamId);
        }

        @Override
        public void find(String service, String streamId, Consumer<Either<Failure, String>> reply) {
            String version = versions.get(streamId);
            reply.accept(
                    version == null
                            ? Either.left(Failure.notRun(ErrorKind.NO_TARGET, "unknown stream"))
                            : Either.right(version));
        }
    }

    final List<SentRequest> sent = new ArrayList<>();
    final KnownStreams streams = new KnownStreams();
    final TargetTable targets = new TargetTable();
    private final Set<String> refusingHosts = new HashSet<>();
    final RelaySystem relay;
    private long nowMillis = 1_000;
    private int requestCount;
    private Optional<DeploymentConfiguration> configuration = Optional.of(configuration(OptionalLong.empty()));
    private final ShareSystem shares;

    RelayHarness(int targetCount) {
        this(targetCount, TargetRules.ALL, false);
    }

    /** Creates a relay with targets in failure domain {@code a} and rules about where requests may be sent. */
    RelayHarness(int targetCount, TargetRules targetRules) {
        this(targetCount, targetRules, false);
    }

    RelayHarness(int targetCount, boolean admissionControl) {
        this(targetCount, TargetRules.ALL, admissionControl);
    }

    private RelayHarness(int targetCount, TargetRules targetRules, boolean admissionControl) {
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1);
        LedgerPartitions ledgers = new LedgerPartitions(
                1,
                new SharedObject.Ports(
                        new UnresponsiveStore(), new CallBudget(100, 100), new CallBudget(100, 100), random, 100));
        shares = new ShareSystem(
                new ShareSystem.Identity("vm", "vm-1", 0),
                new LedgerGateway(ledgers, new NoCombinerClient()),
                SharePolicy.DEFAULT,
                (budget, shareId, tokens) -> {},
                (holder, budget, settlement, accepted) -> accepted.accept(false),
                count -> List.of());
        relay = new RelaySystem(
                new RelaySystem.Ports(
                        new Transport(),
                        new HttpTargetProtocol(),
                        targets,
                        targetRules,
                        streams,
                        new TokenClient("vm-1", shares, new NoKeeperClient()),
                        () -> configuration,
                        () -> 1,
                        new QuarantineTable((fingerprints, target, ageMillis) -> {}, 3),
                        (target, uncachedTokens, sharedPartIds) -> {},
                        random,
                        () -> nowMillis,
                        EventLog.silent(),
                        new RelayMetrics(new SimpleMeterRegistry())),
                "a",
                new RetryBudget.Bound(0.2, 10_000, 10),
                new Placement(random),
                admissionControl);
        for (int i = 0; i < targetCount; i++) {
            targets.register(new TargetEntry("t" + i, "s", new Address("10.0.0." + i, 80), "a", 6, false, 1));
        }
    }

    static String event(int id) {
        return "id: " + id + "\ndata: " + id + "\n\n";
    }

    static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int i = from; i <= to; i++) {
            text.append(event(i));
        }
        return text.toString();
    }

    private static Route route(
            String name, RouteKind kind, int maxAttempts, boolean resumable, Set<String> allowedRegions) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                kind,
                2_000,
                200,
                1,
                List.of(new Route.Split("s", 1)),
                maxAttempts,
                false,
                kind == RouteKind.STREAM,
                resumable,
                400,
                allowedRegions);
    }

    private static DeploymentConfiguration configuration(OptionalLong prepaidTokens) {
        return configuration(prepaidTokens, Set.of(), Set.of());
    }

    private static DeploymentConfiguration configuration(
            OptionalLong prepaidTokens, Set<String> routeRegions, Set<String> workspaceRegions) {
        return new DeploymentConfiguration(
                4,
                List.of(
                        route("read", RouteKind.IDEMPOTENT, 2, false, routeRegions),
                        route("write", RouteKind.NON_IDEMPOTENT, 1, false, routeRegions),
                        route("stream", RouteKind.STREAM, 2, true, routeRegions),
                        route("once", RouteKind.STREAM, 1, false, routeRegions)),
                List.of(new ServiceSpec("s", 100, 3, 0, 0)),
                CallerLimits.DEFAULT,
                List.of(new Workspace("w", List.of(KEY), OptionalInt.empty(), prepaidTokens, workspaceRegions)));
    }

    void terminateTarget(String name) {
        relay.onTargetEnded(Objects.requireNonNull(targets.get(name), name));
        targets.deregister(name);
    }

    void setPrepaidBudget() {
        configuration = Optional.of(configuration(OptionalLong.of(1_000_000)));
    }

    /** Uses the regions for all routes and for the workspace of the callers. */
    void allowRegions(Set<String> routeRegions, Set<String> workspaceRegions) {
        configuration = Optional.of(configuration(OptionalLong.empty(), routeRegions, workspaceRegions));
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Adds a workspace of another priority than that of the routes. */
    void addWorkspace(String name, String callerKey, int priority) {
        DeploymentConfiguration current = configuration.orElseThrow();
        List<Workspace> workspaces = new ArrayList<>(current.workspaces());
        workspaces.add(
                new Workspace(name, List.of(callerKey), OptionalInt.of(priority), OptionalLong.empty(), Set.of()));
        configuration = Optional.of(new DeploymentConfiguration(
                current.version(), current.routes(), List.copyOf(current.services()), current.limits(), workspaces));
    }

    /** Lets time pass in which the event loop does nothing. */
    void stall(long millis) {
        nowMillis += millis;
    }

    void removeConfiguration() {
        configuration = Optional.empty();
    }

    private final class Transport implements HttpTransport {
        @Override
        public Call send(Request request, Listener listener) {
            SentRequest sentRequest = new SentRequest(request, listener);
            sent.add(sentRequest);
            return sentRequest;
        }

        @Override
        public void test(String host, int port, Consumer<ConnectionTest> reply) {
            reply.accept(refusingHosts.contains(host) ? ConnectionTest.REFUSED : ConnectionTest.ACCEPTED);
        }
    }

    /** Adds a target that registers at the present time. */
    void addTarget(String name) {
        addTarget(name, "a");
    }

    /** Adds a target in a failure domain that registers at the present time. */
    void addTarget(String name, String failureDomain) {
        targets.register(
                new TargetEntry(
                        name, "s", new Address("10.0.9." + targets.rows().size(), 80), failureDomain, 6, false, 1),
                nowMillis);
    }

    /** Adds targets of one software version. */
    void addTargets(String softwareVersion, String... names) {
        for (String name : names) {
            Address address = new Address("10.0.8." + targets.rows().size(), 80);
            targets.register(new TargetEntry(name, "s", address, "a", 6, false, 1, 0, softwareVersion), nowMillis);
        }
    }

    String softwareVersion(SentRequest request) {
        return Objects.requireNonNull(targets.get(request.target())).softwareVersion();
    }

    /** Takes up a stream that another request has begun, after the last event that its caller has received. */
    Caller takeUp(String streamId, long lastEventId) {
        return call(
                "stream",
                Optional.of(KEY),
                requestCount + 1,
                0,
                List.of("a", "b"),
                OptionalLong.of(lastEventId),
                Optional.of(streamId));
    }

    /** Ends the target of a request before the answer: the connection is lost, and the target refuses others. */
    void crashTarget(SentRequest request) {
        refusingHosts.add(request.request.host());
        request.loseConnection();
        targets.deregister(request.target());
    }

    SentRequest lastSent() {
        return sent.get(sent.size() - 1);
    }

    void advance(long millis) {
        for (long elapsed = 0; elapsed < millis; elapsed += 10) {
            nowMillis += 10;
            shares.tick(nowMillis);
            relay.tick();
        }
    }

    Caller call(String route) {
        return call(route, Optional.of(KEY));
    }

    Caller call(String route, Optional<String> key) {
        return call(route, key, requestCount + 1);
    }

    /** Calls a route with a request that may have waited for some time before it was read. */
    Caller callAfterWaiting(String route, long waitedMillis) {
        return call(route, Optional.of(KEY), requestCount + 1, waitedMillis);
    }

    /** Calls a route with a number as the body. A request with the same number is a repetition under another request id. */
    Caller call(String route, Optional<String> key, int bodyNumber) {
        return call(route, key, bodyNumber, 0);
    }

    /** Calls a route with a new request whose prompt has these parts. */
    Caller callWithParts(String route, String... parts) {
        return call(route, Optional.of(KEY), requestCount + 1, 0, List.of(parts));
    }

    private Caller call(String route, Optional<String> key, int bodyNumber, long waitedMillis) {
        return call(route, key, bodyNumber, waitedMillis, List.of("a", "b"));
    }

    private Caller call(String route, Optional<String> key, int bodyNumber, long waitedMillis, List<String> parts) {
        return call(route, key, bodyNumber, waitedMillis, parts, OptionalLong.empty(), Optional.empty());
    }

    private Caller call(
            String route,
            Optional<String> key,
            int bodyNumber,
            long waitedMillis,
            List<String> parts,
            OptionalLong lastEventId,
            Optional<String> resumedRequestId) {
        requestCount++;
        Caller caller = new Caller();
        Optional<Prompt> prompt = route.equals("stream") || route.equals("once")
                ? Optional.of(new Prompt(
                        1_000,
                        100,
                        parts.stream()
                                .map(part -> new Prompt.Part(part, 1_000 / parts.size()))
                                .toList()))
                : Optional.empty();
        relay.accept(
                new CallerRequest(
                        "r" + requestCount,
                        "POST",
                        "/" + route + "/x?y=1",
                        "h",
                        List.of(Map.entry("Host", "h")),
                        Integer.toString(bodyNumber).getBytes(UTF_8),
                        key,
                        OptionalLong.of(1_500),
                        prompt,
                        lastEventId,
                        resumedRequestId),
                caller,
                waitedMillis);
        return caller;
    }
}
