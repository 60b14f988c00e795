package org.radishspan.router;

import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.budget.HeldBillSystem;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerGateway;
import org.radishspan.budget.LedgerPartitions;
import org.radishspan.budget.SharePolicy;
import org.radishspan.budget.ShareSystem;
import org.radishspan.config.ConfigurationSystem;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;
import org.radishspan.journal.Journal;
import org.radishspan.journal.JournalPartitions;
import org.radishspan.membership.MembershipSystem;
import org.radishspan.peer.PeerCombiners;
import org.radishspan.peer.PeerLink;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.LedgerAnswer;
import org.radishspan.proto.LedgerCall;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.Strike;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.recovery.OrphanScan;
import org.radishspan.recovery.RecoverySystem;
import org.radishspan.request.CallReader;
import org.radishspan.request.CallSpec;
import org.radishspan.request.CallerResponse;
import org.radishspan.request.RequestSystem;
import org.radishspan.request.StatusLookup;
import org.radishspan.routing.TargetChooser;
import org.radishspan.routing.TargetTable;
import org.radishspan.store.CallBudget;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One router without its sockets: its tables of state, and the systems that process them in each tick.
 *
 * <p>Everything runs on one thread. Time is passed in with each tick; randomness, the platform, targets and peers are
 * accessed through {@link Ports}, so that tests can run the same code on virtual time.
 */
public final class Router {

    /**
     * The external dependencies of a router.
     *
     * @param store the platform's object API
     * @param transport sends HTTP requests to targets and to the platform
     * @param link sends messages to other routers
     * @param random the source of randomness for jitter and for the choice of targets
     */
    public record Ports(PlatformStore store, HttpTransport transport, PeerLink link, UniformRandomProvider random) {}

    private static final int OK = 200;
    private static final double EQUALLY_DIVIDED_FRACTION = 0.5;
    private static final long RATE_DIVISION_INTERVAL_MILLIS = 1_000;
    private static final long RECOVERY_STAGGER_MILLIS = 5_000;
    private static final int MAX_RECOVERING_ROUTERS = 3;

    private final RouterSettings settings;
    private final String incarnation;
    private final SharedObject.Ports objectPorts;
    private final LedgerPartitions ledgers;
    private final JournalPartitions journals;
    private final ConfigurationSystem configuration;
    private final TargetTable targets = new TargetTable();
    private final MembershipSystem membership;
    private final PeerSystem peers;
    private final LedgerGateway gateway;
    private final ShareSystem shares;
    private final HeldBillSystem heldBills;
    private final RecoverySystem recovery;
    private final OrphanScan orphanScan;
    private final RequestSystem requests;
    private final CallReader callReader;
    private final StatusLookup statusLookup;
    private long requestSequence;
    private long nextRateDivisionMillis;
    private long nowMillis;
    private boolean draining;

    /** Creates a router; {@code incarnation} must be an id that no earlier process has used. */
    public Router(RouterSettings settings, String incarnation, Ports ports) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.objectPorts = objectPorts(settings, ports);
        this.ledgers = new LedgerPartitions(settings.storage().ledgerPartitions(), objectPorts);
        this.journals = new JournalPartitions(settings.storage().journalPartitions(), objectPorts);
        this.statusLookup = new StatusLookup(journals);
        this.configuration = new ConfigurationSystem(ports.store(), objectPorts);
        this.recovery = new RecoverySystem(ledgers, journals);
        this.orphanScan = new OrphanScan(
                ledgers,
                partition -> peers().table().combinerOf(partition).isEmpty(),
                (vm, ended) -> peers().table().processEnded(vm, ended),
                ended -> recovery().close(ended, nowMillis()),
                (holder, partition) -> peers().notifyHolder(holder, partition));
        this.heldBills = new HeldBillSystem(incarnation, ledgers);
        PeerSystem.Self self = new PeerSystem.Self(settings.vm(), incarnation, settings.failureDomain());
        this.peers = new PeerSystem(
                self,
                ports.link(),
                new PeerHandlers(),
                () -> configuration().inForce().getRevision(),
                this::requestsInProgress);
        this.gateway = new LedgerGateway(ledgers, new PeerCombiners(peers));
        this.shares = new ShareSystem(
                new ShareSystem.Identity(settings.vm(), incarnation, 0),
                gateway,
                settings.shares(),
                peers::announceShortage,
                peers::handOver,
                peers.table()::chooseHolders);
        this.membership = new MembershipSystem(ports.store(), ports.transport(), targets, peers::replace);
        this.requests = new RequestSystem(
                new RequestSystem.Ports(
                        shares,
                        journals,
                        targets,
                        TargetChooser.twoChoices(ports.random()),
                        ports.transport(),
                        this::nextRequestId,
                        peers::announceStrike),
                requestLimits(settings, incarnation));
        this.callReader = new CallReader(
                new CallReader.Limits(
                        settings.requests().maxOutputTokens(),
                        settings.requests().defaultOutputTokens()),
                settings.services());
        configuration.onChange(this::onConfiguration);
    }

    private static SharedObject.Ports objectPorts(RouterSettings settings, Ports ports) {
        RouterSettings.Platform platform = settings.platform();
        return new SharedObject.Ports(
                ports.store(),
                new CallBudget(platform.fleetReadsPerSecond(), platform.fleetReadsPerSecond()),
                new CallBudget(platform.fleetWritesPerSecond(), platform.fleetWritesPerSecond()),
                ports.random(),
                settings.storage().commitGapMillis());
    }

    private static RequestSystem.Limits requestLimits(RouterSettings settings, String incarnation) {
        RouterSettings.Requests requests = settings.requests();
        RouterSettings.Storage storage = settings.storage();
        return new RequestSystem.Limits(
                incarnation,
                settings.failureDomain(),
                requests.deadlineMillis(),
                requests.progressTimeoutMillis(),
                requests.awaitMillis(),
                new Journal.Retention(storage.keepOutcomesMillis(), storage.maxIntents(), storage.maxAnswerBytes()));
    }

    /**
     * Sets this router's part of the platform call rates of the fleet. Half of each rate is divided equally among all
     * routers; the other half is divided by the number of ledger partitions whose changes a router combines.
     */
    private void divideStoreCallRates() {
        double routerCount = 1.0 + peers.table().rows().size();
        int partitions = settings.storage().ledgerPartitions();
        double combinedFraction = peers.table().combinedPartitions(partitions) / (double) partitions;
        double rateFraction =
                EQUALLY_DIVIDED_FRACTION / routerCount + (1 - EQUALLY_DIVIDED_FRACTION) * combinedFraction;
        objectPorts.reads().setRate(settings.platform().fleetReadsPerSecond() * rateFraction);
        objectPorts.writes().setRate(settings.platform().fleetWritesPerSecond() * rateFraction);
    }

    private int requestsInProgress() {
        return requests.inProgress();
    }

    private String nextRequestId() {
        requestSequence++;
        return incarnation + "-" + requestSequence;
    }

    private void onConfiguration(ConfigurationState state) {
        long horizonMillis =
                configuration.preset().map(PresetState::getShareHorizonMillis).orElse(0L);
        SharePolicy configuredPolicy = settings.shares();
        shares.usePolicy(horizonMillis > 0 ? configuredPolicy.withHorizonMillis(horizonMillis) : configuredPolicy);
    }

    /** Returns the settings with which the router was created. */
    public RouterSettings settings() {
        return settings;
    }

    /** Returns the incarnation id of this router process. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the system that follows the shared configuration. */
    public ConfigurationSystem configuration() {
        return configuration;
    }

    /** Returns the ledger objects of the budgets. */
    public LedgerPartitions ledgers() {
        return ledgers;
    }

    /** Returns the journal objects of requests with an idempotency key. */
    public JournalPartitions journals() {
        return journals;
    }

    /** Returns the system that manages this router's shares of the budgets. */
    public ShareSystem shares() {
        return shares;
    }

    /** Returns the system that holds bills for other routers until the ledger is available. */
    public HeldBillSystem heldBills() {
        return heldBills;
    }

    /** Returns the table of known targets. */
    public TargetTable targets() {
        return targets;
    }

    /** Returns the system that communicates with the other routers. */
    public PeerSystem peers() {
        return peers;
    }

    /** Returns the system that processes requests. */
    public RequestSystem requests() {
        return requests;
    }

    /** Returns the system that closes ended router processes and recovers what they held. */
    public RecoverySystem recovery() {
        return recovery;
    }

    /** Returns the time passed to the last tick, in milliseconds; 0 before the first one. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Returns whether the router accepts calls: it has a configuration and is not draining. */
    public boolean ready() {
        return !draining && configuration.inForce().getRevision() > 0;
    }

    /** Returns whether another router has closed this process, which must then end and be restarted. */
    public boolean fenced() {
        return shares.counters().sharesLost() > 0;
    }

    /** Authenticates and validates a call and passes it to the request system, or refuses it through {@code callerResponse}. */
    public void accept(Optional<String> callerKey, CallReader.IncomingCall incoming, CallerResponse callerResponse) {
        Optional<WorkspaceState> workspace = authorize(callerKey, callerResponse);
        if (workspace.isEmpty()) {
            return;
        }
        Either<Failure, CallSpec> call = callReader.read(workspace.get(), incoming);
        if (call.isLeft()) {
            callerResponse.fail(call.getLeft());
            return;
        }
        requests.accept(call.get(), callerResponse);
    }

    /** Returns the workspace of a key; if the key is missing or wrong, refuses the call and returns empty. */
    private Optional<WorkspaceState> authorize(Optional<String> callerKey, CallerResponse callerResponse) {
        Optional<WorkspaceState> workspace = callerKey.flatMap(configuration::workspaceOf);
        if (workspace.isEmpty()) {
            callerResponse.fail(Failure.notRun(ErrorKind.UNAUTHORIZED, "the bearer key is missing or invalid"));
        }
        return workspace;
    }

    /** Responds with the recorded status of a request with an idempotency key. */
    public void findStatus(Optional<String> callerKey, String idempotencyKey, CallerResponse callerResponse) {
        Optional<WorkspaceState> workspace = authorize(callerKey, callerResponse);
        if (workspace.isEmpty()) {
            return;
        }
        statusLookup.find(workspace.get().getName(), idempotencyKey, result -> {
            if (result.isLeft()) {
                callerResponse.fail(result.getLeft());
                return;
            }
            byte[] body = result.get().toString().getBytes(UTF_8);
            callerResponse.respond(OK, Json.CONTENT_TYPE, body, Map.of());
        });
    }

    /** Starts the drain: refuses new calls; {@link #stopped} returns true once all work has completed. */
    public void drain() {
        draining = true;
        requests.drain();
        peers.drain();
        heldBills.close();
    }

    /** Returns whether a draining router has no requests, shares, held bills or pending writes left. */
    public boolean stopped() {
        return draining
                && requests.inProgress() == 0
                && shares.retired()
                && gateway.idle()
                && ledgers.all().stream().allMatch(SharedObject::idle)
                && heldBills.heldShares() == 0
                && journals.all().stream().allMatch(SharedObject::idle);
    }

    /** Runs every system once at the given time. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (tickMillis >= nextRateDivisionMillis) {
            nextRateDivisionMillis = tickMillis + RATE_DIVISION_INTERVAL_MILLIS;
            divideStoreCallRates();
        }
        configuration.tick(tickMillis);
        membership.tick(tickMillis);
        peers.tick(tickMillis);
        requests.tick(tickMillis);
        if (draining && requests.inProgress() == 0) {
            shares.retire();
        }
        shares.tick(tickMillis);
        heldBills.tick();
        orphanScan.tick(tickMillis);
        recovery.tick(tickMillis);
        gateway.tick(tickMillis);
        ledgers.tick(tickMillis);
        journals.tick(tickMillis);
    }

    /** Handles a message from the router on another VM. */
    public void onPeerMessage(String vm, PeerMessage message) {
        peers.onMessage(vm, message);
    }

    /** Passes messages of other routers to the systems that handle them. */
    private final class PeerHandlers implements PeerSystem.Handlers {

        @Override
        public boolean keepBill(String budget, Ledger.Settlement settlement) {
            return heldBills.accept(budget, settlement);
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
            if (partition >= 0 && partition < ledgers.all().size()) {
                ledgers.get(partition).refresh();
            }
        }

        @Override
        public void onStrike(Strike strike) {
            requests.quarantineTable()
                    .onPeerNotification(
                            PeerSystem.fingerprints(strike), strike.getTarget(), strike.getAgeMillis(), nowMillis);
        }

        @Override
        public void onConnected(String vm) {
            requests.quarantineTable()
                    .sendAll(
                            (fingerprints, target, ageMillis) -> peers.sendStrike(vm, fingerprints, target, ageMillis),
                            nowMillis);
        }

        @Override
        public void onRevision(long revision) {
            if (revision > configuration.inForce().getRevision()) {
                configuration.refresh();
            }
        }

        @Override
        public void onProcessEnded(String endedIncarnation) {
            int rank = peers.table().recoveryRank(endedIncarnation);
            if (rank < MAX_RECOVERING_ROUTERS) {
                recovery.close(endedIncarnation, nowMillis + rank * RECOVERY_STAGGER_MILLIS);
            }
        }

        @Override
        public void onProcessAlive(String liveIncarnation) {
            recovery.cancel(liveIncarnation);
        }
    }
}
