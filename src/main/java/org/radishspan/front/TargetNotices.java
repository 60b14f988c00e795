package org.radishspan.front;

import java.util.List;
import java.util.OptionalDouble;

import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.PromptSent;
import org.radishspan.proto.TargetLeaving;
import org.radishspan.proto.TargetRateLimit;
import org.radishspan.relay.RelaySystem;
import org.radishspan.routing.Placement;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;

/**
 * Exchanges notices about targets with the other routers: prompts sent, announced stops, and rate limits.
 *
 * <p>Notices are hints. If one is lost, this router learns the load, the announced stop and the rate limit of a target from
 * the next answer that it receives from the target.
 */
final class TargetNotices implements RelaySystem.TargetListener {
    /**
     * Minimum prompt size for a notice. A smaller prompt takes an engine less than 10 ms to read and does not justify a
     * message.
     */
    private static final long MIN_NOTICE_TOKENS = 300;

    private final TargetTable targets;
    private final PeerSystem peers;
    private final EventLog log;

    TargetNotices(TargetTable targets, PeerSystem peers, EventLog log) {
        this.targets = targets;
        this.peers = peers;
        this.log = log;
    }

    @Override
    public void promptSent(Target target, long uncachedTokens, List<String> sharedPartIds) {
        boolean smallFleet = peers.table().rows().size() <= Placement.MAX_NOTICE_PEERS;
        if (smallFleet && uncachedTokens >= MIN_NOTICE_TOKENS) {
            peers.announcePrompt(PromptSent.newBuilder()
                    .setTarget(target.name())
                    .setUncachedTokens(uncachedTokens)
                    .addAllSharedParts(sharedPartIds)
                    .build());
        }
    }

    void onPromptSent(PromptSent prompt, long nowMillis) {
        Target target = targets.get(prompt.getTarget());
        if (target != null) {
            targets.addPeerPrompt(target, prompt.getUncachedTokens(), nowMillis);
            target.cachedParts().onReadForPeer(prompt.getSharedPartsList(), prompt.getUncachedTokens(), nowMillis);
        }
    }

    @Override
    public void onTargetLeaving(Target target) {
        if (!target.leavingReportedByPeer()) {
            peers.announceLeaving(TargetLeaving.newBuilder()
                    .setTarget(target.name())
                    .setStartedAtUnixMillis(target.startedAtUnixMillis())
                    .build());
        }
    }

    void onLeaving(TargetLeaving leaving) {
        targets.onLeavingReportedByPeer(leaving.getTarget(), leaving.getStartedAtUnixMillis());
    }

    @Override
    public void onRateLimitChanged(Target target, OptionalDouble before) {
        OptionalDouble now = target.requestsPerSecond();
        TargetRateLimit.Builder notice = TargetRateLimit.newBuilder()
                .setTarget(target.name())
                .setStartedAtUnixMillis(target.startedAtUnixMillis());
        now.ifPresent(notice::setRequestsPerSecond);
        peers.announceRateLimit(notice.build());
        logRateLimit(target.name(), before, now, "answer");
    }

    void onRateLimit(String vm, TargetRateLimit limit, long nowMillis) {
        Target target = targets.get(limit.getTarget());
        OptionalDouble before = target == null ? OptionalDouble.empty() : target.requestsPerSecond();
        OptionalDouble now =
                limit.hasRequestsPerSecond() ? OptionalDouble.of(limit.getRequestsPerSecond()) : OptionalDouble.empty();
        if (targets.onRateLimitReportedByPeer(limit.getTarget(), limit.getStartedAtUnixMillis(), now, nowMillis)) {
            logRateLimit(limit.getTarget(), before, now, vm);
        }
    }

    /** Removes rate limits that have lapsed because no target or router has reported them for long, and logs each removal. */
    void tick(long nowMillis) {
        for (String target : targets.removeExpiredRateLimits(nowMillis)) {
            logRateLimit(target, OptionalDouble.empty(), OptionalDouble.empty(), "not reported recently");
        }
    }

    private void logRateLimit(String target, OptionalDouble before, OptionalDouble now, String source) {
        log.belief("target_rate_limit")
                .with("target", target)
                .with("requests_per_s", format(now))
                .with("requests_per_s_before", format(before))
                .with("source", source)
                .write();
    }

    private static String format(OptionalDouble requestsPerSecond) {
        return requestsPerSecond.isEmpty() ? "" : Double.toString(requestsPerSecond.getAsDouble());
    }
}
