package org.radishspan.router;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.config.CallerKey;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorResponse;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.NotifyingTransport;
import org.radishspan.membership.LiveList;
import org.radishspan.peer.Peer;
import org.radishspan.peer.PeerTransport;
import org.radishspan.proto.PeerMessage;
import org.radishspan.request.CallReader;
import org.radishspan.request.StatusLookup;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.HttpPlatformStore;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Runs a router with its sockets and clock on one event loop.
 *
 * <pre>{@code
 * RouterProcess process = RouterProcess.start(settings);
 * Runtime.getRuntime().addShutdownHook(new Thread(() -> process.stop().join()));
 * }</pre>
 */
public final class RouterProcess {
    /** Exit code of a process that stopped with all requests and bills completed. */
    public static final int EXIT_CLEAN = 0;
    /** Exit code of a process that stopped with requests or bills still unfinished. */
    public static final int EXIT_DRAIN_INCOMPLETE = 5;
    /** Exit code of a process that was closed by another router and must be restarted. */
    public static final int EXIT_FENCED = 6;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 5;
    private static final int SECRET_BYTES = 16;
    private static final int INCARNATION_BYTES = 6;
    private static final int OPERATOR_BODY_BYTES = 1_048_576;

    private final RouterSettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final long clockOffsetMillis;
    private final HttpClient client = new HttpClient(group);
    private final Router router;
    private final RouterMetrics metrics;
    private final HttpServer callerServer;
    private final HttpServer operatorServer;
    private final PeerTransport peerTransport;
    private final CompletableFuture<Integer> ended = new CompletableFuture<>();
    private boolean tickQueued;
    private long drainUntilMillis;

    private RouterProcess(RouterSettings settings) {
        this.settings = settings;
        this.clockOffsetMillis = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        String incarnation = settings.vm() + "-" + CallerKey.random(INCARNATION_BYTES);
        RouterSettings.Platform platform = settings.platform();
        HttpTransport notifyingTransport = new NotifyingTransport(client, this::wake);
        HttpPlatformStore store = new HttpPlatformStore(
                notifyingTransport, platform.host(), platform.port(), platform.timeoutMillis(), platform.watchMillis());
        this.router = new Router(
                settings,
                incarnation,
                new Router.Ports(store, notifyingTransport, this::sendToPeer, RandomSource.XO_SHI_RO_256_PP.create()));
        this.metrics = new RouterMetrics(router);
        RouterSettings.Caller caller = settings.caller();
        this.callerServer =
                HttpServer.start(group, caller.host(), caller.port(), caller.maxBodyBytes(), this::onCallerCall);
        OperatorApi api = new OperatorApi(router, () -> CallerKey.random(SECRET_BYTES));
        RouterSettings.Operator operator = settings.operator();
        this.operatorServer = HttpServer.start(
                group, operator.host(), operator.port(), OPERATOR_BODY_BYTES, call -> onOperatorCall(api, call));
        RouterSettings.PeerPort peer = settings.peer();
        this.peerTransport =
                new PeerTransport(group, peer.host(), peer.port(), peer.secret(), this::hello, (vm, message) -> {
                    router.onPeerMessage(vm, message);
                    wake();
                });
    }

    /** Binds the ports, starts the periodic ticks and if configured registers the router with the platform. */
    public static RouterProcess start(RouterSettings settings) {
        RouterProcess process = new RouterProcess(settings);
        process.loop.scheduleAtFixedRate(process::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        if (settings.platform().registerVm()) {
            process.loop.execute(process::registerVm);
        }
        LOGGER.atInfo().log(
                "router %s listening: caller port %d, operator port %d, peer port %d",
                settings.vm(), process.callerPort(), process.operatorPort(), process.peerPort());
        return process;
    }

    private void sendToPeer(Peer peer, PeerMessage message) {
        peerTransport.send(peer, message);
    }

    private PeerMessage hello() {
        return router.peers().hello(PeerTransport.proof(settings.peer().secret(), settings.vm(), router.incarnation()));
    }

    /** Returns the port that callers connect to. */
    public int callerPort() {
        return callerServer.port();
    }

    /** Returns the port that operators connect to. */
    public int operatorPort() {
        return operatorServer.port();
    }

    /** Returns the port that other routers connect to. */
    public int peerPort() {
        return peerTransport.port();
    }

    /** Returns a future that completes with the exit code when the process has ended. */
    public CompletableFuture<Integer> ended() {
        return ended;
    }

    /**
     * Starts a planned stop: finishes the requests in progress, returns the shares and posts the bills, for at most the
     * configured drain time. Returns a future that completes with the exit code.
     */
    public CompletableFuture<Integer> stop() {
        loop.execute(this::drain);
        return ended;
    }

    /** Ends the process immediately, without a drain, to simulate a crash in tests. */
    public void kill() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void drain() {
        if (drainUntilMillis != 0) {
            return;
        }
        LOGGER.atInfo().log("router %s: drain started", settings.vm());
        drainUntilMillis = nowMillis() + settings.requests().drainMillis();
        router.drain();
        if (settings.platform().registerVm()) {
            unregisterVm();
        }
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMillis;
    }

    /** Queues one tick unless one is already queued, so that several events are handled by the same tick. */
    private void wake() {
        if (!tickQueued) {
            tickQueued = true;
            loop.execute(this::tick);
        }
    }

    private void tick() {
        tickQueued = false;
        try {
            router.tick(nowMillis());
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("tick failed with an unexpected exception");
        }
        if (router.fenced()) {
            drain();
        }
        if (drainUntilMillis != 0 && (router.stopped() || nowMillis() >= drainUntilMillis)) {
            end();
        }
    }

    private void end() {
        if (ended.isDone()) {
            return;
        }
        int code = router.stopped() ? EXIT_CLEAN : EXIT_DRAIN_INCOMPLETE;
        if (router.fenced()) {
            code = EXIT_FENCED;
        }
        LOGGER.atInfo().log(
                "router %s stopped: %d requests and %d held shares unfinished",
                settings.vm(),
                router.requests().inProgress(),
                router.heldBills().heldShares());
        ended.complete(code);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void onCallerCall(HttpCall call) {
        switch (call.path()) {
            case "/ready" -> call.respond(router.ready() ? 200 : 503, "text/plain", router.ready() ? "ready" : "not");
            case "/live" -> call.respond(200, "text/plain", "live");
            default -> acceptCall(call);
        }
        wake();
    }

    private void acceptCall(HttpCall call) {
        if (call.method().equals("GET") && call.path().startsWith(StatusLookup.PATH)) {
            String idempotencyKey = call.path().substring(StatusLookup.PATH.length());
            router.findStatus(call.bearerToken(), idempotencyKey, new HttpCallerResponse(call));
            return;
        }
        if (!call.method().equals("POST")) {
            ErrorResponse.send(
                    call,
                    Failure.notRun(
                            ErrorKind.NOT_FOUND, "unknown method and path: " + call.method() + " " + call.path()));
            return;
        }
        CallReader.IncomingCall incoming = new CallReader.IncomingCall(
                call.path(),
                call.body(),
                call.header("idempotency-key").orElse(null),
                call.header("x-request-class").orElse(null));
        router.accept(call.bearerToken(), incoming, new HttpCallerResponse(call));
    }

    private void onOperatorCall(OperatorApi api, HttpCall call) {
        if (call.path().equals("/metrics")) {
            call.respond(200, "text/plain; version=0.0.4", metrics.scrape());
            return;
        }
        api.handle(call);
        wake();
    }

    /** Registers the router in the VM list of the stand-in platform; a real platform maintains its list itself. */
    private void registerVm() {
        ListedVm self = new ListedVm(
                settings.vm(), "router", settings.peer().host(), peerPort(), settings.failureDomain(), false, Set.of());
        updateVmList("PUT", LiveList.toJson(self).toString().getBytes(UTF_8));
    }

    /** Removes the router from the VM list of the stand-in platform. */
    private void unregisterVm() {
        updateVmList("DELETE", new byte[0]);
    }

    private void updateVmList(String method, byte[] body) {
        RouterSettings.Platform platform = settings.platform();
        client.send(
                new HttpTransport.Request(
                        platform.host(),
                        platform.port(),
                        method,
                        "/vms/" + settings.vm(),
                        Map.of(),
                        body,
                        platform.timeoutMillis()),
                new IgnoringListener());
    }

    /** Ignores the response and logs a failure to receive one. */
    private static final class IgnoringListener implements HttpTransport.Listener {
        @Override
        public void onHead(int status, HttpTransport.Headers headers) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(String message, boolean sent) {
            LOGGER.atWarning().log("updating the platform's VM list failed: %s", message);
        }
    }
}
