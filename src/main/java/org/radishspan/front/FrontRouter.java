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
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerGateway;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.budget.RestorationSystem;
import org.radishspan.budget.ShareSystem;
import org.radishspan.budget.TokenClient;
import org.radishspan.budget.TokenKeeper;
import org.radishspan.deployment.ConfigurationInForce;
import org.radishspan.deployment.CrashReport;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.EvacuationEntry;
import org.radishspan.deployment.Evacuations;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.deployment.TargetDirectory;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.deployment.VmSettings;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerCombiners;
import org.radishspan.peer.PeerLink;
import org.radishspan.peer.PeerReporters;
import org.radishspan.peer.PeerSystem;
import org.radishspan.peer.ShareKeepers;
import org.radishspan.platform.ConfigurationCodec;
import org.radishspan.platform.CrashCodec;
import org.radishspan.platform.EvacuationCodec;
import org.radishspan.platform.RouterCodec;
import org.radishspan.platform.TargetCodec;
import org.radishspan.proto.FindStream;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PromptSent;
import org.radishspan.proto.ReserveTokens;
import org.radishspan.proto.SettleTokens;
import org.radishspan.proto.StoreNews;
import org.radishspan.proto.StreamFound;
import org.radishspan.proto.StreamsBegun;
import org.radishspan.proto.Strike;
import org.radishspan.proto.TargetLeaving;
import org.radishspan.proto.TargetLoads;
import org.radishspan.proto.TargetRateLimit;
import org.radishspan.proto.TokensReserved;
import org.radishspan.proto.TokensSettled;
import org.radishspan.relay.PlaceRules;
import org.radishspan.relay.RelayMetrics;
import org.radishspan.relay.RelaySystem;
import org.radishspan.relay.RetryBudget;
import org.radishspan.relay.TargetProtocol;
import org.radishspan.relay.TargetRules;
import org.radishspan.request.QuarantineTable;
import org.radishspan.routing.LimitDivision;
import org.radishspan.routing.Placement;
import org.radishspan.routing.PrefixWeights;
import org.radishspan.routing.SoftwareVersions;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.CallBudget;
import org.radishspan.store.KindWatch;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.SharedObject;
import org.radishspan.store.StoreEra;
import org.radishspan.store.VersionedObjects;

/**
 * One router on the users' platform without its sockets.
 *
 * <p>Creates the tables and systems of a router, connects them, and runs every system on each tick. {@link FrontProcess} adds
 * the sockets and the clock; tests run many routers on virtual time.
 */
public final class FrontRouter {

    /**
     * The external dependencies of the router.
     *
     * @param store the platform's object API for single objects with versions
     * @param kinds the platform's object API for listing and watching all objects of a kind
     * @param storeEra the era of the store, which both object APIs keep up to date
     * @param transport sends HTTP requests to targets
     * @param protocol how requests to targets and their answers are encoded
     * @param peerLink sends messages to other routers
     * @param random the random source for jitter and for choosing among targets
     * @param clockMillis the monotonic clock of the VM; it never jumps and continues across restarts of the process
     * @param unixMillis the time of day, which may jump and differ between VMs
     * @param bootId identifies the boot of the VM with which that clock started; 0 if it is not known
     * @param log the structured log
     * @param meters where counters and histograms are registered
     */
    public record Ports(
            VersionedObjects store,
            ObjectKinds kinds,
            StoreEra storeEra,
            HttpTransport transport,
            TargetProtocol protocol,
            PeerLink peerLink,
            UniformRandomProvider random,
            LongSupplier clockMillis,
            LongSupplier unixMillis,
            long bootId,
            EventLog log,
            MeterRegistry meters) {}

    /** Minimum time between two writes of a router to one ledger. The fleet's write rate limit allows this. */
    private static final long COMMIT_GAP_MILLIS = 100;

    /**
     * Time-out of a call to the router that commits to a ledger on behalf of others. Its answer needs a read, a write and a
     * commit gap, and a slow store takes 150 ms for each call.
     */
    private static final long COMBINER_TIMEOUT_MILLIS = 900;

    /** Number of ledger objects. One object is large enough for a deployment with tens of workspaces. */
    private static final int LEDGER_PARTITIONS = 1;

    /** Fraction of the store's rate limits that ledgers may use. The rest is for watches and lists. */
    private static final double LEDGER_RATE_FRACTION = 0.5;

    /**
     * Maximum rate of watch calls for one kind of object from all routers together: a quarter of the write rate limit of the
     * smaller deployments.
     */
    private static final long FLEET_WATCH_CALLS_PER_SECOND = 300;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Part of {@link VmSettings.Bounds#undisturbedMillis} that is reserved for replacing a silent connection to the store.
     * The bounds with time limits apply to a VM again that long after a disturbance. By then the watch on the silent connection
     * must have failed, and the next watch must have been answered.
     */
    private static final long SILENCE_DETECTION_MILLIS = 1_000;

    /** Minimum wait time of a watch for the configuration and for targets. */
    private static final long MIN_WATCH_MILLIS = 1_000;

    /**
     * The shortest outage of the store in which the entry of a live target can lapse, in check-in intervals of the target. An
     * entry lapses after three intervals without a check-in, and the last one before the outage may be one interval old.
     */
    private static final long MIN_OUTAGE_INTERVALS = 2;

    /** Time that a watch needs, beyond its wait time, to be sent again and answered after it was cut off. */
    private static final long WATCH_RESTART_MILLIS = 400;

    /** Wait time of a watch for the list of routers. It may be long because heartbeats also show which routers are running. */
    private static final long ROUTERS_WATCH_MILLIS = 10_000;

    /** Wait time of a watch for crashes of targets, which the other routers also report directly. */
    private static final long CRASHES_WATCH_MILLIS = 10_000;

    /**
     * How long a starting router waits for the lists of routers and of crashes, from the time at which the store answers.
     * Without the list of routers it would hold shares of every budget and write the ledgers itself, and so would all routers
     * that start at the same moment. Without the list of crashes it would send requests to targets that are known to crash
     * them.
     */
    private static final long LIST_WAIT_MILLIS = 1_000;

    /**
     * A router that has not received its first shares reports ready this long after its first configuration, because the
     * ledger may be unavailable for a long time.
     */
    private static final long SHARES_WAIT_MILLIS = 3_000;

    /**
     * A router that has not read the list of evacuations sends requests to targets this long after its first configuration.
     * The store answers by then, as the configuration came from it, and only this list may be unavailable for long. The wait
     * is no longer than that for shares.
     */
    private static final long EVACUATIONS_WAIT_MILLIS = 3_000;

    /**
     * Interval between updates of everything that depends on the set of routers, such as rates and kept budgets. The set of
     * routers that may be sent requests changes no faster than this.
     */
    private static final long FLEET_UPDATE_MILLIS = 250;

    /** A request that has crashed this many targets is quarantined: later repeats of it are not sent to any target. */
    private static final int CRASHES_BEFORE_QUARANTINE = 3;

    private final Ports ports;
    private final VmSettings settings;
    private final RouterEntry self;
    private final long startedAtMillis;
    private final ConfigurationInForce configuration;
    private final KindWatch<DeploymentConfiguration> configurationWatch;
    private final LimitDivision limitDivision;
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
    private final RestorationSystem restoration;
    private final ShareKeepers keepers;
    private final TokenClient tokenClient;
    private final TokenKeeper tokenKeeper;
    private final QuarantineTable quarantineTable;
    private final CrashReports crashReports;
    private final KindWatch<CrashReport> crashWatch;
    private final TargetNotices notices;
    private final Optional<Places> places;
    private final LoadExchange loadExchange;
    private final SoftwareVersions softwareVersions;
    private final VersionReports versionReports;
    private final StreamOrigins streamOrigins;
    private final RelaySystem relay;
    private final LedgerReport ledgerReport;
    private final Map<String, Long> adoptedVersions = new HashMap<>();
    private final Set<String> silentRouters = new HashSet<>();
    private boolean closeEarlierSubmitted;
    private long nextFleetUpdateAtMillis;
    private long configuredAtMillis;
    private boolean storeFailing;
    private long storeFailedAtMillis = Long.MIN_VALUE / 2;
    private boolean draining;
    private boolean sharesReady;

    /**
     * Creates the systems of a router process.
     *
     * @param self the entry under which this router registers in the store
     */
    public FrontRouter(VmSettings settings, RouterEntry self, Ports ports) {
        this.ports = ports;
        this.settings = settings;
        this.self = self;
        this.startedAtMillis = ports.clockMillis().getAsLong();
        Gauge.builder("radishspan.store.era", ports.storeEra(), StoreEra::current)
                .register(ports.meters());
        long watchMillis = Math.max(MIN_WATCH_MILLIS, settings.bounds().undisturbedMillis() - SILENCE_DETECTION_MILLIS);
        this.configuration = new ConfigurationInForce(ConfigurationCodec.NAME, ports.log(), this::onConfiguration);
        this.configurationWatch = watch(
                ConfigurationCodec.KIND,
                ConfigurationCodec::decode,
                configuration,
                () -> feed().waitMillis(watchMillis));
        this.limitDivision = new LimitDivision(self.vm(), () -> routerWatch().hasListed());
        this.targets = new TargetTable(limitDivision);
        this.softwareVersions = new SoftwareVersions(targets, settings.bounds().undisturbedMillis());
        this.targetDirectory = new TargetDirectory(
                targets,
                millis -> targetWatch().hadOutageWithin(millis),
                ports.clockMillis(),
                ports.log(),
                target -> relay().onTargetEnded(target));
        long targetWatchMillis = targetWatchMillis(watchMillis);
        this.targetWatch =
                watch(TargetCodec.KIND, targetDecoder(), targetDirectory, () -> feed().waitMillis(targetWatchMillis));
        this.objectPorts = new SharedObject.Ports(
                ports.store(),
                ports.storeEra(),
                new CallBudget(
                        settings.store().fleetReadsPerSecond(), settings.store().fleetReadsPerSecond()),
                new CallBudget(
                        settings.store().fleetWritesPerSecond(),
                        settings.store().fleetWritesPerSecond()),
                ports.random(),
                COMMIT_GAP_MILLIS,
                () -> feed().fleetBackoffMillis());
        this.ledgers = new LedgerPartitions(LEDGER_PARTITIONS, objectPorts);
        this.ledgerReport =
                new LedgerReport(ledgers, partition -> peers().table().combinerOf(partition), ports.log());
        this.peers = new PeerSystem(
                new PeerSystem.Self(self.vm(), self.incarnation(), self.failureDomain()),
                ports.peerLink(),
                new PeerHandlers(),
                configuration::version,
                this::requestsInProgress);
        this.notices = new TargetNotices(targets, peers, ports.log());
        this.loadExchange = new LoadExchange(targets.loads(), peers, ports.log(), ports.meters());
        if (settings.features().admissionControl()) {
            targets.loads().activate();
        }
        this.versionReports = new VersionReports(
                ports.kinds(),
                ports.storeEra(),
                softwareVersions,
                this::writesVersions,
                ports.unixMillis(),
                ports.log());
        this.streamOrigins = new StreamOrigins(
                self.vm(), peers, softwareVersions, this::versionsComplete, ports.log(), ports.meters());
        this.routers = new RouterDirectory(self, ports.kinds(), ports.log(), this::onRoutersChanged);
        this.routerWatch = watch(RouterCodec.KIND, RouterCodec::decode, routers, () -> ROUTERS_WATCH_MILLIS);
        KindFeed.Pace feedPace = KindFeed.Pace.of(settings.bounds(), settings.features());
        this.feed = new KindFeed(peers, feedPace, ports.log());
        feed.add(configurationWatch, feedPace.validityMillis());
        feed.add(targetWatch, feedPace.validityMillis());
        // While nothing changes, the store answers this watch only after its wait time. Routers therefore rely on an
        // answer for
        // three times as long.
        feed.add(routerWatch, 3 * ROUTERS_WATCH_MILLIS);
        this.gateway = new LedgerGateway(ledgers, new PeerCombiners(peers), ports.storeEra(), COMBINER_TIMEOUT_MILLIS);
        Gauge.builder("radishspan.ledger.calls.refused", gateway, LedgerGateway::refusedCalls)
                .register(ports.meters());
        Gauge.builder("radishspan.ledger.changes.passed_on", gateway, LedgerGateway::changesPassedOn)
                .register(ports.meters());
        ShareSystem.Identity identity = new ShareSystem.Identity(self.vm(), self.incarnation(), ports.bootId());
        this.shares = new ShareSystem(
                identity,
                gateway,
                ShareSettings.POLICY,
                this::announceShortage,
                (holder, budget, settlement, accepted) -> accepted.accept(false),
                count -> List.of());
        this.restoration = new RestorationSystem(
                identity,
                gateway,
                shares,
                new RestorationSystem.Ports(
                        ports.storeEra(), new PeerReporters(peers), this::repeatLedgerChanges, ports.log()),
                ShareSettings.MAX_UNCONFIRMED_MILLIS);
        this.keepers = new ShareKeepers(peers, self.vm());
        shares.useTuning(ShareSettings.TUNING, keepers::count);
        this.tokenClient = new TokenClient(self.incarnation(), shares, keepers, ports.clockMillis());
        this.tokenKeeper = new TokenKeeper(
                shares,
                (vm, answer) -> peers.sendTo(
                        vm, PeerMessage.newBuilder().setTokensReserved(answer).build()));
        this.quarantineTable = new QuarantineTable(peers::announceStrike, CRASHES_BEFORE_QUARANTINE);
        this.crashReports = new CrashReports(
                self.vm(), ports.kinds(), quarantineTable, routers::isListed, ports.unixMillis(), ports.log());
        this.crashWatch = watch(CrashCodec.KIND, CrashCodec::decode, crashReports, () -> CRASHES_WATCH_MILLIS);
        feed.add(crashWatch, 3 * CRASHES_WATCH_MILLIS);
        this.places = settings.features().places() ? Optional.of(new Places(watchMillis)) : Optional.empty();
        VmSettings.Bounds bounds = settings.bounds();
        this.relay = new RelaySystem(
                new RelaySystem.Ports(
                        ports.transport(),
                        ports.protocol(),
                        targets,
                        places.map(used -> used.rules).orElse(TargetRules.ALL),
                        streamOrigins,
                        tokenClient,
                        configuration::current,
                        this::routerCount,
                        quarantineTable,
                        notices,
                        ports.random(),
                        ports.clockMillis(),
                        ports.log(),
                        new RelayMetrics(ports.meters())),
                settings.failureDomain(),
                new RetryBudget.Bound(bounds.retryRatio(), bounds.retryWindowMillis(), bounds.retrySlack()),
                placement(),
                settings.features().admissionControl());
    }

    private Placement placement() {
        return settings.features().admissionControl()
                ? Placement.weighing(ports.random(), this::routerCount, PrefixWeights.DEFAULT)
                : new Placement(ports.random());
    }

    /** Evacuations, cold targets and regions, for deployments that use them. */
    private final class Places {
        private final Evacuations evacuations;
        private final KindWatch<EvacuationEntry> watch;
        private final TargetRules rules;

        Places(long watchMillis) {
            long evacuationMillis = settings.bounds().evacuationMillis();
            long validityMillis = KindFeed.Pace.of(evacuationMillis).validityMillis();
            this.evacuations = new Evacuations(settings.failureDomains(), ports.log(), this::onEvacuated);
            // The watcher waits longer here than for other kinds, so that this watch adds few calls to the store. The
            // other routers still rely on its updates until the next answer.
            this.watch = FrontRouter.this.watch(
                    EvacuationCodec.KIND,
                    EvacuationCodec::decode,
                    evacuations,
                    () -> Math.min(watchMillis, validityMillis * 3 / 5));
            feed.addWholeList(watch, validityMillis, EvacuationCodec::encode, ports.random());
            this.rules = new PlaceRules(
                    settings.regionsByFailureDomain(),
                    this::known,
                    evacuations::isEvacuated,
                    evacuationMillis,
                    ports.meters());
            targetWatch.reportRepeated(entry -> entry.coldMillis() > 0);
            targetDirectory.applyColdTimes(this::onCold);
            registerMeters();
        }

        private void registerMeters() {
            Gauge.builder("radishspan.evacuations", evacuations, Evacuations::count)
                    .register(ports.meters());
            Gauge.builder("radishspan.targets.cold", targetDirectory, TargetDirectory::coldTargets)
                    .register(ports.meters());
            FunctionCounter.builder("radishspan.relay.cold.refusals", targets, TargetTable::coldRefusals)
                    .register(ports.meters());
        }

        boolean known() {
            return watch.hasListed()
                    || (configuredAtMillis > 0
                            && ports.clockMillis().getAsLong() - configuredAtMillis >= EVACUATIONS_WAIT_MILLIS);
        }

        private void onEvacuated(String failureDomain) {
            relay().reassignUnsent(target -> target.failureDomain().equals(failureDomain));
        }

        private void onCold(Target cold) {
            if (targets.isColdLimited(cold, ports.clockMillis().getAsLong())) {
                relay().reassignUnsent(target -> target == cold);
            }
        }

        void onConfiguration(DeploymentConfiguration adopted) {
            Map<String, Double> rates = new HashMap<>();
            adopted.services().forEach(service -> rates.put(service.name(), service.coldRequestsPerSecond()));
            targets.setColdRates(rates, ports.clockMillis().getAsLong());
        }

        void tick(long nowMillis) {
            if (!targetWatch.coveredByPeer()) {
                // The watcher's way to the store has probably failed. Its updates about targets expire sooner.
                watch.endCoverage();
            }
            if (!targetWatch.lastCallFailed()) {
                watch.tick(nowMillis);
            }
        }
    }

    private <T> KindWatch<T> watch(
            String kind,
            Function<JsonNode, Optional<T>> decoder,
            KindWatch.Listener<T> listener,
            LongSupplier waitMillis) {
        KindWatch.Pace pace = new KindWatch.Pace(
                waitMillis, this::watchPauseMillis, () -> feed().maxBackoffMillis(), this::minOutageMillis);
        KindWatch.Ports watchPorts = new KindWatch.Ports(ports.kinds(), ports.storeEra(), ports.random(), ports.log());
        return new KindWatch<>(kind, watchPorts, decoder, listener, pace);
    }

    private Function<JsonNode, Optional<TargetEntry>> targetDecoder() {
        return settings.features().places()
                ? TargetCodec::decode
                // Without the feature the cold time has no effect. It changes with every heartbeat of a cold target,
                // and each change of a decoded entry is forwarded to other routers.
                : content -> TargetCodec.decode(content).map(TargetEntry::withoutColdTime);
    }

    private void onRoutersChanged(List<ListedVm> listed) {
        peers.replace(listed);
        limitDivision.replace(listed.stream().map(ListedVm::name).toList());
    }

    private KindWatch<RouterEntry> routerWatch() {
        return routerWatch;
    }

    private KindFeed feed() {
        return feed;
    }

    private long watchPauseMillis() {
        VmSettings.Bounds bounds = settings.bounds();
        long minPauseMillis = Math.min(bounds.drainMillis(), bounds.configApplyMillis()) / 10;
        return Math.max(minPauseMillis, routerCount() * MILLIS_PER_SECOND / FLEET_WATCH_CALLS_PER_SECOND);
    }

    private KindWatch<TargetEntry> targetWatch() {
        return targetWatch;
    }

    private long minOutageMillis() {
        return MIN_OUTAGE_INTERVALS * settings.bounds().targetCheckInMillis();
    }

    /**
     * Returns the wait time of a watch for targets. A watch that is cut off after it has waited for the shortest outage cannot
     * be distinguished from one that ends with an outage, so that missing entries are kept for a while. Watches do not wait for
     * so long where that would exceed the time in which targets must be removed, or where further cuts could prolong it.
     */
    private long targetWatchMillis(long watchMillis) {
        long keptMillis = TargetDirectory.ENTRIES_RESTORED_MILLIS;
        boolean mayBeKept =
                settings.bounds().drainMillis() >= keptMillis + WATCH_RESTART_MILLIS && minOutageMillis() > keptMillis;
        long unambiguousMillis = Math.max(MIN_WATCH_MILLIS, minOutageMillis() - WATCH_RESTART_MILLIS);
        return mayBeKept ? watchMillis : Math.min(watchMillis, unambiguousMillis);
    }

    private int routerCount() {
        return Math.max(1, routers.count());
    }

    private void announceShortage(String budget, String shareId, long tokensWanted) {
        peers.announceShortage(keepers.keepersOf(budget), budget, shareId, tokensWanted);
    }

    private boolean storeUnreachable() {
        return targetWatch.storeUnreachable()
                || ledgers.all().stream().anyMatch(ledger -> ledger.lastCallFailed() || ledger.callOverdue());
    }

    private boolean writesVersions() {
        return routersKnown()
                && !draining
                && !storeUnreachable()
                && peers.table().combinerOf(0).isEmpty();
    }

    /**
     * Returns whether every software version at which a stream may have begun is recorded here. Other routers let streams
     * begin at a version only when it has been in the store for this time.
     */
    private boolean versionsComplete() {
        return versionReports.read()
                && targetWatch.completeAgoMillis() < settings.bounds().undisturbedMillis();
    }

    private int requestsInProgress() {
        return relay.inProgress();
    }

    private void onConfiguration(DeploymentConfiguration adopted) {
        if (configuredAtMillis == 0) {
            configuredAtMillis = ports.clockMillis().getAsLong();
        }
        // The memory of targets is not limited yet: TargetMemory divides it equally among the routers, so that a router
        // with most callers of a large workspace would get no room while the targets are nearly empty.
        adopted.services().forEach(service -> targets.setMaxConnections(service.name(), service.maxConnections()));
        places.ifPresent(used -> used.onConfiguration(adopted));
        closeEarlierShares();
        if (routersKnown()) {
            updateKeptBudgets(adopted);
        }
    }

    private void closeEarlierShares() {
        if (closeEarlierSubmitted) {
            return;
        }
        closeEarlierSubmitted = true;
        gateway.closeEarlierShares(
                new Ledger.ProcessStart(self.vm(), self.incarnation(), ports.bootId(), startedAtMillis),
                this::onEarlierSharesClosed);
    }

    /** Repeats the changes that this router makes once, because the store may have lost them. */
    private void repeatLedgerChanges() {
        adoptedVersions.clear();
        closeEarlierSubmitted = false;
    }

    private boolean routersKnown() {
        return routerWatch.hasListed() || listWaitOver();
    }

    private boolean crashesKnown() {
        return crashWatch.hasListed() || listWaitOver();
    }

    private boolean listWaitOver() {
        return ports.clockMillis().getAsLong() - Math.max(startedAtMillis, storeFailedAtMillis) >= LIST_WAIT_MILLIS;
    }

    /**
     * Prepares shares of the budgets that this router keeps and records their limits in the ledger. Releases the shares of all
     * other budgets.
     */
    private void updateKeptBudgets(DeploymentConfiguration inForce) {
        for (Workspace workspace : inForce.workspaces()) {
            String budget = workspace.name();
            if (workspace.prepaidTokens().isEmpty()) {
                continue;
            }
            if (keepers.isLocalKeeper(budget)) {
                shares.prepare(budget);
                adoptLimit(budget, workspace.prepaidTokens().getAsLong(), inForce.version());
            } else {
                shares.release(budget);
            }
        }
    }

    private void onEarlierSharesClosed(Optional<Failure> failure) {
        if (isLedgerUnavailable(failure)) {
            closeEarlierSubmitted = false;
            return;
        }
        ports.log()
                .belief("earlier_shares_closed")
                .with("vm", self.vm())
                .with("done", failure.isEmpty())
                .with("reason", failure.map(Failure::message).orElse(""))
                .write();
    }

    /** Returns whether a ledger did not accept a change because it is being restored; the change is then repeated. */
    private static boolean isLedgerUnavailable(Optional<Failure> failure) {
        return failure.isPresent() && failure.get().kind() == ErrorKind.PLATFORM_UNAVAILABLE;
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
                    if (isLedgerUnavailable(failure)) {
                        return;
                    }
                    ports.log()
                            .belief("limit_refused")
                            .with("budget", budget)
                            .with("version", version)
                            .with("reason", refusal.message())
                            .write();
                }));
    }

    /** Returns the system that relays requests of callers to targets. */
    public RelaySystem relay() {
        return relay;
    }

    /** Returns the holder of the configuration in force; it is empty until one has been read. */
    public ConfigurationInForce configuration() {
        return configuration;
    }

    /** Returns the table of targets. */
    public TargetTable targets() {
        return targets;
    }

    /** Returns the system that manages the shares of this router. */
    public ShareSystem shares() {
        return shares;
    }

    /** Returns the system that exchanges messages with the other routers. */
    public PeerSystem peers() {
        return peers;
    }

    /**
     * Handles the loss of a connection to another router: the router counts as silent, and ledger changes that it had to
     * commit are committed by this router.
     */
    public void onPeerConnectionLost(String vm) {
        peers.table().markSilent(vm);
        gateway.onConnectionLost(vm);
        tokenClient.onConnectionLost(vm);
    }

    /** Returns the ledgers, each stored in one shared object. */
    public LedgerPartitions ledgers() {
        return ledgers;
    }

    /**
     * Returns whether the router accepts requests: it is not draining, knows the configuration, the targets and the other
     * routers, and has its first shares. The waits for the other routers and for shares are limited.
     */
    public boolean ready() {
        return !draining
                && configuration.current().isPresent()
                && targetWatch.hasListed()
                && routersKnown()
                && crashesKnown()
                && places.map(Places::known).orElse(true)
                && sharesReady();
    }

    private boolean sharesReady() {
        boolean all = shares.table().rows().stream().allMatch(share -> share.hasLedgerState());
        boolean waitedLongEnough = ports.clockMillis().getAsLong() - configuredAtMillis >= SHARES_WAIT_MILLIS;
        sharesReady = sharesReady || all || waitedLongEnough;
        return sharesReady;
    }

    /** Starts to drain: the router reports that it is not ready and removes its entry from the list of routers. */
    public void drain() {
        draining = true;
        peers.drain();
        keepers.drain();
        tokenKeeper.drain();
        routers.withdraw();
    }

    /** Returns whether the router is draining and has no requests, shares or ledger changes left. */
    public boolean stopped() {
        return draining
                && relay.inProgress() == 0
                && tokenClient.idle()
                && shares.retired()
                && gateway.idle()
                && ledgers.all().stream().allMatch(SharedObject::idle);
    }

    /** Returns whether ledger changes or token requests are pending. These need shorter ticks than heartbeats and deadlines. */
    public boolean busy() {
        return !gateway.idle() || !tokenClient.idle() || ledgers.all().stream().anyMatch(ledger -> !ledger.idle());
    }

    /** Runs every system once at the current time of the clock. */
    public void tick() {
        long nowMillis = ports.clockMillis().getAsLong();
        feed.tick(nowMillis);
        targetWatch.tick(nowMillis);
        detectStoreRecovery();
        targetDirectory.tick();
        if (targetWatch.hasListed()) {
            softwareVersions.onListed(nowMillis);
        }
        routers.tick(nowMillis);
        if (!targetWatch.lastCallFailed()) {
            // While the store fails, only the watch of targets retries it: refused calls are charged as well.
            configurationWatch.tick(nowMillis);
            routerWatch.tick(nowMillis);
            routers.registerIfDue();
            crashWatch.tick(nowMillis);
            crashReports.tick(nowMillis);
            if (targetWatch.hasListed()) {
                versionReports.tick(nowMillis);
            }
        }
        places.ifPresent(used -> used.tick(nowMillis));
        reportStoreAccess();
        peers.tick(nowMillis);
        keepers.tick(nowMillis);
        tokenClient.tick(nowMillis);
        tokenKeeper.tick(nowMillis);
        loadExchange.tick(nowMillis);
        streamOrigins.tick(nowMillis);
        relay.tick();
        if (draining) {
            shares.retire();
        }
        if (nowMillis >= nextFleetUpdateAtMillis && routersKnown()) {
            nextFleetUpdateAtMillis = nowMillis + FLEET_UPDATE_MILLIS;
            notices.tick(nowMillis);
            updateStoreRates();
            if (configuration.current().isPresent()) {
                closeEarlierShares();
            }
            if (!draining) {
                configuration.current().ifPresent(this::updateKeptBudgets);
            }
        }
        restoration.tick(nowMillis);
        shares.tick(nowMillis);
        if (routersKnown()) {
            gateway.tick(nowMillis);
        }
        ledgers.tick(nowMillis);
        ledgerReport.tick(nowMillis);
    }

    /** Reports to the other routers and to the log when this router loses the store or reaches it again. */
    private void reportStoreAccess() {
        boolean unreachable = storeUnreachable();
        if (peers.setStoreUnreachable(unreachable)) {
            ports.log()
                    .belief(unreachable ? "store_lost" : "store_reached")
                    .with("calls_refused", gateway.refusedCalls())
                    .with("changes_passed_on", gateway.changesPassedOn())
                    .write();
        }
    }

    /** Lets the ledgers retry at once when the store has recovered, which may have been reported by another router. */
    private void detectStoreRecovery() {
        boolean failing = targetWatch.failing();
        if (storeFailing && !failing) {
            ledgers.all().forEach(SharedObject::onStoreRecovered);
        }
        storeFailing = failing;
        if (failing) {
            storeFailedAtMillis = ports.clockMillis().getAsLong();
        }
    }

    private void updateStoreRates() {
        // Half of the rate is divided equally among all routers. The other half goes to those that commit for others.
        double combinedFraction = (double) peers.table().combinedPartitions(LEDGER_PARTITIONS) / LEDGER_PARTITIONS;
        double rateFraction = LEDGER_RATE_FRACTION / 2 * (1.0 / routerCount() + combinedFraction);
        objectPorts.reads().setRate(settings.store().fleetReadsPerSecond() * rateFraction);
        objectPorts.writes().setRate(settings.store().fleetWritesPerSecond() * rateFraction);
    }

    /** Handles messages from other routers. */
    private final class PeerHandlers implements PeerSystem.Handlers {
        @Override
        public boolean keepBill(String budget, Ledger.Settlement settlement) {
            // Answers do not wait for their bills to be recorded here, so routers never hand bills over.
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
            restoration.onReportRequested(partition);
        }

        @Override
        public void onStrike(Strike strike) {
            quarantineTable.onPeerNotification(
                    PeerSystem.fingerprints(strike),
                    strike.getTarget(),
                    strike.getAgeMillis(),
                    ports.clockMillis().getAsLong());
            ports.log()
                    .belief("crash_reported")
                    .with("fingerprints", String.join(",", PeerSystem.fingerprints(strike)))
                    .with("target", strike.getTarget())
                    .with("age_ms", strike.getAgeMillis())
                    .write();
        }

        @Override
        public void onConnected(String vm) {
            feed.onConnected(vm);
            quarantineTable.sendAll(
                    (fingerprints, target, ageMillis) -> peers.sendStrike(vm, fingerprints, target, ageMillis),
                    ports.clockMillis().getAsLong());
        }

        @Override
        public void onPromptSent(PromptSent prompt) {
            notices.onPromptSent(prompt, ports.clockMillis().getAsLong());
        }

        @Override
        public void onStoreNews(String vm, StoreNews update) {
            feed.onUpdate(vm, update);
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
        public void onTargetLoads(String vm, TargetLoads loads) {
            loadExchange.onLoads(vm, loads, ports.clockMillis().getAsLong());
        }

        @Override
        public void onStreamsBegun(StreamsBegun begun) {
            streamOrigins.onStreamsBegun(begun);
        }

        @Override
        public void onFindStream(String vm, FindStream call) {
            streamOrigins.onFindStream(vm, call);
        }

        @Override
        public void onStreamFound(StreamFound answer) {
            streamOrigins.onStreamFound(answer);
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
        public void onSilenceChanged(String vm, boolean silent, long silentMillis) {
            boolean notSilentBefore = silent ? silentRouters.add(vm) : !silentRouters.remove(vm);
            if (!silent && notSilentBefore) {
                // This is the first heartbeat of a router that was never reported silent.
                return;
            }
            ports.log()
                    .belief(silent ? "router_silent" : "router_heard")
                    .with("vm", vm)
                    .with("quiet_ms", silentMillis)
                    .write();
        }

        @Override
        public void onProcessEnded(String incarnation) {
            tokenKeeper.onProcessEnded(incarnation);
            ports.log().belief("router_gone").with("incarnation", incarnation).write();
        }

        @Override
        public void onProcessAlive(String incarnation) {
            // Nothing to do: the peer table has already recorded the process.
        }
    }
}
