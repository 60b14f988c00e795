package org.radishspan.front;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerGateway;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.budget.ShareSystem;
import org.radishspan.budget.TokenClient;
import org.radishspan.budget.TokenKeeper;
import org.radishspan.deployment.ConfigurationInForce;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.deployment.TargetDirectory;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.deployment.VmSettings;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerCombiners;
import org.radishspan.peer.PeerLink;
import org.radishspan.peer.PeerSystem;
import org.radishspan.peer.ShareKeepers;
import org.radishspan.platform.ConfigurationCodec;
import org.radishspan.platform.RouterCodec;
import org.radishspan.platform.TargetCodec;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PromptSent;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.StoreNews;
import org.radishspan.proto.TargetLeaving;
import org.radishspan.proto.TargetRateLimit;
import org.radishspan.proto.TokensReserved;
import org.radishspan.proto.TokensSettled;
import org.radishspan.relay.RelayMetrics;
import org.radishspan.relay.RelaySystem;
import org.radishspan.relay.RetryBudget;
import org.radishspan.relay.TargetProtocol;
import org.radishspan.request.StrikeTable;
import org.radishspan.routing.RateSenders;
import org.radishspan.routing.TargetTable;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.CallBudget;
import org.radishspan.store.KindWatch;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.SharedObject;
import org.radishspan.store.VersionedObjects;

/** One router on the users' platform without its sockets: tables, and the systems that run over them each tick. */
public final class FrontRouter {

    /**
     * What the router needs from the world.
     *
     * @param store the platform's object API as versions of objects
     * @param kinds the platform's object API as kinds of objects
     * @param transport the way to targets
     * @param protocol how requests look there
     * @param peerLink the way to other routers
     * @param random for jitter and choices
     * @param clockMillis the steady clock of the VM, which never steps and goes on when a process ends
     * @param bootId the boot of the VM since which that clock runs; 0 if it is not known
     * @param log the structured log
     * @param meters where counters and histograms are registered
     */
    public record Ports(
            VersionedObjects store,
            ObjectKinds kinds,
            HttpTransport transport,
            TargetProtocol protocol,
            PeerLink peerLink,
            UniformRandomProvider random,
            LongSupplier clockMillis,
            long bootId,
            EventLog log,
            MeterRegistry meters) {}

    /** The shortest time between two writes of a router to one ledger; the fleet's write rate leaves room for it. */
    private static final long COMMIT_GAP_MILLIS = 100;

    /** A router that commits for others answers after a read, a write and a commit gap; a slow store takes 150 ms a call. */
    private static final long COMBINER_ANSWER_MILLIS = 900;

    /** Ledgers of a deployment with tens of workspaces fit into one object. */
    private static final int LEDGERS = 1;

    /** The part of the store's rates that ledgers may use; watches and lists take the rest. */
    private static final double LEDGER_RATE_FRACTION = 0.5;

    /** Calls that all routers together make for the changes of one kind, a quarter of the smaller deployments' rate of writes. */
    private static final long FLEET_WATCH_CALLS_PER_SECOND = 300;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** A watch on a silent connection has to fail, and the next one to answer, before the VM counts as undisturbed again. */
    private static final long SILENCE_NOTICED_MILLIS = 1_000;

    private static final long LEAST_WATCH_MILLIS = 1_000;

    /** Who the other routers are is seen from their heartbeats as well. */
    private static final long ROUTERS_WATCH_MILLIS = 10_000;

    /** A router that knows no others would keep every budget and write ledgers itself, as all that start at one moment. */
    private static final long ROUTERS_WAIT_MILLIS = 1_000;

    /** A router without shares says that it is ready after this time, as the ledger may be away for long. */
    private static final long SHARES_WAIT_MILLIS = 3_000;

    /** How often a router looks what follows from the other routers; who may be asked changes as slowly. */
    private static final long FLEET_MILLIS = 250;

    /** A request may crash three targets; later repeats of it reach none. */
    private static final int CRASHES_BEFORE_QUARANTINE = 3;

    private final Ports ports;
    private final VmSettings settings;
    private final RouterEntry self;
    private final long startMillis;
    private final ConfigurationInForce configuration;
    private final KindWatch<DeploymentConfiguration> configurationWatch;
    private final RateSenders rateSenders;
    private final TargetTable targets;
    private final TargetDirectory targetDirectory;
    private final KindWatch<TargetEntry> targetWatch;
    private final KindFeed feed;
    private final RouterDirectory routers;
    private final KindWatch<RouterEntry> routerWatch;
    private final SharedObject.Ports objectPorts;
    private final LedgerPartitions ledgers;
    private final PeerSystem peers;
    private final LedgerGateway gateway;
    private final ShareSystem shares;
    private final ShareKeepers keepers;
    private final TokenClient tokenClient;
    private final TokenKeeper tokenKeeper;
    private final StrikeTable strikes;
    private final TargetNotices notices;
    private final RelaySystem relay;
    private final LedgerReport ledgerReport;
    private final Map<String, Long> adoptedVersions = new HashMap<>();
    private final Set<String> silentRouters = new HashSet<>();
    private boolean earlierClosed;
    private long fleetSeenAtMillis;
    private long configuredAtMillis;
    private boolean storeFailing;
    private boolean draining;
    private boolean sharesReady;

    /** Creates the systems of a router process. */
    public FrontRouter(VmSettings settings, RouterEntry self, Ports ports) {
        this.ports = ports;
        this.settings = settings;
        this.self = self;
        this.startMillis = ports.clockMillis().getAsLong();
        long watchMillis = Math.max(LEAST_WATCH_MILLIS, settings.bounds().contactMillis() - SILENCE_NOTICED_MILLIS);
        this.configuration = new ConfigurationInForce(ConfigurationCodec.NAME, ports.log(), this::onConfiguration);
        this.configurationWatch =
                watch(ConfigurationCodec.KIND, ConfigurationCodec::decode, configuration, watchMillis);
        this.rateSenders = new RateSenders(self.vm(), () -> routerWatch().known());
        this.targets = new TargetTable(rateSenders);
        this.targetDirectory = new TargetDirectory(
                targets, this::targetStoreFailedWithin, ports.log(), target -> relay().onTargetEnded(target));
        this.targetWatch = watch(TargetCodec.KIND, TargetCodec::decode, targetDirectory, watchMillis);
        this.objectPorts = new SharedObject.Ports(
                ports.store(),
                new CallBudget(
                        settings.store().fleetReadsPerSecond(), settings.store().fleetReadsPerSecond()),
                new CallBudget(
                        settings.store().fleetWritesPerSecond(),
                        settings.store().fleetWritesPerSecond()),
                ports.random(),
                COMMIT_GAP_MILLIS,
                () -> feed().fleetBackoffMillis());
        this.ledgers = new LedgerPartitions(LEDGERS, objectPorts);
        this.ledgerReport = new LedgerReport(ledgers, ports.log());
        this.peers = new PeerSystem(
                new PeerSystem.Self(self.vm(), self.incarnation(), self.failureDomain()),
                ports.peerLink(),
                new PeerHandlers(),
                configuration::version,
                this::requestsInProgress);
        this.notices = new TargetNotices(targets, peers, ports.log());
        this.routers = new RouterDirectory(self, ports.kinds(), ports.log(), this::onRouters);
        this.routerWatch = watch(RouterCodec.KIND, RouterCodec::decode, routers, ROUTERS_WATCH_MILLIS);
        KindFeed.Pace feedPace = KindFeed.Pace.of(settings.bounds());
        this.feed = new KindFeed(peers, feedPace, ports.log());
        feed.add(configurationWatch, feedPace.trustMillis());
        feed.add(targetWatch, feedPace.trustMillis());
        feed.add(routerWatch, 3 * ROUTERS_WATCH_MILLIS);
        this.gateway = new LedgerGateway(ledgers, new PeerCombiners(peers), COMBINER_ANSWER_MILLIS);
        this.shares = new ShareSystem(
                new ShareSystem.Identity(self.vm(), self.incarnation(), ports.bootId()),
                gateway,
                ShareSettings.POLICY,
                this::announceShortage,
                (holder, budget, settlement, accepted) -> accepted.accept(false),
                count -> List.of());
        this.keepers = new ShareKeepers(peers, self.vm());
        shares.useTuning(ShareSettings.TUNING, keepers::count);
        this.tokenClient = new TokenClient(self.incarnation(), shares, keepers);
        this.tokenKeeper = new TokenKeeper(
                shares,
                (vm, answer) -> peers.sendTo(
                        vm, PeerMessage.newBuilder().setTokensReserved(answer).build()));
        this.strikes = new StrikeTable(peers::announceStrike, CRASHES_BEFORE_QUARANTINE);
        VmSettings.Bounds bounds = settings.bounds();
        this.relay = new RelaySystem(
                new RelaySystem.Ports(
                        ports.transport(),
                        ports.protocol(),
                        targets,
                        tokenClient,
                        configuration::current,
                        this::routerCount,
                        strikes,
                        notices,
                        ports.random(),
                        ports.clockMillis(),
                        ports.log(),
                        new RelayMetrics(ports.meters())),
                settings.failureDomain(),
                new RetryBudget.Bound(bounds.retryRatio(), bounds.retryWindowMillis(), bounds.retrySlack()));
    }

    private <T> KindWatch<T> watch(
            String kind, Function<JsonNode, Optional<T>> decoder, KindWatch.Listener<T> listener, long waitMillis) {
        boolean hintsOnly = waitMillis >= ROUTERS_WATCH_MILLIS;
        KindWatch.Pace pace = new KindWatch.Pace(
                () -> hintsOnly ? waitMillis : feed().waitMillis(waitMillis),
                this::watchPauseMillis,
                () -> feed().maxBackoffMillis());
        return new KindWatch<>(kind, ports.kinds(), decoder, listener, pace, ports.random(), ports.log());
    }

    private void onRouters(List<ListedVm> listed) {
        peers.replace(listed);
        rateSenders.replace(listed.stream().map(ListedVm::name).toList());
    }

    private KindWatch<RouterEntry> routerWatch() {
        return routerWatch;
    }

    private KindFeed feed() {
        return feed;
    }

    private long watchPauseMillis() {
        VmSettings.Bounds bounds = settings.bounds();
        long tenthOfBoundMillis = Math.min(bounds.drainMillis(), bounds.configApplyMillis()) / 10;
        return Math.max(tenthOfBoundMillis, routerCount() * MILLIS_PER_SECOND / FLEET_WATCH_CALLS_PER_SECOND);
    }

    private boolean targetStoreFailedWithin(long millis) {
        return targetWatch.failedWithin(millis);
    }

    private int routerCount() {
        return Math.max(1, routers.count());
    }

    private void announceShortage(String budget, String shareId, long tokensWanted) {
        peers.announceShortage(keepers.of(budget), budget, shareId, tokensWanted);
    }

    private boolean storeAway() {
        return targetWatch.unreached() || ledgers.all().stream().anyMatch(SharedObject::unanswered);
    }

    private int requestsInProgress() {
        return relay.inProgress();
    }

    private void onConfiguration(DeploymentConfiguration adopted) {
        if (configuredAtMillis == 0) {
            configuredAtMillis = ports.clockMillis().getAsLong();
        }
        adopted.services().forEach(service -> targets.setMaxConnections(service.name(), service.maxConnections()));
        if (!earlierClosed) {
            earlierClosed = true;
            gateway.closeEarlier(
                    new Ledger.ProcessStart(self.vm(), self.incarnation(), ports.bootId(), startMillis),
                    this::onEarlierClosed);
        }
        if (routersKnown()) {
            keepBudgets(adopted);
        }
    }

    private boolean routersKnown() {
        return routerWatch.known() || ports.clockMillis().getAsLong() - startMillis >= ROUTERS_WAIT_MILLIS;
    }

    /** Holds shares of the budgets that this router keeps, and sees to it that the ledger knows their limits. */
    private void keepBudgets(DeploymentConfiguration inForce) {
        for (Workspace workspace : inForce.workspaces()) {
            String budget = workspace.name();
            if (workspace.prepaidTokens().isEmpty()) {
                continue;
            }
            if (keepers.keptHere(budget)) {
                shares.prepare(budget);
                adoptLimit(budget, workspace.prepaidTokens().getAsLong(), inForce.version());
            } else {
                shares.release(budget);
            }
        }
    }

    private void onEarlierClosed(Optional<Failure> failure) {
        ports.log()
                .belief("earlier_shares_closed")
                .with("vm", self.vm())
                .with("done", failure.isEmpty())
                .with("reason", failure.map(Failure::message).orElse(""))
                .write();
    }

    private void adoptLimit(String budget, long limitTokens, long version) {
        if (Long.valueOf(version).equals(adoptedVersions.put(budget, version))) {
            return;
        }
        gateway.adoptLimit(
                budget,
                limitTokens,
                version,
                failure -> failure.ifPresent(refusal -> {
                    adoptedVersions.remove(budget);
                    ports.log()
                            .belief("limit_refused")
                            .with("budget", budget)
                            .with("version", version)
                            .with("reason", refusal.message())
                            .write();
                }));
    }

    /** Returns the relay of requests. */
    public RelaySystem relay() {
        return relay;
    }

    /** Returns the configuration. */
    public ConfigurationInForce configuration() {
        return configuration;
    }

    /** Returns the targets. */
    public TargetTable targets() {
        return targets;
    }

    /** Returns the shares. */
    public ShareSystem shares() {
        return shares;
    }

    /** Returns the other routers. */
    public PeerSystem peers() {
        return peers;
    }

    /** Notes that a connection to another router is lost; what it was to commit is committed here. */
    public void onPeerConnectionLost(String vm) {
        peers.table().onUnanswered(vm);
        gateway.onConnectionLost(vm);
        tokenClient.onConnectionLost(vm);
    }

    /** Returns the ledgers. */
    public LedgerPartitions ledgers() {
        return ledgers;
    }

    /** Returns whether the router takes requests: it knows configuration, targets and its first shares. */
    public boolean ready() {
        return !draining
                && configuration.current().isPresent()
                && targetWatch.known()
                && routersKnown()
                && sharesReady();
    }

    private boolean sharesReady() {
        boolean all = shares.table().rows().stream().allMatch(share -> share.accountSeen());
        boolean waitedLong = ports.clockMillis().getAsLong() - configuredAtMillis >= SHARES_WAIT_MILLIS;
        sharesReady = sharesReady || all || waitedLong;
        return sharesReady;
    }

    /** Says that the router is no longer ready, and takes it out of the list of routers. */
    public void drain() {
        draining = true;
        peers.drain();
        keepers.drain();
        tokenKeeper.drain();
        routers.withdraw();
    }

    /** Returns whether a drained router holds nothing any more. */
    public boolean stopped() {
        return draining
                && relay.inProgress() == 0
                && tokenClient.idle()
                && shares.retired()
                && gateway.idle()
                && ledgers.all().stream().allMatch(SharedObject::idle);
    }

    /** Returns whether something waits here for a time that is short, in contrast to heartbeats and deadlines. */
    public boolean busy() {
        return !gateway.idle() || !tokenClient.idle() || ledgers.all().stream().anyMatch(ledger -> !ledger.idle());
    }

    /** Runs every system. */
    public void tick() {
        long nowMillis = ports.clockMillis().getAsLong();
        feed.tick(nowMillis);
        configurationWatch.tick(nowMillis);
        targetWatch.tick(nowMillis);
        noticeStoreBack();
        targetDirectory.tick();
        routerWatch.tick(nowMillis);
        routers.tick(nowMillis);
        peers.noteStoreAway(storeAway());
        peers.tick(nowMillis);
        keepers.tick(nowMillis);
        tokenClient.tick(nowMillis);
        tokenKeeper.tick(nowMillis);
        relay.tick();
        if (draining) {
            shares.retire();
        }
        if (nowMillis >= fleetSeenAtMillis && routersKnown()) {
            fleetSeenAtMillis = nowMillis + FLEET_MILLIS;
            notices.tick(nowMillis);
            divideRates();
            if (!draining) {
                configuration.current().ifPresent(this::keepBudgets);
            }
        }
        shares.tick(nowMillis);
        if (routersKnown()) {
            gateway.tick(nowMillis);
        }
        ledgers.tick(nowMillis);
        ledgerReport.tick(nowMillis);
    }

    /** Another router may have told that the store answers again. */
    private void noticeStoreBack() {
        boolean failing = targetWatch.failedWithin(0);
        if (storeFailing && !failing) {
            ledgers.all().forEach(SharedObject::onStoreBack);
        }
        storeFailing = failing;
    }

    private void divideRates() {
        // Half of the rate is every router's alike, the other half goes to those that commit for others.
        double combined = (double) peers.table().combinedPartitions(LEDGERS) / LEDGERS;
        double part = LEDGER_RATE_FRACTION / 2 * (1.0 / routerCount() + combined);
        objectPorts.reads().setRate(settings.store().fleetReadsPerSecond() * part);
        objectPorts.writes().setRate(settings.store().fleetWritesPerSecond() * part);
    }

    /** What peers ask of this router. */
    private final class PeerHandlers implements PeerSystem.Handlers {
        @Override
        public boolean keepBill(String budget, Ledger.Settlement settlement) {
            // Answers do not wait for their bills here, so nobody hands bills over.
            return false;
        }

        @Override
        public void onShortage(String budget, long tokens) {
            shares.onShortage(budget, tokens);
        }

        @Override
        public void onLedgerCall(String vm, LedgerCall call) {
            gateway.onCall(vm, call);
        }

        @Override
        public void onLedgerAnswer(LedgerAnswer answer) {
            gateway.onAnswer(answer);
        }

        @Override
        public void onLedgerNotice(int partition) {
            // Only holders of bills look at ledgers when they are told.
        }

        @Override
        public void onStrike(String fingerprint, String target) {
            strikes.onNotice(fingerprint, target, ports.clockMillis().getAsLong());
        }

        @Override
        public void onPromptSent(PromptSent prompt) {
            notices.onPromptSent(prompt, ports.clockMillis().getAsLong());
        }

        @Override
        public void onStoreNews(String vm, StoreNews news) {
            feed.onNews(vm, news);
        }

        @Override
        public void onTargetLeaving(TargetLeaving leaving) {
            notices.onLeaving(leaving);
        }

        @Override
        public void onTargetRateLimit(String vm, TargetRateLimit limit) {
            notices.onRateLimit(vm, limit, ports.clockMillis().getAsLong());
        }

        @Override
        public void onReserveTokens(String vm, ReserveTokens call) {
            tokenKeeper.onReserve(vm, call);
        }

        @Override
        public void onTokensReserved(TokensReserved answer) {
            tokenClient.onReserved(answer);
        }

        @Override
        public void onSettleTokens(String vm, SettleTokens settled) {
            tokenKeeper.onSettle(settled);
            TokensSettled.Builder answer = TokensSettled.newBuilder().setCallId(settled.getCallId());
            peers.sendTo(vm, PeerMessage.newBuilder().setTokensSettled(answer).build());
        }

        @Override
        public void onTokensSettled(TokensSettled answer) {
            tokenClient.onSettled(answer.getCallId());
        }

        @Override
        public void onRevision(long revision) {
            if (revision > configuration.version()) {
                configurationWatch.relist();
            }
        }

        @Override
        public void onSilenceChanged(String vm, boolean silent, long quietMillis) {
            boolean known = silent ? silentRouters.add(vm) : !silentRouters.remove(vm);
            if (!silent && known) {
                // Every router is heard for a first time.
                return;
            }
            ports.log()
                    .belief(silent ? "router_silent" : "router_heard")
                    .with("vm", vm)
                    .with("quiet_ms", quietMillis)
                    .write();
        }

        @Override
        public void onProcessGone(String incarnation) {
            tokenKeeper.onProcessGone(incarnation);
            ports.log().belief("router_gone").with("incarnation", incarnation).write();
        }

        @Override
        public void onProcessAlive(String incarnation) {
            // The table of peers has noted it.
        }
    }
}
