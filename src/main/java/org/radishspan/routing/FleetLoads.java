package org.radishspan.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.agrona.collections.Int2ObjectHashMap;
import org.jspecify.annotations.Nullable;

/**
 * The loads, paces and speeds of targets that the routers of the fleet have received, as far as they are known here.
 *
 * <p>Load addressed: about 400 to 600 requests a second from 80 routers to 100 engines. A router gets an answer of an
 * engine about once in 20 s, and all routers together about four times a second, so routers share what answers report.
 * {@link LoadView} holds what is known of one target. Nothing here is used until a target has reported a pace, or {@link
 * #activate} was called.
 */
public final class FleetLoads {

    /**
     * The load that a target reported.
     *
     * @param running the requests that it processes
     * @param waiting the requests that wait for a slot
     * @param pacePercent how long work takes on its VM, in percent of the usual time; 0 if that is not known
     */
    public record Report(int running, int waiting, int pacePercent) {}

    /**
     * Measured speeds of a target at the usual pace, each the mean of some answers.
     *
     * @param startAnswers the number of answers from which the start time was measured
     * @param startMillis the time to the first event without the reading of the prompt
     * @param readAnswers the number of answers from which the reading time was measured
     * @param readMillisPerToken the time to read one prompt token
     */
    public record Speeds(int startAnswers, double startMillis, int readAnswers, double readMillisPerToken) {}

    /** Receives what this router itself learns about targets, which other routers need. */
    public interface Listener {
        /** Called when a target has reported its load in an answer. */
        void onReport(Target target, Report report, long nowMillis);

        /** Called when the speed of a target was measured with an answer. */
        void onSpeeds(Target target, Speeds speeds);

        /** Called when a request that occupies memory was sent to a target. */
        void onRequestTokens(long tokens);

        /** Called when a target has reported a load that cannot be true. */
        void onInvalidReport(Target target, Report report, String reason);
    }

    /** Lower bound of a credible pace: a tenth of the usual time. */
    private static final int MIN_PACE_PERCENT = 10;

    /** Upper bound of a credible pace. A target that is really slower serves no request before its deadline. */
    private static final int MAX_PACE_PERCENT = 2_000;

    /** Upper bound of a credible load, as a multiple of the target's slots. */
    private static final int MAX_LOAD_PER_SLOT = 100;

    /** Own requests that were sent longer ago than this have arrived at the target. */
    private static final long ARRIVED_MILLIS = 1_000;

    /** Bound of the ratio of one measured time to the usual one, so that a single answer has a limited effect. */
    private static final double MAX_LOG_RATIO = Math.log(8);

    /** Fraction of the time to a first event that is attributed to the start at least, not to the reading of the prompt. */
    private static final double MIN_START_FRACTION = 0.2;

    /** Lower bounds of measured times, which are compared by their logarithms. */
    private static final double MIN_START_MILLIS = 0.1;

    private static final double MIN_READ_MILLIS_PER_TOKEN = 1e-5;

    /** Upper bounds of measured times, above any deadline. */
    private static final double MAX_START_MILLIS = 100_000;

    private static final double MAX_READ_MILLIS_PER_TOKEN = 100;

    private final Map<String, ServiceLoads> services = new HashMap<>();
    private final Int2ObjectHashMap<Target> byKey = new Int2ObjectHashMap<>();
    private final Set<Integer> ambiguousKeys = new HashSet<>();
    private boolean active;
    private @Nullable Listener listener;

    /** Lets estimates use the loads even if no target reports a pace. */
    public void activate() {
        active = true;
    }

    /** Returns whether estimates use the loads. */
    public boolean active() {
        return active;
    }

    /** Sets the listener of what this router itself learns. */
    public void setListener(Listener listener) {
        this.listener = listener;
    }

    ServiceLoads service(String name) {
        return services.computeIfAbsent(name, ignored -> new ServiceLoads(this::active));
    }

    /** Returns the number by which routers refer to an incarnation of a target. */
    public static int key(Target target) {
        return RendezvousRank.hash(target.name + "/" + target.startedAtUnixMillis);
    }

    /** Adds a target to those that peers report. Targets with the same key cannot be told apart, so none of them is added. */
    void add(Target target) {
        int key = key(target);
        Target previous = byKey.put(key, target);
        if (previous != null && !previous.name.equals(target.name)) {
            ambiguousKeys.add(key);
        }
        if (ambiguousKeys.contains(key)) {
            byKey.remove(key);
        }
    }

    void remove(Target target) {
        int key = key(target);
        if (byKey.get(key) == target) {
            byKey.remove(key);
        }
    }

    /** Applies the load that a target reported in an answer to this router. */
    void onReport(Target target, int running, int waiting, OptionalInt pacePercent, long nowMillis) {
        Report raw = new Report(running, waiting, pacePercent.orElse(0));
        active |= pacePercent.isPresent();
        if (!active) {
            return;
        }
        invalidReason(target, raw, pacePercent.isPresent(), nowMillis)
                .ifPresent(reason -> notifyInvalid(target, raw, reason));
        Report report = clamp(raw, target.slots);
        target.load.apply(report, nowMillis, target.inFlight);
        Listener current = listener;
        if (current != null) {
            current.onReport(target, report, nowMillis);
        }
    }

    private void notifyInvalid(Target target, Report report, String reason) {
        Listener current = listener;
        if (current != null) {
            current.onInvalidReport(target, report, reason);
        }
    }

    private static Optional<String> invalidReason(Target target, Report report, boolean hasPace, long nowMillis) {
        if (hasPace && (report.pacePercent() < MIN_PACE_PERCENT || report.pacePercent() > MAX_PACE_PERCENT)) {
            return Optional.of("the pace is not credible");
        }
        long maxLoad = (long) MAX_LOAD_PER_SLOT * target.slots;
        if (report.running() < 0 || report.waiting() < 0 || report.running() > maxLoad || report.waiting() > maxLoad) {
            return Optional.of("the load is not credible");
        }
        // The end of one request may be on its way to this router.
        int arrived = target.inFlight - target.load.sentAfter(nowMillis - ARRIVED_MILLIS) - 1;
        if (report.running() + report.waiting() < arrived) {
            return Optional.of("this router alone has more requests there");
        }
        return Optional.empty();
    }

    /** Returns a report with all figures within credible bounds; a pace of 0 or less becomes unknown. */
    private static Report clamp(Report report, int slots) {
        int maxLoad = (int) Math.min(Integer.MAX_VALUE / 4, (long) MAX_LOAD_PER_SLOT * slots);
        int pacePercent = report.pacePercent() <= 0
                ? 0
                : Math.max(MIN_PACE_PERCENT, Math.min(MAX_PACE_PERCENT, report.pacePercent()));
        return new Report(
                Math.max(0, Math.min(maxLoad, report.running())),
                Math.max(0, Math.min(maxLoad, report.waiting())),
                pacePercent);
    }

    /** Returns the time since the newest report of a target that any router received; a very long time if there is none. */
    public long reportAgeMillis(Target target, long nowMillis) {
        return target.load.ageMillis(nowMillis);
    }

    /**
     * Applies the load of a target that a peer reported. Returns whether it was applied; it is not if the target or its
     * incarnation is not known, or if a newer report is.
     */
    public boolean onPeerReport(int key, Report raw, long ageMillis, long nowMillis) {
        Target target = byKey.get(key);
        active |= raw.pacePercent() > 0;
        if (target == null || ageMillis < 0) {
            return false;
        }
        target.load.service().peerReportAtMillis = nowMillis;
        return target.load.apply(clamp(raw, target.slots), nowMillis - ageMillis, target.inFlight);
    }

    /** Applies speeds of a target that a peer measured; ignored if the target or its incarnation is not known. */
    public void onPeerSpeeds(int key, Speeds speeds, long nowMillis) {
        Target target = byKey.get(key);
        if (target != null) {
            applySpeeds(target, speeds, nowMillis);
        }
    }

    /** Adds requests that peers have sent to the distribution of sizes. */
    public void onPeerRequests(long requests, double tokens, double tokensSquared, long largest, long nowMillis) {
        services.values().forEach(service -> service.sizes.add(requests, tokens, tokensSquared, largest, nowMillis));
    }

    /** Adds a request that this router sends to a target. */
    void onRequestTokens(Target target, long tokens, long nowMillis) {
        if (!active || tokens <= 0) {
            return;
        }
        target.load.service().sizes.add(1, tokens, (double) tokens * tokens, tokens, nowMillis);
        Listener current = listener;
        if (current != null) {
            current.onRequestTokens(tokens);
        }
    }

    /** Measures the speed of a target with a first event that took {@code elapsedMillis}. */
    void onFirstEvent(Target target, long unreadTokens, long elapsedMillis, long nowMillis) {
        target.load.service().streams = true;
        measure(target, unreadTokens, elapsedMillis, nowMillis);
    }

    /** Measures the speed of a target of a service without streams with the duration of an answer. */
    void onAnswer(Target target, long elapsedMillis, long nowMillis) {
        if (!target.load.service().streams) {
            measure(target, 0, elapsedMillis, nowMillis);
        }
    }

    /** Measures a target with an answer, unless requests wait there: the time then says nothing about the speed. */
    private void measure(Target target, long unreadTokens, long elapsedMillis, long nowMillis) {
        LoadView view = target.load;
        if (!active || view.reportedWaiting() > 0) {
            return;
        }
        double usualMillis = Math.max(MIN_START_MILLIS, elapsedMillis / view.pace(nowMillis));
        view.service().logFirstEventMillis.add(Math.log(usualMillis));
        Speeds speeds = speeds(view, unreadTokens, usualMillis, nowMillis);
        applySpeeds(target, speeds, nowMillis);
        Listener current = listener;
        if (current != null) {
            current.onSpeeds(target, speeds);
        }
    }

    private static Speeds speeds(LoadView view, long unreadTokens, double usualMillis, long nowMillis) {
        double slowness = view.slowness(nowMillis);
        double startMillis = view.service().startMillis(WorkSpeed.ASSUMED_START_MILLIS) * slowness;
        if (unreadTokens < WorkSpeed.MIN_READ_TOKENS) {
            double usualReadMillis = view.service().readMillisPerToken(WorkSpeed.ASSUMED_READ_MILLIS_PER_TOKEN);
            double ownReadMillis = unreadTokens * usualReadMillis * slowness;
            return new Speeds(1, Math.max(MIN_START_FRACTION * usualMillis, usualMillis - ownReadMillis), 0, 0);
        }
        double readMillis = Math.max(0, usualMillis - startMillis);
        return new Speeds(0, 0, 1, Math.max(MIN_READ_MILLIS_PER_TOKEN, readMillis / unreadTokens));
    }

    private static void applySpeeds(Target target, Speeds speeds, long nowMillis) {
        ServiceLoads service = target.load.service();
        if (speeds.startAnswers() > 0 && speeds.startMillis() > 0) {
            double millis = Math.max(MIN_START_MILLIS, Math.min(MAX_START_MILLIS, speeds.startMillis()));
            addSpeed(target.load, service.logStartMillis, Math.log(millis), speeds.startAnswers(), nowMillis);
        }
        if (speeds.readAnswers() > 0 && speeds.readMillisPerToken() > 0) {
            double millis = Math.max(
                    MIN_READ_MILLIS_PER_TOKEN, Math.min(MAX_READ_MILLIS_PER_TOKEN, speeds.readMillisPerToken()));
            addSpeed(target.load, service.logReadMillisPerToken, Math.log(millis), speeds.readAnswers(), nowMillis);
        }
    }

    private static void addSpeed(LoadView view, DecayingMean usual, double logMillis, int answers, long nowMillis) {
        double ratio = logMillis - usual.orElse(logMillis);
        double bounded = Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, ratio));
        view.addSpeedRatio(bounded, answers, nowMillis);
        usual.add(usual.orElse(logMillis) + bounded, answers);
    }
}
