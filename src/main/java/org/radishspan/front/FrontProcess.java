package org.radishspan.front;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.radishspan.config.CallerKey;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.CallerLimits;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.deployment.VmSettings;
import org.radishspan.http.HttpCall;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpServer;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.NotifyingTransport;
import org.radishspan.log.EventLog;
import org.radishspan.peer.Peer;
import org.radishspan.peer.PeerLink;
import org.radishspan.peer.PeerTransport;
import org.radishspan.platform.CallerCodec;
import org.radishspan.platform.HttpCallerExchange;
import org.radishspan.platform.HttpTargetProtocol;
import org.radishspan.platform.ObjectApi;
import org.radishspan.platform.VmSettingsReader;
import org.radishspan.proto.PeerMessage;
import org.radishspan.settings.SettingFault;
import org.radishspan.store.StoreEra;

/** The process of a router on the users' platform: binds the ports, runs the router on one event loop and drains it on stop. */
public final class FrontProcess {
    /** Exit code of a stop that left no requests, shares or ledger changes unfinished. */
    public static final int EXIT_CLEAN = 0;
    /** Exit code of a stop that left requests, shares or ledger changes unfinished when the grace time ended. */
    public static final int EXIT_DRAIN_INCOMPLETE = 5;

    /** Tick interval while ledger changes or token requests are pending. Commits of a ledger are 100 ms apart. */
    private static final long BUSY_TICK_MILLIS = 25;

    /** Minimum time between two ticks. The systems mostly wait for writes to ledgers, which take about as long. */
    private static final long TICK_GAP_MILLIS = 20;

    /** Tick interval while requests are in progress. Deadlines and silent targets are detected with this precision. */
    private static final long REQUEST_TICK_MILLIS = 50;

    /** Tick interval of an idle router. Heartbeats are half a second apart or more. */
    private static final long IDLE_TICK_MILLIS = 100;

    /**
     * Time until the platform has reacted to a failing readiness check. It checks every second and sends no new connections
     * after two failures.
     */
    private static final long READINESS_REACTION_MILLIS = 2_600;

    /** Part of the stop's grace time that is reserved for the last ledger writes and the exit of the process. */
    private static final long STOP_RESERVE_MILLIS = 500;

    /** Interval between checks of the settings file, which may change without a signal. */
    private static final long SETTINGS_CHECK_MILLIS = 2_000;

    /**
     * The shared secret that routers prove to each other. It is fixed because the platform provides no secret and its network
     * lets only the deployment's own VMs reach these ports. The proof rejects connections that use other protocols.
     */
    private static final String PEER_SECRET = "radishspan";

    private static final int INCARNATION_BYTES = 6;
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    private static final int SMALL_BODY_BYTES = 1_024;

    private final Path settingsFile;
    private final VmSettings settings;
    private final String incarnation;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final EventLog log;
    private final PrometheusMeterRegistry meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final FrontRouter router;
    private final PeerTransport peerTransport;
    private final HttpServer callerServer;
    private final CompletableFuture<Integer> ended = new CompletableFuture<>();
    private byte[] settingsText;
    private long lastTickAtMillis;
    private @Nullable ScheduledFuture<?> nextTick;
    private long nextTickAtMillis;
    private final StallWatch stallWatch = new StallWatch(IDLE_TICK_MILLIS, nowMillis());
    private boolean wasReady;
    private long drainStartedMillis = -1;

    private FrontProcess(Path settingsFile, byte[] settingsText, VmSettings settings, @Nullable Address metrics) {
        this.settingsFile = settingsFile;
        this.settingsText = settingsText;
        this.settings = settings;
        this.log = EventLog.start(new FileOutputStream(FileDescriptor.out), System::currentTimeMillis);
        this.incarnation = settings.vm() + "-" + CallerKey.random(INCARNATION_BYTES);
        VmBoot boot = VmBoot.read(VmBoot.KERNEL_FILE);
        HttpTransport transport = new NotifyingTransport(new HttpClient(group), this::tickSoon);
        StoreEra storeEra = new StoreEra(log);
        ObjectApi store = new ObjectApi(transport, settings.store().address(), storeEra);
        RouterEntry self = new RouterEntry(
                settings.vm(),
                incarnation,
                new Address(settings.ip(), settings.peerPorts().get(0)),
                settings.failureDomain());
        this.router = new FrontRouter(
                settings,
                self,
                new FrontRouter.Ports(
                        store,
                        store,
                        storeEra,
                        transport,
                        new HttpTargetProtocol(),
                        new DeferredPeerLink(),
                        RandomSource.XO_SHI_RO_256_PP.create(),
                        FrontProcess::nowMillis,
                        System::currentTimeMillis,
                        boot.id(),
                        log,
                        meters));
        this.peerTransport = new PeerTransport(
                group, settings.ip(), self.peerAddress().port(), PEER_SECRET, this::hello, this::onPeerMessage);
        Gauge.builder("radishspan.peer.messages.dropped", peerTransport, PeerTransport::messagesDropped)
                .register(meters);
        peerTransport.onConnectionLost(vm -> {
            router.onPeerConnectionLost(vm);
            tickSoon();
        });
        log.process("start")
                .with("vm", settings.vm())
                .with("incarnation", incarnation)
                .with("failure_domain", settings.failureDomain())
                .with("boot_id", Long.toHexString(boot.id()))
                .with("boot_id_unknown_because", boot.unknownReason())
                .with("steady_ms", nowMillis())
                .with("callers", settings.callerAddress().toString())
                .with("store", settings.store().address().toString())
                .write();
        logReplaced(settings);
        this.callerServer = HttpServer.start(
                group,
                settings.callerAddress().host(),
                settings.callerAddress().port(),
                this::limits,
                this::onCallerCall);
        serve(settings.readinessAddress(), this::onReadinessCall);
        if (metrics != null) {
            serve(metrics, call -> call.respond(OK, "text/plain; version=0.0.4", meters.scrape()));
        }
    }

    /**
     * Starts the process: binds the ports, runs the first tick and checks the settings file periodically.
     *
     * @param settingsFile the file that the settings were read from
     * @param settingsText the content of that file
     * @param settings the validated settings
     * @param metricsPort the port on which metrics are served; 0 to serve none
     */
    public static FrontProcess start(Path settingsFile, byte[] settingsText, VmSettings settings, int metricsPort) {
        Address metrics = metricsPort == 0 ? null : new Address(settings.ip(), metricsPort);
        FrontProcess process = new FrontProcess(settingsFile, settingsText, settings, metrics);
        process.nextTickAtMillis = nowMillis();
        process.loop.execute(process::tick);
        process.loop.scheduleAtFixedRate(
                process::checkSettings, SETTINGS_CHECK_MILLIS, SETTINGS_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return process;
    }

    private void serve(Address address, HttpServer.Handler handler) {
        HttpServer.start(group, address.host(), address.port(), SMALL_BODY_BYTES, handler);
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Forwards messages to the peer transport, which can only be created after the router because it needs the router. */
    private final class DeferredPeerLink implements PeerLink {
        @Override
        public void send(Peer peer, PeerMessage message) {
            peerTransport.send(peer, message);
        }

        @Override
        public void reset(Peer peer) {
            peerTransport.reset(peer);
        }
    }

    private PeerMessage hello() {
        return router.peers().hello(PeerTransport.proof(PEER_SECRET, settings.vm(), incarnation));
    }

    private void onPeerMessage(String vm, PeerMessage message) {
        router.peers().onMessage(vm, message);
        tickSoon();
    }

    private HttpServer.Limits limits() {
        CallerLimits limits = router.configuration()
                .current()
                .map(DeploymentConfiguration::limits)
                .orElse(CallerLimits.DEFAULT);
        return new HttpServer.Limits(
                limits.maxHeaderBytes(),
                limits.maxBodyBytes(),
                limits.headerTimeoutMillis(),
                limits.idleTimeoutMillis());
    }

    private void onCallerCall(HttpCall call) {
        router.relay()
                .accept(CallerCodec.request(call), new HttpCallerExchange(call), stallWatch.waitedMillis(nowMillis()));
        tickSoon();
    }

    private void onReadinessCall(HttpCall call) {
        boolean known = call.path().equals(CallerCodec.READINESS_PATH);
        boolean ready = known && router.ready();
        call.respond(ready ? OK : UNAVAILABLE, "text/plain", ready ? "ready" : "not ready");
    }

    /** Returns a future that completes with the exit code when the process has ended. */
    public CompletableFuture<Integer> ended() {
        return ended;
    }

    /** Starts to drain: requests in progress are finished and shares given back. The future completes with the exit code. */
    public CompletableFuture<Integer> stop() {
        loop.execute(this::drain);
        return ended;
    }

    /**
     * Checks the settings file for changes. Changed settings are validated and logged, but the running process keeps the
     * settings that it was started with.
     */
    public void reload() {
        loop.execute(this::checkSettings);
    }

    private void checkSettings() {
        byte[] text;
        try {
            text = Files.readAllBytes(settingsFile);
        } catch (IOException e) {
            log.process("reload_failed")
                    .with("reason", String.valueOf(e.getMessage()))
                    .write();
            return;
        }
        if (Arrays.equals(text, settingsText)) {
            return;
        }
        settingsText = text;
        Either<List<SettingFault>, VmSettings> read = VmSettingsReader.read(text);
        if (read.isLeft()) {
            log.process("reload_failed")
                    .with("reason", read.getLeft().toString())
                    .write();
            return;
        }
        logReplaced(read.get());
        log.process("reload").with("settings", settingsFile.toString()).write();
    }

    private void logReplaced(VmSettings read) {
        for (String replacement : read.replacements()) {
            log.process("setting_replaced").with("reason", replacement).write();
        }
    }

    private void drain() {
        if (drainStartedMillis >= 0) {
            return;
        }
        drainStartedMillis = nowMillis();
        log.process("stop_requested")
                .with("in_progress", router.relay().inProgress())
                .with("connections", callerServer.connections())
                .write();
        callerServer.closeAfterAnswers();
        router.relay().endBy(endsAtMillis());
        router.drain();
    }

    /** Returns when a stop ends at the latest, with or without requests in progress. */
    private long endsAtMillis() {
        return drainStartedMillis + settings.bounds().stopGraceMillis() - STOP_RESERVE_MILLIS;
    }

    /** Schedules a tick as soon as the minimum gap allows. Events before that tick share it. */
    private void tickSoon() {
        tickWithin(Math.max(0, lastTickAtMillis + TICK_GAP_MILLIS - nowMillis()));
    }

    private void tick() {
        lastTickAtMillis = nowMillis();
        stallWatch.onTick(nextTickAtMillis, lastTickAtMillis);
        router.relay().onLoopDelay(stallWatch.standingDelayMillis());
        runSystems();
        scheduleTick();
    }

    private void scheduleTick() {
        long delayMillis = IDLE_TICK_MILLIS;
        if (router.busy() || drainStartedMillis >= 0) {
            delayMillis = BUSY_TICK_MILLIS;
        } else if (router.relay().inProgress() > 0) {
            delayMillis = REQUEST_TICK_MILLIS;
        }
        tickWithin(delayMillis);
    }

    private void tickWithin(long delayMillis) {
        long atMillis = nowMillis() + delayMillis;
        if (nextTick != null && nextTickAtMillis <= atMillis) {
            return;
        }
        if (nextTick != null) {
            nextTick.cancel(false);
        }
        nextTickAtMillis = atMillis;
        nextTick = loop.schedule(this::onTimer, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void onTimer() {
        nextTick = null;
        tick();
    }

    private void runSystems() {
        try {
            router.tick();
        } catch (RuntimeException e) {
            log.process("tick_failed").with("reason", stackTrace(e)).write();
        }
        logReadinessChange();
        if (drainStartedMillis >= 0) {
            continueDrain(nowMillis() - drainStartedMillis);
        }
    }

    private static String stackTrace(Throwable thrown) {
        StringBuilder text = new StringBuilder(thrown.toString());
        for (StackTraceElement element : thrown.getStackTrace()) {
            text.append(" at ").append(element);
        }
        return text.toString();
    }

    private void logReadinessChange() {
        boolean ready = router.ready();
        if (ready != wasReady) {
            wasReady = ready;
            log.process(ready ? "ready" : "not_ready")
                    .with("configuration", router.configuration().version())
                    .with("targets", router.targets().rows().size())
                    .write();
        }
    }

    private void continueDrain(long elapsedMillis) {
        if (elapsedMillis >= READINESS_REACTION_MILLIS) {
            router.relay().refuseNew();
            callerServer.closeIdle();
        }
        boolean done = callerServer.connections() == 0 && router.stopped();
        boolean graceEnding = nowMillis() >= endsAtMillis();
        if ((elapsedMillis >= READINESS_REACTION_MILLIS && done) || graceEnding) {
            end();
        }
    }

    private void end() {
        if (ended.isDone()) {
            return;
        }
        router.relay().refuseWaiting();
        boolean clean = router.stopped();
        int inProgress = router.relay().inProgress();
        router.relay().endAll();
        log.process("stop")
                .with("in_progress", inProgress)
                .with("shares_left", router.shares().table().rows().size())
                .write();
        log.close();
        ended.complete(clean ? EXIT_CLEAN : EXIT_DRAIN_INCOMPLETE);
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
