package org.radishspan.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;
import org.radishspan.deployment.TargetEntry;

/** The targets that this router may send work to, with their load, failures, limits and measured speed. */
public final class TargetTable {

    /**
     * A VM in the platform's list.
     *
     * @param name the VM's name
     * @param role {@code engine}, {@code service} or {@code router}
     * @param host its address
     * @param port its port; for routers the port for peers
     * @param failureDomain the failure domain in which it runs
     * @param leaving whether the platform is about to stop it
     * @param serves the models or services that it serves
     */
    public record ListedVm(
            String name,
            String role,
            String host,
            int port,
            String failureDomain,
            boolean leaving,
            Set<String> serves) {}

    /**
     * The estimated wait for a free connection to a target whose connections are all in use. A plain call takes some
     * ten milliseconds.
     */
    private static final long CONNECTION_WAIT_MILLIS = 200;

    /** Back-off after the first failed connection to a target; it doubles with each further failure. */
    private static final long INITIAL_BACKOFF_MILLIS = 300;

    /**
     * Upper bound of the back-off. A crashed target is available again after some seconds, so it is retried at least
     * this often.
     */
    private static final long MAX_BACKOFF_MILLIS = 2_400;

    /**
     * Time in which a router learns that a slot is free: two messages. As many requests as end in it may wait at a target,
     * so that its slots stay in use.
     */
    private static final double REPORT_DELAY_MILLIS = 500;

    /** Age of a report from which on the expected load says more about other targets than about this one. */
    private static final long MAX_LOAD_AGE_MILLIS = 1_000;

    /** Fraction of slots in use, on average over targets, from which on only some targets have free slots. */
    private static final double BUSY_FRACTION = 0.75;

    private static final int FAILURES_BEFORE_EXCLUSION = 3;

    /** Failures within this time after a target was lost are attributed to the same crash. */
    private static final long SAME_CRASH_MILLIS = 100;

    private static final long EXCLUSION_MILLIS = 2_000;

    private final Object2ObjectHashMap<String, Target> rows = new Object2ObjectHashMap<>();
    private final TargetSignals signals = new TargetSignals();
    private final LimitDivision limitDivision;
    private final ColdLimits coldLimits;
    private final TargetMemory memory;
    private final FleetLoads loads = new FleetLoads();
    private final Map<String, WorkSpeed> serviceSpeeds = new HashMap<>();
    private final Map<String, Integer> maxConnections = new HashMap<>();
    private long coldRefusals;
    private long membershipChanges;

    /** Creates a table for the only router in the deployment, which may use every limit in full. */
    public TargetTable() {
        this(LimitDivision.onlyRouter());
    }

    /** Creates a table for one of several routers, which divide the limits of targets by {@code limitDivision}. */
    public TargetTable(LimitDivision limitDivision) {
        this.limitDivision = limitDivision;
        this.coldLimits = new ColdLimits(limitDivision);
        this.memory = new TargetMemory(limitDivision);
    }

    /** Returns the loads of targets that the routers of the fleet share. */
    public FleetLoads loads() {
        return loads;
    }

    /** Returns all targets in the table, including those that accept no new work. */
    public Collection<Target> rows() {
        return rows.values();
    }

    /** Returns a target by name, or null if the table has none of that name. */
    public @Nullable Target get(String name) {
        return rows.get(name);
    }

    /**
     * Applies the platform's list of VMs: adds targets that are new, marks those that are leaving so that they get no
     * new work, and removes those that are no longer listed.
     */
    public void replace(List<ListedVm> vms) {
        Set<String> listed = new HashSet<>();
        for (ListedVm vm : vms) {
            if (!vm.role().equals("router")) {
                listed.add(vm.name());
                put(vm);
            }
        }
        for (Target target : new ArrayList<>(rows.values())) {
            if (!listed.contains(target.name)) {
                target.leaving = true;
                rows.remove(target.name);
            }
        }
    }

    private void put(ListedVm vm) {
        Target row = rows.get(vm.name());
        boolean unchanged = row != null && row.port == vm.port() && row.host.equals(vm.host());
        if (row == null || !unchanged) {
            row = new Target(
                    vm.name(),
                    vm.host(),
                    vm.port(),
                    vm.failureDomain(),
                    vm.serves(),
                    speedOf(vm.serves()),
                    loads.service(firstService(vm.serves())));
            rows.put(vm.name(), row);
        }
        row.serves = vm.serves();
        row.leaving = vm.leaving();
    }

    private WorkSpeed speedOf(Set<String> serves) {
        return serviceSpeeds.computeIfAbsent(firstService(serves), ignored -> WorkSpeed.ofService());
    }

    /**
     * Returns the name that stands for all services of a target. Targets with several services are rare, and whatever
     * makes such a target slow or fast affects all of them.
     */
    private static String firstService(Set<String> serves) {
        return serves.stream().min(Comparator.naturalOrder()).orElse("");
    }

    /**
     * Applies the entry by which a target registers itself, and returns its row. Another incarnation or address under
     * the same name starts with an empty row.
     */
    public Target register(TargetEntry entry) {
        return register(entry, 0);
    }

    /** Does the same as {@link #register(TargetEntry)}, and records when the entry was received. */
    public Target register(TargetEntry entry, long nowMillis) {
        Target row = rows.get(entry.id());
        boolean unchanged = row != null
                && row.port == entry.address().port()
                && row.host.equals(entry.address().host())
                && row.startedAtUnixMillis == entry.startedAtUnixMillis();
        if (row == null || !unchanged) {
            row = new Target(
                    entry.id(),
                    entry.address().host(),
                    entry.address().port(),
                    entry.failureDomain(),
                    Set.of(entry.service()),
                    speedOf(Set.of(entry.service())),
                    loads.service(entry.service()));
            row.slots = Math.max(1, entry.slots());
            row.startedAtUnixMillis = entry.startedAtUnixMillis();
            row.registeredAtMillis = nowMillis;
            row.signals = signals.of(entry.id(), entry.startedAtUnixMillis());
            Target previous = rows.put(entry.id(), row);
            if (previous != null) {
                loads.remove(previous);
            }
            loads.add(row);
        }
        boolean changed =
                !unchanged || row.leaving != entry.draining() || !row.softwareVersion.equals(entry.softwareVersion());
        membershipChanges += changed ? 1 : 0;
        row.softwareVersion = entry.softwareVersion();
        row.leaving = entry.draining();
        return row;
    }

    /** Returns how often a target was added, removed, reported as leaving, or changed its software version. */
    long membershipChanges() {
        return membershipChanges;
    }

    /**
     * Records that a target reported in an answer that it is leaving. This holds until another incarnation registers.
     *
     * @return whether this is the first such report
     */
    public boolean onLeavingReported(Target target) {
        TargetSignals.Signals retained = retainSignals(target);
        boolean first = !retained.leavingReported;
        retained.leavingReported = true;
        membershipChanges += first ? 1 : 0;
        return first;
    }

    private TargetSignals.Signals retainSignals(Target target) {
        signals.keep(target.name, target.startedAtUnixMillis, target.signals);
        return target.signals;
    }

    private TargetSignals.Signals retainSignals(String name, long startedAtUnixMillis) {
        Target target = rows.get(name);
        if (target != null && target.startedAtUnixMillis == startedAtUnixMillis) {
            return retainSignals(target);
        }
        TargetSignals.Signals added = signals.of(name, startedAtUnixMillis);
        signals.keep(name, startedAtUnixMillis, added);
        return added;
    }

    /**
     * Records that a peer reported that a target is leaving. From then on this router sends to it only as a last
     * resort.
     */
    public void onLeavingReportedByPeer(String name, long startedAtUnixMillis) {
        retainSignals(name, startedAtUnixMillis).leavingReportedByPeer = true;
    }

    /**
     * Records that a healthy target requested a pause from this router. A shorter pause does not shorten one already
     * requested.
     */
    public void onPauseRequested(Target target, long pauseMillis, long nowMillis) {
        TargetSignals.Signals retained = retainSignals(target);
        retained.pausedUntilMillis = Math.max(retained.pausedUntilMillis, nowMillis + pauseMillis);
    }

    /**
     * Records the limit that a target reported in an answer: the requests a second that it accepts from all routers
     * together. An empty limit ends the current one.
     *
     * @param requestSentAtMillis when the request was sent; the answer to a request sent before the limit was last
     * reported does not end it
     * @return whether the limit changed
     */
    public boolean onRateLimitReported(
            Target target, OptionalDouble requestsPerSecond, long requestSentAtMillis, long nowMillis) {
        RateLimit current = target.signals.rateLimit;
        if (requestsPerSecond.isEmpty() && (current == null || requestSentAtMillis < current.reportedAtMillis())) {
            return false;
        }
        return recordRateLimit(target.name, target.startedAtUnixMillis, requestsPerSecond, nowMillis);
    }

    /**
     * Records the limit of a target that a peer reported; an empty limit ends the current one.
     *
     * @return whether the limit changed
     */
    public boolean onRateLimitReportedByPeer(
            String name, long startedAtUnixMillis, OptionalDouble requestsPerSecond, long nowMillis) {
        return recordRateLimit(name, startedAtUnixMillis, requestsPerSecond, nowMillis);
    }

    private boolean recordRateLimit(
            String name, long startedAtUnixMillis, OptionalDouble requestsPerSecond, long nowMillis) {
        TargetSignals.Signals retained = retainSignals(name, startedAtUnixMillis);
        RateLimit current = retained.rateLimit;
        if (requestsPerSecond.isEmpty()) {
            retained.rateLimit = null;
            return current != null;
        }
        if (current != null) {
            return current.onReported(requestsPerSecond.getAsDouble(), nowMillis);
        }
        retained.rateLimit = RateLimit.ofReport(
                RendezvousRank.hash(name), limitDivision, requestsPerSecond.getAsDouble(), nowMillis);
        return true;
    }

    /**
     * Sets the requests a second that cold targets accept from all routers together, by service; 0 for services whose cold
     * targets accept as many as others.
     */
    public void setColdRates(Map<String, Double> requestsPerSecond, long nowMillis) {
        coldLimits.replaceRates(requestsPerSecond);
        rows.values().forEach(target -> coldLimits.inForce(target, nowMillis));
    }

    /** Records how long a target stays cold; 0 if it is not cold. The time holds for this incarnation only. */
    public void onColdTime(Target target, long coldMillis, long nowMillis) {
        retainSignals(target);
        coldLimits.setColdTime(target, coldMillis, nowMillis);
    }

    /** Returns whether a target is limited because it is cold. */
    public boolean isColdLimited(Target target, long nowMillis) {
        return coldLimits.inForce(target, nowMillis);
    }

    /** Returns only a cold target that is due for a request that warms it up; all candidates if there is none. */
    public List<Target> preferWarmUp(List<Target> candidates, long nowMillis) {
        return coldLimits.preferWarmUp(candidates, nowMillis);
    }

    /**
     * Returns whether a request is refused because of the limit of a cold target, and counts it. Called once for each request
     * for which all targets that a filter admits have reached a limit.
     */
    public boolean refusedByColdLimit(String serves, TargetFilter filter, long nowMillis) {
        boolean refused = remaining(serves).stream()
                .anyMatch(target -> filter.admits(target, nowMillis) && !coldLimits.allows(target, nowMillis));
        coldRefusals += refused ? 1 : 0;
        return refused;
    }

    /** Returns how many requests were refused because of the limits of cold targets. */
    public long coldRefusals() {
        return coldRefusals;
    }

    /** Returns the targets of a service that are not leaving, including those that accept no work now. */
    public List<Target> remaining(String serves) {
        return rows.values().stream()
                .filter(target -> !target.leaving() && target.serves.contains(serves))
                .toList();
    }

    /**
     * Removes limits that have not been reported for so long that they expired. Returns the names of their targets,
     * which receive requests again.
     */
    public List<String> removeExpiredRateLimits(long nowMillis) {
        return signals.removeExpiredRateLimits(nowMillis);
    }

    /** Removes a target, which then gets no new work; requests in progress there continue. */
    public void deregister(String name) {
        Target target = rows.remove(name);
        if (target != null) {
            target.leaving = true;
            membershipChanges++;
            loads.remove(target);
        }
    }

    /**
     * Records that a target refuses connections, or that another target answers at its address, and excludes it for the
     * back-off time.
     */
    public void onUnreachable(Target target, long nowMillis) {
        target.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, 2 * target.backoffMillis));
        target.excludedUntilMillis = nowMillis + target.backoffMillis;
    }

    /** Records the load that a target reported with an answer: its requests in progress and those in its queue. */
    public void onLoad(Target target, int running, int waiting) {
        target.reportedLoad = running;
        target.queuedRequests = waiting;
        target.dispatchedSinceReport = 0;
        target.finishedSinceReport = 0;
    }

    /** Does the same as {@link #onLoad(Target, int, int)}, and records when the report was received. */
    public void onLoad(Target target, int running, int waiting, long nowMillis) {
        onLoad(target, running, waiting);
        target.loadReportedAtMillis = nowMillis;
    }

    /**
     * Records the load that a target reported with an answer, and its pace if it reports one, for the view that routers
     * share.
     */
    public void onLoad(Target target, int running, int waiting, OptionalInt pacePercent, long nowMillis) {
        onLoad(target, running, waiting, nowMillis);
        loads.onReport(target, running, waiting, pacePercent, nowMillis);
    }

    /** Sets how many tokens fit into the memory of each target of a service; 0 if that is not known. */
    public void setMemoryTokens(String service, long tokens) {
        loads.service(service).memoryTokens = tokens;
    }

    /** Records that the request sent last occupies up to {@code tokens} in the memory of a target until it ends. */
    public void holdMemory(Target target, long tokens, long nowMillis) {
        target.heldTokens += tokens;
        target.load.onTokensSent(tokens);
        loads.onRequestTokens(target, tokens, nowMillis);
    }

    /** Records that a request that occupied memory of a target has ended. */
    public void releaseMemory(Target target, long tokens) {
        target.heldTokens -= tokens;
    }

    /** Returns a filter that admits the targets whose memory has room for a request that occupies {@code tokens}. */
    public TargetFilter memoryFor(long tokens) {
        return (target, nowMillis) -> memory.hasRoom(target, tokens, nowMillis);
    }

    /** Sets how many connections each target of a service accepts from all routers together. */
    public void setMaxConnections(String service, int connections) {
        maxConnections.put(service, connections);
    }

    /**
     * Returns whether this router may open another connection to a target. A connection carries one request at a time.
     */
    private boolean hasConnectionLeft(Target target, String service) {
        Integer max = maxConnections.get(service);
        return max == null || target.inFlight < limitDivision.connectionShare(target.nameHash, max);
    }

    /** Adds prompt tokens that this router sent and the target has not yet read. */
    public void addPendingPrompt(Target target, long tokens) {
        target.pendingPromptTokens += tokens;
    }

    /**
     * Adds prompt tokens that another router sent to a target. They count until the target has had the time to read
     * them.
     */
    public void addPeerPrompt(Target target, long tokens, long nowMillis) {
        target.peerPromptTokens = Placement.peerPromptTokens(target, nowMillis) + tokens;
        target.peerPromptAtMillis = nowMillis;
    }

    /** Subtracts prompt tokens that a target has read, or will not read because the request ended. */
    public void removePendingPrompt(Target target, long tokens) {
        target.pendingPromptTokens -= tokens;
    }

    /**
     * Returns the targets that may be sent new work for a model or service, without those in back-off or reported by a
     * peer as leaving.
     */
    public List<Target> candidates(String serves, Set<String> excluded, long nowMillis) {
        return candidates(serves, excluded, TargetFilter.ALL, nowMillis);
    }

    /** Returns the candidates that a filter admits. */
    public List<Target> candidates(String serves, Set<String> excluded, TargetFilter filter, long nowMillis) {
        return select(serves, excluded, nowMillis, filter.and(TargetTable::isRegularCandidate));
    }

    /**
     * Returns the targets to try where there are no candidates. These include targets that failed recently or that a
     * peer reported as leaving.
     */
    public List<Target> lastResorts(String serves, Set<String> excluded, long nowMillis) {
        return lastResorts(serves, excluded, TargetFilter.ALL, nowMillis);
    }

    /** Returns the last resorts that a filter admits. */
    public List<Target> lastResorts(String serves, Set<String> excluded, TargetFilter filter, long nowMillis) {
        return select(serves, excluded, nowMillis, filter);
    }

    private static boolean isRegularCandidate(Target target, long nowMillis) {
        return target.excludedUntilMillis <= nowMillis && !target.leavingReportedByPeer();
    }

    private static boolean isEligible(Target target, String serves, Set<String> excluded) {
        return !target.leaving() && target.serves.contains(serves) && !excluded.contains(target.name);
    }

    private List<Target> select(String serves, Set<String> excluded, long nowMillis, TargetFilter filter) {
        List<Target> result = new ArrayList<>();
        for (Target target : rows.values()) {
            if (isEligible(target, serves, excluded)
                    && target.acceptsWork(nowMillis)
                    && coldLimits.allows(target, nowMillis)
                    && hasConnectionLeft(target, serves)
                    && filter.admits(target, nowMillis)) {
                result.add(target);
            }
        }
        return result;
    }

    /**
     * Returns whether a filter admits any target that may be sent work for a model or service, now or after a pause,
     * when a connection is free, or when its limit permits it.
     */
    public boolean hasTarget(String serves, Set<String> excluded, TargetFilter filter, long nowMillis) {
        for (Target target : rows.values()) {
            if (isEligible(target, serves, excluded) && filter.admits(target, nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns a filter that admits the targets that can start a request soon.
     *
     * @param tokens the tokens that the request occupies at most in the memory of a target; 0 for a plain call
     */
    public TargetFilter roomFor(long tokens) {
        return (target, nowMillis) -> hasFreeSlot(target, nowMillis) && memory.hasRoom(target, tokens, nowMillis);
    }

    /**
     * Returns whether a slot of a target is free, or will be when a request arrives. Where few targets have free slots,
     * and where the slots are those of requests that have probably ended since the report, they are divided among the
     * routers. Otherwise either nobody would use them, because an engine reports only when an answer begins, or all
     * routers would at once: 84 requests waited at one engine in a test.
     */
    private boolean hasFreeSlot(Target target, long nowMillis) {
        LoadView load = target.load;
        if (!load.active()) {
            return target.inFlight < target.slots && !target.reportedFull(nowMillis);
        }
        boolean fewFree = load.service().othersLoad.mean() >= BUSY_FRACTION * target.slots;
        boolean recent = load.ageMillis(nowMillis) < MAX_LOAD_AGE_MILLIS;
        if (!fewFree && recent && target.expectedRequests(nowMillis) < target.slots) {
            return true;
        }
        double answerMillis = Math.max(1, target.speed.answerMillis(nowMillis));
        double soonFree = target.slots * Math.min(1, REPORT_DELAY_MILLIS / answerMillis);
        int unseen = Math.min(target.inFlight, load.sentAfter(load.reportedAtMillis() - LoadView.TRANSIT_MILLIS));
        double seen = target.inFlight - unseen + load.remainingOthersLoad(answerMillis, nowMillis);
        int free = (int) Math.floor(target.slots + soonFree - seen);
        return free > 0 && unseen < limitDivision.connectionShare(target.nameHash, free);
    }

    /**
     * How much room the targets of a service have, by their last reports and the requests of this router.
     *
     * @param targets the targets that may be sent work
     * @param withFreeSlot those of them that had a free slot by their last reports and by the requests of this router
     * @param usable those of them to which this router may send a small request now
     * @param meanOthersLoad the mean number of requests of other routers at a target
     */
    public record Room(int targets, int withFreeSlot, int usable, double meanOthersLoad) {}

    /** Returns how much room the targets of a service have for small requests. */
    public Room room(String serves, long nowMillis) {
        int count = 0;
        int withFreeSlot = 0;
        int usable = 0;
        double meanOthersLoad = 0;
        for (Target target : rows.values()) {
            if (!isEligible(target, serves, Set.of())) {
                continue;
            }
            count++;
            withFreeSlot += target.load.reportedOthersLoad() + target.inFlight < target.slots ? 1 : 0;
            usable += target.acceptsWork(nowMillis) && hasFreeSlot(target, nowMillis) ? 1 : 0;
            meanOthersLoad = target.load.service().othersLoad.mean();
        }
        return new Room(count, withFreeSlot, usable, meanOthersLoad);
    }

    /**
     * Returns the time in milliseconds until the first target of a service accepts work again: until its requested
     * pause ends, its rate limit permits a request and a connection is free. Empty if a target accepts work now, or if
     * all targets of the service are leaving.
     */
    public OptionalLong waitMillis(String serves, long nowMillis) {
        return waitMillis(serves, TargetFilter.ALL, nowMillis);
    }

    /** Returns the same time for the targets that a filter admits. */
    public OptionalLong waitMillis(String serves, TargetFilter filter, long nowMillis) {
        long shortestMillis = Long.MAX_VALUE;
        for (Target target : rows.values()) {
            if (target.leaving() || !target.serves.contains(serves) || !filter.admits(target, nowMillis)) {
                continue;
            }
            boolean connectionLeft = hasConnectionLeft(target, serves);
            if (connectionLeft && target.acceptsWork(nowMillis) && coldLimits.allows(target, nowMillis)) {
                return OptionalLong.empty();
            }
            long connectionMillis = connectionLeft ? 0 : CONNECTION_WAIT_MILLIS;
            long limitMillis = Math.max(target.waitMillis(nowMillis), coldLimits.waitMillis(target, nowMillis));
            shortestMillis = Math.min(shortestMillis, Math.max(connectionMillis, limitMillis));
        }
        return shortestMillis == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(shortestMillis);
    }

    /** Returns whether any target serves a model or service, including targets that accept no work now. */
    public boolean hasTargetFor(String serves) {
        for (Target target : rows.values()) {
            if (target.serves.contains(serves)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the targets that are processing no suspect request of this router, one that may have crashed a target
     * before.
     */
    public static List<Target> withoutSuspects(List<Target> candidates) {
        return candidates.stream().filter(target -> target.suspectRequests == 0).toList();
    }

    /** Records that a suspect request was sent to a target. */
    public void addSuspect(Target target) {
        target.suspectRequests++;
    }

    /** Records that a suspect request ended at a target, and whether the target was lost with it. */
    public void removeSuspect(Target target, boolean targetLost, long nowMillis) {
        target.suspectRequests--;
        if (targetLost) {
            target.lostWithSuspectAtMillis = nowMillis;
        }
    }

    /**
     * Returns whether a suspect request is in progress at a target, or was in progress when the target was lost less
     * than {@link #SAME_CRASH_MILLIS} ago.
     */
    public boolean suspectInvolved(Target target, long nowMillis) {
        return target.suspectRequests > 0 || nowMillis - target.lostWithSuspectAtMillis < SAME_CRASH_MILLIS;
    }

    /** Registers an expected answer of the chosen target, whose first event is due after the estimated time. */
    public PendingFirstEvent expectFirstEvent(Placement.Choice choice, long nowMillis) {
        return choice.target().expectFirstEvent(choice.estimateMillis(), nowMillis);
    }

    /**
     * Updates the measured speed of a target with the first event of an answer, before which it had to read {@code
     * unreadTokens} tokens.
     */
    public void onFirstEvent(Target target, long unreadTokens, long elapsedMillis, long nowMillis) {
        target.speed.onFirstEvent(unreadTokens, elapsedMillis, nowMillis);
        loads.onFirstEvent(target, unreadTokens, elapsedMillis, nowMillis);
    }

    /** Updates the measured speed of a target with the duration of a complete answer. */
    public void onAnswer(Target target, long elapsedMillis, long nowMillis) {
        target.speed.onAnswer(elapsedMillis, nowMillis);
        loads.onAnswer(target, elapsedMillis, nowMillis);
    }

    /** Records that a request was sent to a target, and counts it against the target's rate limit. */
    public void onDispatched(Target target, long nowMillis) {
        RateLimit limit = target.signals.rateLimit;
        if (limit != null) {
            limit.onSent(nowMillis);
        }
        coldLimits.onSent(target, nowMillis);
        target.inFlight++;
        target.load.onSent(nowMillis);
        target.dispatchedSinceReport++;
    }

    /**
     * Records the end of a request. Several failures in a row exclude the target for a while; an answer resets the
     * count and the back-off.
     */
    public void onFinished(Target target, boolean answered, long nowMillis) {
        target.inFlight--;
        target.finishedSinceReport++;
        if (answered) {
            target.consecutiveFailures = 0;
            target.backoffMillis = 0;
            return;
        }
        target.consecutiveFailures++;
        if (target.consecutiveFailures >= FAILURES_BEFORE_EXCLUSION) {
            target.consecutiveFailures = 0;
            target.excludedUntilMillis = nowMillis + EXCLUSION_MILLIS;
        }
    }

    /**
     * Returns whether the load of a target is due to be requested, and if so schedules the next request after {@code
     * periodMillis}.
     */
    public boolean probeDue(Target target, long nowMillis, long periodMillis) {
        if (nowMillis < target.nextProbeAtMillis) {
            return false;
        }
        target.nextProbeAtMillis = nowMillis + periodMillis;
        return true;
    }

    /** Records a load report, which may also state that the target is leaving. */
    public void onLoad(Target target, int load, boolean leaving, long nowMillis) {
        target.reportedLoad = load;
        target.dispatchedSinceReport = 0;
        target.loadReportedAtMillis = nowMillis;
        target.leaving |= leaving;
    }
}
