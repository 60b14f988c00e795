package org.radishspan.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.radishspan.budget.TokenSource;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.ServiceSpec;
import org.radishspan.deployment.Workspace;
import org.radishspan.routing.PromptShape;

/** The state of a request that the {@link RelaySystem} relays, from its acceptance until its final answer. */
final class RelayRequest {

    final CallerRequest callerRequest;
    final Route route;
    final String service;
    final Optional<ServiceSpec> serviceSpec;
    final Optional<Workspace> workspace;
    final @Nullable PromptShape promptShape;
    final CallerExchange exchange;
    final long acceptedAtMillis;
    final long deadlineAtMillis;
    final int urgency;
    final boolean deferrable;

    /** Whether the request has got its final answer, or its caller has disconnected. */
    boolean finished;

    /** The tokens to settle when the request ends; null if none are reserved. */
    TokenSource.@Nullable ReservedTokens reservedTokens;

    /** The attempt in progress; null while there is none. */
    @Nullable
    Attempt attempt;

    /** How often the request was sent or is being sent to a target. */
    int sends;

    /** The number of targets that may have run the request and whose attempts have ended without a final answer. */
    int targetsThatMayHaveRun;

    /** Whether an earlier attempt failed after bytes of the request were sent, so that the retry budget limits its repetition. */
    boolean reachedTarget;

    /** Whether the head of the answer was relayed, after which the caller cannot get another answer. */
    boolean headRelayed;

    long relayedEvents;
    long firstEventAtMillis;
    long lastEventAtMillis;
    long longestPauseMillis;

    /** The estimated time of the attempt that began to answer until its first event, and the actual one. */
    long estimateMillis;

    long estimatedPartMillis;
    OptionalLong lastEventId;
    final Set<String> triedTargets = new HashSet<>();

    private @Nullable List<String> fingerprints;

    /** The software version of the targets whose events the caller has got; null while it has none. */
    @Nullable
    String softwareVersion;

    /** The head of the stream, which is relayed with the first event. */
    TargetProtocol.@Nullable AnswerHead streamHead;

    /**
     * What the configuration in force specifies for a request when it arrives.
     *
     * @param route the route that the request matches
     * @param service the service that serves it
     * @param serviceSpec the specification of the service; empty if the configuration has none
     * @param workspace the caller's workspace; empty if the caller is anonymous
     * @param deferrable whether other calls of the workspace to the service are more urgent
     */
    record Terms(
            Route route,
            String service,
            Optional<ServiceSpec> serviceSpec,
            Optional<Workspace> workspace,
            boolean deferrable) {}

    RelayRequest(
            CallerRequest callerRequest,
            Terms terms,
            CallerExchange exchange,
            long acceptedAtMillis,
            long deadlineAtMillis) {
        this.callerRequest = callerRequest;
        this.route = terms.route();
        this.service = terms.service();
        this.serviceSpec = terms.serviceSpec();
        this.workspace = terms.workspace();
        this.deferrable = terms.deferrable();
        this.exchange = exchange;
        this.acceptedAtMillis = acceptedAtMillis;
        this.deadlineAtMillis = deadlineAtMillis;
        this.lastEventId = callerRequest.lastEventId();
        this.urgency = urgency(route, workspace);
        this.promptShape =
                callerRequest.prompt().map(prompt -> promptShape(prompt)).orElse(null);
    }

    /** Returns the priority of a request; that of the workspace takes precedence over that of the route. */
    static int urgency(Route route, Optional<Workspace> workspace) {
        return workspace.isPresent() ? workspace.get().priority().orElse(route.priority()) : route.priority();
    }

    private static PromptShape promptShape(Prompt prompt) {
        return new PromptShape(
                prompt.sharedPartId(),
                prompt.parts().stream().map(Prompt.Part::id).toList(),
                prompt.parts().stream().map(Prompt.Part::tokens).toList());
    }

    String id() {
        return callerRequest.requestId();
    }

    /** Returns the fingerprints by which crashes of targets are recorded for the request. */
    List<String> fingerprints() {
        List<String> known = fingerprints;
        if (known == null) {
            known = callerRequest.fingerprints(service);
            fingerprints = known;
        }
        return known;
    }

    /** Returns the fingerprints of the parts of the prompt, without that of the whole request. */
    List<String> partFingerprints() {
        return callerRequest.partFingerprints(service);
    }

    /** Returns the ids of the parts of the prompt, separated by commas; an empty text if there is no prompt. */
    String partIds() {
        return promptShape == null ? "" : String.join(",", promptShape.partIds());
    }

    /** Counts an event that is relayed to the caller, and measures the pause before it. */
    void recordEvent(long nowMillis) {
        if (relayedEvents == 0) {
            firstEventAtMillis = nowMillis;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastEventAtMillis);
        }
        lastEventAtMillis = nowMillis;
        relayedEvents++;
    }

    long remainingMillis(long nowMillis) {
        return deadlineAtMillis - nowMillis;
    }

    /** Returns the maximum number of output tokens that the caller can have received. */
    long deliveredTokens() {
        int tokensPerEvent = serviceSpec.map(ServiceSpec::tokensPerEvent).orElse(0);
        return relayedEvents * tokensPerEvent;
    }
}
