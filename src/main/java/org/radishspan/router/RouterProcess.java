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
import org.radishspan.http.ErrorAnswer;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.WakingTransport;
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
 * A router with its sockets and its clock.
 *
 * <pre>{@code
 * RouterProcess process = RouterProcess.start(settings);
 * Runtime.getRuntime().addShutdownHook(new Thread(() -> process.stop().join()));
 * }</pre>
 */
public final class RouterProcess {
    /** The process stopped with nothing left over. */
    public static final int EXIT_CLEAN = 0;
    /** The process stopped, but requests or bills were left over. */
    public static final int EXIT_LEFT_OVER = 5;
    /** The process was closed by another router and must be started again. */
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
        HttpTransport waking = new WakingTransport(client, this::wake);
        HttpPlatformStore store = new HttpPlatformStore(
                waking, platform.host(), platform.port(), platform.timeoutMillis(), platform.watchMillis());
        this.router = new Router(
                settings,
                incarnation,
                new Router.Ports(store, waking, this::sendToPeer, RandomSource.XO_SHI_RO_256_PP.create()));
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

    /** Binds the ports and starts to tick. */
    public static RouterProcess start(RouterSettings settings) {
        RouterProcess process = new RouterProcess(settings);
        process.loop.scheduleAtFixedRate(process::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        if (settings.platform().announce()) {
            process.loop.execute(process::announce);
        }
        LOGGER.atInfo().log(
                "router %s listens for callers on %d, operators on %d, peers on %d",
                settings.vm(), process.callerPort(), process.operatorPort(), process.peerPort());
        return process;
    }

    private void sendToPeer(Peer peer, PeerMessage message) {
        peerTransport.send(peer, message);
    }

    private PeerMessage hello() {
        return router.peers().hello(PeerTransport.proof(settings.peer().secret(), settings.vm(), router.incarnation()));
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return callerServer.port();
    }

    /** Returns the port for operators. */
    public int operatorPort() {
        return operatorServer.port();
    }

    /** Returns the port for peers. */
    public int peerPort() {
        return peerTransport.port();
    }

    /** Completes with the exit code when the process has ended. */
    public CompletableFuture<Integer> ended() {
        return ended;
    }

    /** Drains: finishes what runs, gives shares back, posts bills; completes with the exit code. */
    public CompletableFuture<Integer> stop() {
        loop.execute(this::drain);
        return ended;
    }

    /** Ends at once, as a crash would; for tests. */
    public void kill() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void drain() {
        if (drainUntilMillis != 0) {
            return;
        }
        LOGGER.atInfo().log("router %s drains", settings.vm());
        drainUntilMillis = nowMillis() + settings.requests().drainMillis();
        router.drain();
        if (settings.platform().announce()) {
            withdraw();
        }
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + clockOffsetMillis;
    }

    /** Queues one tick; many events before it runs share it. */
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
            LOGGER.atSevere().withCause(e).log("a tick failed");
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
        int code = router.stopped() ? EXIT_CLEAN : EXIT_LEFT_OVER;
        if (router.fenced()) {
            code = EXIT_FENCED;
        }
        LOGGER.atInfo().log(
                "router %s stops with %d requests and %d held shares left over",
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
            router.findStatus(call.bearerToken(), idempotencyKey, new HttpReply(call));
            return;
        }
        if (!call.method().equals("POST")) {
            ErrorAnswer.send(
                    call, Failure.notRun(ErrorKind.NOT_FOUND, "no such call: " + call.method() + " " + call.path()));
            return;
        }
        CallReader.Incoming incoming = new CallReader.Incoming(
                call.path(),
                call.body(),
                call.header("idempotency-key").orElse(null),
                call.header("x-request-class").orElse(null));
        router.accept(call.bearerToken(), incoming, new HttpReply(call));
    }

    private void onOperatorCall(OperatorApi api, HttpCall call) {
        if (call.path().equals("/metrics")) {
            call.respond(200, "text/plain; version=0.0.4", metrics.scrape());
            return;
        }
        api.handle(call);
        wake();
    }

    /** Puts the router into the stand-in platform's list of VMs; a real platform knows its VMs itself. */
    private void announce() {
        ListedVm self = new ListedVm(
                settings.vm(), "router", settings.peer().host(), peerPort(), settings.failureDomain(), false, Set.of());
        sendToPlatform("PUT", LiveList.toJson(self).toString().getBytes(UTF_8));
    }

    private void withdraw() {
        sendToPlatform("DELETE", new byte[0]);
    }

    private void sendToPlatform(String method, byte[] body) {
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

    private static final class IgnoringListener implements HttpTransport.Listener {
        @Override
        public void onHead(int status, HttpTransport.Headers headers) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(String message, boolean sent) {
            LOGGER.atWarning().log("the platform did not take the announcement: %s", message);
        }
    }
}
