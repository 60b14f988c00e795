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
import org.radishspan.proto.WorkspaceState;
import org.radishspan.recovery.OrphanScan;
import org.radishspan.recovery.RecoverySystem;
import org.radishspan.request.CallReader;
import org.radishspan.request.CallSpec;
import org.radishspan.request.CallerReply;
import org.radishspan.request.RequestSystem;
import org.radishspan.request.StatusLookup;
import org.radishspan.routing.TargetChooser;
import org.radishspan.routing.TargetTable;
import org.radishspan.store.CallBudget;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.SharedObject;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * One router without its sockets: tables, and the systems that run over them each tick.
 *
 * <p>Everything runs on one thread. Time, randomness, the platform, targets and peers come in through ports, so that the
 * same code runs in tests on virtual time.
 */
public final class Router {

    /**
     * What a router needs from the world.
     *
     * @param store the platform's object API
     * @param transport the way to targets
     * @param link the way to other routers
     * @param random for jitter and choices
     */
    public record Ports(PlatformStore store, HttpTransport transport, PeerLink link, UniformRandomProvider random) {}

    private static final int OK = 200;
    private static final double DIRECT_PART = 0.5;
    private static final long DIVIDE_RATES_MILLIS = 1_000;
    private static final long RECOVERY_STAGGER_MILLIS = 5_000;
    private static final int RECOVERING_ROUTERS = 3;

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
    private long requestCount;
    private long divideRatesAtMillis;
    private long nowMillis;
    private boolean draining;

    /** Creates a router process with a new incarnation id. */
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
                (holder, partition) -> peers().noticeHolder(holder, partition));
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

    /** Divides the fleet's part of the platform's rates: half among all routers, half among those that combine. */
    private void divideRates() {
        double listed = 1.0 + peers.table().rows().size();
        int partitions = settings.storage().ledgerPartitions();
        double combined = peers.table().combinedPartitions(partitions) / (double) partitions;
        double part = DIRECT_PART / listed + (1 - DIRECT_PART) * combined;
        objectPorts.reads().setRate(settings.platform().fleetReadsPerSecond() * part);
        objectPorts.writes().setRate(settings.platform().fleetWritesPerSecond() * part);
    }

    private int requestsInProgress() {
        return requests.inProgress();
    }

    private String nextRequestId() {
        requestCount++;
        return incarnation + "-" + requestCount;
    }

    private void onConfiguration(ConfigurationState state) {
        long horizonMillis =
                configuration.preset().map(PresetState::getShareHorizonMillis).orElse(0L);
        SharePolicy usual = settings.shares();
        shares.usePolicy(horizonMillis > 0 ? usual.withHorizonMillis(horizonMillis) : usual);
    }

    /** Returns the settings. */
    public RouterSettings settings() {
        return settings;
    }

    /** Returns the id of this process. */
    public String incarnation() {
        return incarnation;
    }

    /** Returns the configuration. */
    public ConfigurationSystem configuration() {
        return configuration;
    }

    /** Returns the ledgers. */
    public LedgerPartitions ledgers() {
        return ledgers;
    }

    /** Returns the journals. */
    public JournalPartitions journals() {
        return journals;
    }

    /** Returns the shares. */
    public ShareSystem shares() {
        return shares;
    }

    /** Returns the bills held for other routers. */
    public HeldBillSystem heldBills() {
        return heldBills;
    }

    /** Returns the targets. */
    public TargetTable targets() {
        return targets;
    }

    /** Returns the other routers. */
    public PeerSystem peers() {
        return peers;
    }

    /** Returns the requests. */
    public RequestSystem requests() {
        return requests;
    }

    /** Returns the recoveries. */
    public RecoverySystem recovery() {
        return recovery;
    }

    /** Returns the time of the last tick. */
    public long nowMillis() {
        return nowMillis;
    }

    /** Returns whether the router takes calls. */
    public boolean ready() {
        return !draining && configuration.inForce().getRevision() > 0;
    }

    /** Returns whether another router has closed this process; it must end and start anew. */
    public boolean fenced() {
        return shares.counters().sharesLost() > 0;
    }

    /** Takes a call with the key that the caller showed. */
    public void accept(Optional<String> callerKey, CallReader.Incoming incoming, CallerReply reply) {
        Optional<WorkspaceState> workspace = authorize(callerKey, reply);
        if (workspace.isEmpty()) {
            return;
        }
        Either<Failure, CallSpec> call = callReader.read(workspace.get(), incoming);
        if (call.isLeft()) {
            reply.fail(call.getLeft());
            return;
        }
        requests.accept(call.get(), reply);
    }

    /** Returns the workspace of a key, or answers that the key is missing or wrong. */
    private Optional<WorkspaceState> authorize(Optional<String> callerKey, CallerReply reply) {
        Optional<WorkspaceState> workspace = callerKey.flatMap(configuration::workspaceOf);
        if (workspace.isEmpty()) {
            reply.fail(Failure.notRun(ErrorKind.UNAUTHORIZED, "the bearer key is missing or wrong"));
        }
        return workspace;
    }

    /** Tells a caller what became of a request with an idempotency key. */
    public void findStatus(Optional<String> callerKey, String idempotencyKey, CallerReply reply) {
        Optional<WorkspaceState> workspace = authorize(callerKey, reply);
        if (workspace.isEmpty()) {
            return;
        }
        statusLookup.find(workspace.get().getName(), idempotencyKey, result -> {
            if (result.isLeft()) {
                reply.fail(result.getLeft());
                return;
            }
            byte[] body = result.get().toString().getBytes(UTF_8);
            reply.respond(OK, Json.CONTENT_TYPE, body, Map.of());
        });
    }

    /** Takes no new calls; {@link #stopped} turns true when nothing is left. */
    public void drain() {
        draining = true;
        requests.drain();
        peers.drain();
        heldBills.close();
    }

    /** Returns whether a drained router holds nothing any more. */
    public boolean stopped() {
        return draining
                && requests.inProgress() == 0
                && shares.retired()
                && gateway.idle()
                && ledgers.all().stream().allMatch(SharedObject::idle)
                && heldBills.heldShares() == 0
                && journals.all().stream().allMatch(SharedObject::idle);
    }

    /** Runs every system. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (tickMillis >= divideRatesAtMillis) {
            divideRatesAtMillis = tickMillis + DIVIDE_RATES_MILLIS;
            divideRates();
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

    /** Takes a message of another router. */
    public void onPeerMessage(String vm, PeerMessage message) {
        peers.onMessage(vm, message);
    }

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
        public void onStrike(String fingerprint, String target) {
            requests.strikes().onNotice(fingerprint, target, nowMillis);
        }

        @Override
        public void onRevision(long revision) {
            if (revision > configuration.inForce().getRevision()) {
                configuration.catchUp();
            }
        }

        @Override
        public void onProcessGone(String gone) {
            int rank = peers.table().recoveryRank(gone);
            if (rank < RECOVERING_ROUTERS) {
                recovery.close(gone, nowMillis + rank * RECOVERY_STAGGER_MILLIS);
            }
        }

        @Override
        public void onProcessAlive(String alive) {
            recovery.cancel(alive);
        }
    }
}
