package org.radishspan.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.TargetLoad;
import org.radishspan.proto.TargetLoads;
import org.radishspan.routing.FleetLoads;
import org.radishspan.routing.Target;

/**
 * Shares the loads, paces and speeds of targets among all routers, through one router of each failure domain, the hub.
 *
 * <p>A router sends what it receives from targets to the hub of its failure domain. The hub forwards what its domain knows
 * to the hubs of the other domains, and that together with what other hubs send to the routers of its own domain. A message
 * is forwarded at most twice: from a router of the domain to hubs, and from a hub of another domain to the routers of this
 * one. What a router of the same domain forwards as a hub is never forwarded, so that routers which disagree about the hub
 * cannot form a loop.
 *
 * <p>Messages are hints. If they are lost, views become stale, and routers decide by their own requests.
 */
final class LoadExchange implements FleetLoads.Listener {
    /** Minimum time between two messages to a receiver. */
    private static final long INTERVAL_MILLIS = 250;

    /** Maximum number of messages a second that a hub sends; beyond 100 receivers they are sent less often. */
    private static final long HUB_MESSAGES_PER_SECOND = 400;

    /**
     * Maximum rate of all messages of a hub: 15% of the 7 Mbit/s that a link of most of the users' VMs has. At the size
     * expected in two years, 153 routers in a failure domain, a router receives 0.9 KB/s; loads that do not fit wait for
     * the next message, where a newer report replaces them.
     */
    private static final int HUB_BYTES_PER_SECOND = 131_072;

    /** Lower bound of the size of a message, so that messages to very many receivers still say something. */
    private static final int MIN_MESSAGE_BYTES = 200;

    /**
     * A hub that does not answer this long after it was sent loads is passed over. It answers each message of a router
     * within one interval, so six messages or answers in a row are lost then.
     */
    private static final long SILENT_HUB_MILLIS = 1_500;

    /** Time for which a silent hub is passed over. */
    private static final long EXCLUSION_MILLIS = 5_000;

    /** Minimum time between two lines about invalid reports of one target. */
    private static final long INVALID_REPORT_LOG_MILLIS = 60_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final FleetLoads loads;
    private final PeerSystem peers;
    private final EventLog log;
    private final Counter sentMessages;
    private final Counter sentBytes;
    private final Counter receivedLoads;
    private final Counter ignoredLoads;
    /**
     * What this router and, if it is the hub, the routers of its failure domain received from targets: for the hub of the
     * domain or, if this router is the hub, for those of the other domains.
     */
    private final LoadNews newsForHubs = new LoadNews();
    /** What this router knows as the hub, for the routers of its failure domain. */
    private final LoadNews newsForDomain = new LoadNews();

    private final Map<String, Long> excludedUntilMillis = new HashMap<>();
    private final Map<String, Long> invalidReportLoggedAtMillis = new HashMap<>();
    private String hub = "";
    private long awaitingHubSinceMillis = -1;
    private long nextSendAtMillis;
    private long nowMillis;

    LoadExchange(FleetLoads loads, PeerSystem peers, EventLog log, MeterRegistry meters) {
        this.loads = loads;
        this.peers = peers;
        this.log = log;
        this.sentMessages =
                Counter.builder("radishspan.target.loads.messages.sent").register(meters);
        this.sentBytes = Counter.builder("radishspan.target.loads.bytes.sent").register(meters);
        this.receivedLoads = Counter.builder("radishspan.target.loads.received").register(meters);
        this.ignoredLoads = Counter.builder("radishspan.target.loads.ignored").register(meters);
        loads.setListener(this);
    }

    @Override
    public void onReport(Target target, FleetLoads.Report report, long reportedAtMillis) {
        newsForHubs.addReport(FleetLoads.key(target), report, reportedAtMillis);
        newsForDomain.addReport(FleetLoads.key(target), report, reportedAtMillis);
    }

    @Override
    public void onSpeeds(Target target, FleetLoads.Speeds speeds) {
        newsForHubs.addSpeeds(FleetLoads.key(target), speeds);
        newsForDomain.addSpeeds(FleetLoads.key(target), speeds);
    }

    @Override
    public void onRequestTokens(long tokens) {
        LoadNews.Requests requests = new LoadNews.Requests(1, tokens, (double) tokens * tokens, tokens);
        newsForHubs.addRequests(requests);
        newsForDomain.addRequests(requests);
    }

    @Override
    public void onInvalidReport(Target target, FleetLoads.Report report, String reason) {
        Long loggedAtMillis = invalidReportLoggedAtMillis.get(target.name());
        if (loggedAtMillis != null && nowMillis - loggedAtMillis < INVALID_REPORT_LOG_MILLIS) {
            return;
        }
        invalidReportLoggedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis >= INVALID_REPORT_LOG_MILLIS);
        invalidReportLoggedAtMillis.put(target.name(), nowMillis);
        log.belief("target_load_invalid")
                .with("target", target.name())
                .with("reason", reason)
                .with("running", report.running())
                .with("waiting", report.waiting())
                .with("pace_percent", report.pacePercent())
                .with("own_requests", target.inFlight())
                .write();
    }

    /** Sends what is new since the last message, if a message is due. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (nowMillis < nextSendAtMillis || !loads.active()) {
            return;
        }
        nextSendAtMillis = nowMillis + INTERVAL_MILLIS;
        updateHub();
        if (hub.isEmpty()) {
            sendAsHub();
        } else {
            sendToHub();
        }
    }

    private void updateHub() {
        passOverSilentHub();
        String previous = hub;
        excludedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        hub = peers.table().loadHub(excludedUntilMillis::containsKey);
        if (!hub.equals(previous)) {
            awaitingHubSinceMillis = -1;
            log.belief("load_hub")
                    .with("vm", hub)
                    .with("self", hub.isEmpty())
                    .with("vm_before", previous)
                    .write();
        }
    }

    private void passOverSilentHub() {
        boolean silent = awaitingHubSinceMillis >= 0 && nowMillis - awaitingHubSinceMillis >= SILENT_HUB_MILLIS;
        if (!hub.isEmpty() && silent) {
            excludedUntilMillis.put(hub, nowMillis + EXCLUSION_MILLIS);
            log.belief("load_hub_silent")
                    .with("vm", hub)
                    .with("quiet_ms", nowMillis - awaitingHubSinceMillis)
                    .write();
        }
    }

    private void sendToHub() {
        newsForDomain.clear();
        if (!newsForHubs.isDue(nowMillis)) {
            return;
        }
        if (awaitingHubSinceMillis < 0) {
            awaitingHubSinceMillis = nowMillis;
        }
        send(List.of(hub), newsForHubs, false, Integer.MAX_VALUE);
    }

    private void sendAsHub() {
        List<String> members = peers.table().othersOfDomain();
        List<String> hubs = peers.table().otherDomains().stream()
                .map(domain -> peers.table().loadHubOf(domain))
                .filter(vm -> !vm.isEmpty())
                .toList();
        long receivers = Math.max(1, members.size() + hubs.size());
        long intervalMillis = Math.max(INTERVAL_MILLIS, receivers * MILLIS_PER_SECOND / HUB_MESSAGES_PER_SECOND);
        nextSendAtMillis = nowMillis + intervalMillis;
        int maxBytes = (int)
                Math.max(MIN_MESSAGE_BYTES, HUB_BYTES_PER_SECOND * intervalMillis / MILLIS_PER_SECOND / receivers);
        send(hubs, newsForHubs, true, maxBytes);
        send(members, newsForDomain, true, maxBytes);
    }

    private void send(List<String> receivers, LoadNews news, boolean fromHub, int maxBytes) {
        if (receivers.isEmpty()) {
            news.clear();
            return;
        }
        if (!news.isDue(nowMillis)) {
            return;
        }
        TargetLoads.Builder newLoads = TargetLoads.newBuilder().setFromHub(fromHub);
        news.moveTo(newLoads, maxBytes, nowMillis);
        PeerMessage message = PeerMessage.newBuilder().setTargetLoads(newLoads).build();
        for (String vm : receivers) {
            sentMessages.increment();
            sentBytes.increment(message.getSerializedSize());
            peers.sendTo(vm, message);
        }
    }

    /** Applies the loads that another router sent; a hub keeps them to forward them. */
    void onLoads(String vm, TargetLoads message, long receivedAtMillis) {
        if (vm.equals(hub)) {
            awaitingHubSinceMillis = -1;
        }
        for (LoadNews news : newsToExtend(vm, message)) {
            message.getLoadsList().forEach(load -> news.add(load, receivedAtMillis));
            news.addRequests(LoadNews.Requests.of(message));
        }
        message.getLoadsList().forEach(load -> apply(load, receivedAtMillis));
        LoadNews.Requests requests = LoadNews.Requests.of(message);
        loads.onPeerRequests(
                requests.requests(),
                requests.tokens(),
                requests.tokensSquared(),
                requests.largestTokens(),
                receivedAtMillis);
    }

    /** Returns where a message is kept to be forwarded. */
    private List<LoadNews> newsToExtend(String vm, TargetLoads message) {
        boolean sameDomain = peers.table().isInOwnDomain(vm);
        if (!hub.isEmpty() || sameDomain == message.getFromHub()) {
            return List.of();
        }
        return sameDomain ? List.of(newsForHubs, newsForDomain) : List.of(newsForDomain);
    }

    private void apply(TargetLoad load, long receivedAtMillis) {
        if (load.hasAgeMillis()) {
            boolean applied = loads.onPeerReport(
                    load.getTarget(), LoadNews.report(load), Math.max(0, load.getAgeMillis()), receivedAtMillis);
            (applied ? receivedLoads : ignoredLoads).increment();
        }
        FleetLoads.Speeds speeds = LoadNews.speeds(load);
        if (speeds.startAnswers() + speeds.readAnswers() > 0) {
            loads.onPeerSpeeds(load.getTarget(), speeds, receivedAtMillis);
        }
    }
}
