package org.radishspan.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

import org.agrona.collections.Object2ObjectHashMap;
import org.jspecify.annotations.Nullable;
import org.radishspan.deployment.TargetEntry;

/** The targets that this router may send work to. */
public final class TargetTable {

    /**
     * A VM in the platform's list.
     *
     * @param name the VM
     * @param role {@code engine}, {@code service} or {@code router}
     * @param host its address
     * @param port its port; for routers the port for peers
     * @param failureDomain where it runs
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

    /** A request at a target that has all its connections in use ends within this time; a plain call takes some ten milliseconds. */
    private static final long CONNECTION_WAIT_MILLIS = 200;

    /** A target that refuses connections is left alone for this long at first, twice as long after each further time. */
    private static final long FIRST_UNREACHABLE_MILLIS = 300;

    /** A crashed target is back after some seconds; it is tried again at least this often. */
    private static final long MAX_UNREACHABLE_MILLIS = 2_400;

    private static final int FAILURES_BEFORE_CLOSED = 3;
    private static final long SAME_CRASH_MILLIS = 100;
    private static final long CLOSED_MILLIS = 2_000;

    private final Object2ObjectHashMap<String, Target> rows = new Object2ObjectHashMap<>();
    private final TargetSignals signals = new TargetSignals();
    private final RateSenders senders;
    private final Map<String, WorkSpeed> serviceSpeeds = new HashMap<>();
    private final Map<String, Integer> maxConnections = new HashMap<>();

    /** Creates a table for a router that is the only one to send. */
    public TargetTable() {
        this(RateSenders.alone());
    }

    /** Creates a table for one of several routers. */
    public TargetTable(RateSenders senders) {
        this.senders = senders;
    }

    /** Returns every target. */
    public Collection<Target> rows() {
        return rows.values();
    }

    /** Returns a target by name. */
    public @Nullable Target get(String name) {
        return rows.get(name);
    }

    /** Takes over the platform's list: new targets appear, leaving ones get no new work, missing ones go. */
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
        Target known = rows.get(vm.name());
        boolean same = known != null && known.port == vm.port() && known.host.equals(vm.host());
        if (known == null || !same) {
            known = new Target(vm.name(), vm.host(), vm.port(), vm.failureDomain(), vm.serves(), speedOf(vm.serves()));
            rows.put(vm.name(), known);
        }
        known.serves = vm.serves();
        known.leaving = vm.leaving();
    }

    private WorkSpeed speedOf(Set<String> serves) {
        // Targets that serve several things are rare, and whatever they serve makes them slow or fast.
        String service = serves.stream().min(Comparator.naturalOrder()).orElse("");
        return serviceSpeeds.computeIfAbsent(service, ignored -> WorkSpeed.ofService());
    }

    /** Takes over what a target says of itself; another incarnation under the same name starts with an empty row. */
    public Target register(TargetEntry entry) {
        Target known = rows.get(entry.id());
        boolean same = known != null
                && known.port == entry.address().port()
                && known.host.equals(entry.address().host())
                && known.startedAtUnixMillis == entry.startedAtUnixMillis();
        if (known == null || !same) {
            known = new Target(
                    entry.id(),
                    entry.address().host(),
                    entry.address().port(),
                    entry.failureDomain(),
                    Set.of(entry.service()),
                    speedOf(Set.of(entry.service())));
            known.slots = Math.max(1, entry.slots());
            known.startedAtUnixMillis = entry.startedAtUnixMillis();
            known.signals = signals.of(entry.id(), entry.startedAtUnixMillis());
            rows.put(entry.id(), known);
        }
        known.leaving = entry.draining();
        return known;
    }

    /**
     * Notes that a target said in an answer that it is leaving; nothing takes that back but a new incarnation.
     *
     * @return whether that is new
     */
    public boolean onLeavingSaid(Target target) {
        TargetSignals.Signals kept = keptSignals(target);
        boolean isNew = !kept.saidLeaving;
        kept.saidLeaving = true;
        return isNew;
    }

    private TargetSignals.Signals keptSignals(Target target) {
        signals.keep(target.name, target.startedAtUnixMillis, target.signals);
        return target.signals;
    }

    private TargetSignals.Signals keptSignals(String name, long startedAtUnixMillis) {
        Target target = rows.get(name);
        if (target != null && target.startedAtUnixMillis == startedAtUnixMillis) {
            return keptSignals(target);
        }
        TargetSignals.Signals known = signals.of(name, startedAtUnixMillis);
        signals.keep(name, startedAtUnixMillis, known);
        return known;
    }

    /** Notes that a target said so to another router: it is a last resort from then on. */
    public void onLeavingHeard(String name, long startedAtUnixMillis) {
        keptSignals(name, startedAtUnixMillis).heardLeaving = true;
    }

    /** Notes that a target, which is sound, wants nothing from this router for some time; a shorter time ends no longer one. */
    public void onPauseAsked(Target target, long pauseMillis, long nowMillis) {
        TargetSignals.Signals kept = keptSignals(target);
        kept.pausedUntilMillis = Math.max(kept.pausedUntilMillis, nowMillis + pauseMillis);
    }

    /**
     * Notes how many requests a second a target takes from all routers together, as an answer says; empty if it names no limit.
     *
     * @param askedAtMillis when the request was sent; an answer to an earlier one does not end a limit
     * @return whether that is new
     */
    public boolean onRateLimitSaid(
            Target target, OptionalDouble requestsPerSecond, long askedAtMillis, long nowMillis) {
        RateLimit known = target.signals.rateLimit;
        if (requestsPerSecond.isEmpty() && (known == null || askedAtMillis < known.namedAtMillis())) {
            return false;
        }
        return noteRateLimit(target.name, target.startedAtUnixMillis, requestsPerSecond, nowMillis);
    }

    /**
     * Notes what another router was told of a target's limit.
     *
     * @return whether that is new
     */
    public boolean onRateLimitHeard(
            String name, long startedAtUnixMillis, OptionalDouble requestsPerSecond, long nowMillis) {
        return noteRateLimit(name, startedAtUnixMillis, requestsPerSecond, nowMillis);
    }

    private boolean noteRateLimit(
            String name, long startedAtUnixMillis, OptionalDouble requestsPerSecond, long nowMillis) {
        TargetSignals.Signals kept = keptSignals(name, startedAtUnixMillis);
        RateLimit known = kept.rateLimit;
        if (requestsPerSecond.isEmpty()) {
            kept.rateLimit = null;
            return known != null;
        }
        if (known != null) {
            return known.onNamed(requestsPerSecond.getAsDouble(), nowMillis);
        }
        kept.rateLimit = new RateLimit(RendezvousRank.hash(name), senders, requestsPerSecond.getAsDouble(), nowMillis);
        return true;
    }

    /** Forgets limits of which nothing was heard for long; returns the names of the targets, which are tried again. */
    public List<String> forgetLapsedRateLimits(long nowMillis) {
        return signals.forgetLapsedRateLimits(nowMillis);
    }

    /** Forgets a target; requests in progress there go on. */
    public void deregister(String name) {
        Target target = rows.remove(name);
        if (target != null) {
            target.leaving = true;
        }
    }

    /** Notes that a target takes no connections, or is another one than expected. */
    public void onUnreachable(Target target, long nowMillis) {
        target.closedMillis =
                Math.min(MAX_UNREACHABLE_MILLIS, Math.max(FIRST_UNREACHABLE_MILLIS, 2 * target.closedMillis));
        target.closedUntilMillis = nowMillis + target.closedMillis;
    }

    /** Takes over a load that came with an answer. */
    public void onLoad(Target target, int running, int waiting) {
        target.reportedLoad = running;
        target.waitingThere = waiting;
        target.dispatchedSinceReport = 0;
    }

    /** Notes how many connections each target of a service takes from all routers together. */
    public void setMaxConnections(String service, int connections) {
        maxConnections.put(service, connections);
    }

    /** A connection carries one request at a time. */
    private boolean hasConnectionLeft(Target target, String service) {
        Integer max = maxConnections.get(service);
        return max == null || target.inFlight < senders.connectionShare(target.nameHash, max);
    }

    /** Counts prompt tokens that a target has yet to read. */
    public void addPendingPrompt(Target target, long tokens) {
        target.pendingPromptTokens += tokens;
    }

    /** Counts prompt tokens that another router sent to a target; they count until the target has had the time to read them. */
    public void addForeignPrompt(Target target, long tokens, long nowMillis) {
        target.foreignPromptTokens = Placement.foreignPromptTokens(target, nowMillis) + tokens;
        target.foreignAtMillis = nowMillis;
    }

    /** Counts prompt tokens out that a target has read, or will not read any more. */
    public void removePendingPrompt(Target target, long tokens) {
        target.pendingPromptTokens -= tokens;
    }

    /** Returns the targets that may be sent new work for a model or service. */
    public List<Target> candidates(String serves, Set<String> excluded, long nowMillis) {
        return select(serves, excluded, nowMillis, TargetTable::promising);
    }

    /** Returns the targets to try where there are no candidates: also those that failed of late, or may be leaving. */
    public List<Target> lastResorts(String serves, Set<String> excluded, long nowMillis) {
        return select(serves, excluded, nowMillis, (target, atMillis) -> true);
    }

    /** Tells which targets of a service to take. */
    @FunctionalInterface
    private interface Condition {
        boolean holds(Target target, long nowMillis);
    }

    private static boolean promising(Target target, long nowMillis) {
        return target.closedUntilMillis <= nowMillis && !target.heardLeaving();
    }

    private List<Target> select(String serves, Set<String> excluded, long nowMillis, Condition condition) {
        List<Target> result = new ArrayList<>();
        for (Target target : rows.values()) {
            boolean wanted = !target.leaving() && target.serves.contains(serves) && !excluded.contains(target.name);
            if (wanted
                    && target.takesWork(nowMillis)
                    && hasConnectionLeft(target, serves)
                    && condition.holds(target, nowMillis)) {
                result.add(target);
            }
        }
        return result;
    }

    /**
     * Returns when the first target of a service takes work again; empty unless all that stay have asked for a pause, or have had
     * what they take in a second or at once.
     */
    public OptionalLong waitMillis(String serves, long nowMillis) {
        long leastMillis = Long.MAX_VALUE;
        for (Target target : rows.values()) {
            if (target.leaving() || !target.serves.contains(serves)) {
                continue;
            }
            boolean connectionLeft = hasConnectionLeft(target, serves);
            if (connectionLeft && target.takesWork(nowMillis)) {
                return OptionalLong.empty();
            }
            long connectionMillis = connectionLeft ? 0 : CONNECTION_WAIT_MILLIS;
            leastMillis = Math.min(leastMillis, Math.max(connectionMillis, target.waitMillis(nowMillis)));
        }
        return leastMillis == Long.MAX_VALUE ? OptionalLong.empty() : OptionalLong.of(leastMillis);
    }

    /** Returns whether any target, also one that takes no work now, serves a model or service. */
    public boolean knows(String serves) {
        for (Target target : rows.values()) {
            if (target.serves.contains(serves)) {
                return true;
            }
        }
        return false;
    }

    /** Returns those targets that no suspect request of this router is on. */
    public static List<Target> withoutSuspects(List<Target> candidates) {
        return candidates.stream().filter(target -> target.suspects == 0).toList();
    }

    /** Counts a suspect request in. */
    public void addSuspect(Target target) {
        target.suspects++;
    }

    /** Counts a suspect request out. */
    public void removeSuspect(Target target, boolean targetLost, long nowMillis) {
        target.suspects--;
        if (targetLost) {
            target.suspectLostAtMillis = nowMillis;
        }
    }

    /** Returns whether a suspect request was on a target that broke just now. */
    public boolean suspectInvolved(Target target, long nowMillis) {
        return target.suspects > 0 || nowMillis - target.suspectLostAtMillis < SAME_CRASH_MILLIS;
    }

    /** Notes that the target should begin an answer after some time, as far as this router can tell. */
    public Awaited await(Placement.Choice choice, long nowMillis) {
        return choice.target().await(choice.estimateMillis(), nowMillis);
    }

    /** Learns from the first event of an answer, before which the target had to read so many tokens. */
    public void onFirstEvent(Target target, long unreadTokens, long elapsedMillis, long nowMillis) {
        target.speed.onFirstEvent(unreadTokens, elapsedMillis, nowMillis);
    }

    /** Learns from a whole answer. */
    public void onAnswer(Target target, long elapsedMillis, long nowMillis) {
        target.speed.onAnswer(elapsedMillis, nowMillis);
    }

    /** Counts a dispatch. */
    public void onDispatched(Target target, long nowMillis) {
        RateLimit limit = target.signals.rateLimit;
        if (limit != null) {
            limit.onSent(nowMillis);
        }
        target.inFlight++;
        target.dispatchedSinceReport++;
    }

    /** Counts the end of a dispatch. */
    public void onFinished(Target target, boolean answered, long nowMillis) {
        target.inFlight--;
        if (answered) {
            target.consecutiveFailures = 0;
            target.closedMillis = 0;
            return;
        }
        target.consecutiveFailures++;
        if (target.consecutiveFailures >= FAILURES_BEFORE_CLOSED) {
            target.consecutiveFailures = 0;
            target.closedUntilMillis = nowMillis + CLOSED_MILLIS;
        }
    }

    /** Returns whether a target is to be asked for its load now, and notes that it is. */
    public boolean probeDue(Target target, long nowMillis, long periodMillis) {
        if (nowMillis < target.nextProbeAtMillis) {
            return false;
        }
        target.nextProbeAtMillis = nowMillis + periodMillis;
        return true;
    }

    /** Takes over a load report. */
    public void onLoad(Target target, int load, boolean leaving, long nowMillis) {
        target.reportedLoad = load;
        target.dispatchedSinceReport = 0;
        target.reportedAtMillis = nowMillis;
        target.leaving |= leaving;
    }
}
