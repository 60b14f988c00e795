package org.radishspan.relay;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.radishspan.budget.TokenSource;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;

/** Reserves the maximum number of tokens that a request can use before it is placed, and bills the used tokens when it ends. */
final class TokenMeter {
    /** The retry delay while other routers hold the tokens; they return the tokens that they can spare within a second. */
    /**
     * A budget with less than this fraction unspent is exhausted once the ledger and its keepers have refused a request: calls in
     * progress hold the rest. The users' terms promise service only within the other 97%.
     */
    private static final double NEARLY_SPENT_FRACTION = 0.03;

    private static final long TOKENS_ELSEWHERE_RETRY_MILLIS = 600;

    /**
     * The retry delay until a budget is topped up. Operators top up budgets by changing the configuration, which takes longer
     * than a caller usually waits.
     */
    private static final long TOP_UP_RETRY_MILLIS = 10_000;

    /** The maximum retry delay during an outage of the ledger. */
    private static final long MAX_OUTAGE_RETRY_MILLIS = 4_000;

    private final TokenSource source;
    private final EventLog log;

    TokenMeter(TokenSource source, EventLog log) {
        this.source = source;
        this.log = log;
    }

    /**
     * Reserves tokens if the request has a prompt and its workspace has a prepaid budget. At most one of the callbacks is run,
     * now or later: {@code onGranted} once the tokens are reserved or if none are needed, {@code onRefused} if they cannot be
     * reserved. Neither is run if the request has ended by then.
     */
    void reserve(RelayRequest request, Runnable onGranted, Consumer<Failure> onRefused) {
        Optional<Prompt> prompt = request.callerRequest.prompt();
        Optional<Workspace> prepaidWorkspace =
                request.workspace.filter(workspace -> workspace.prepaidTokens().isPresent());
        if (prepaidWorkspace.isEmpty() || prompt.isEmpty()) {
            onGranted.run();
            return;
        }
        String budget = prepaidWorkspace.get().name();
        long prepaidTokens = prepaidWorkspace.get().prepaidTokens().getAsLong();
        long tokens = prompt.get().worstCaseTokens();
        long remainingMillis = request.remainingMillis(request.acceptedAtMillis);
        source.reserve(budget, tokens, request.deferrable, remainingMillis, result -> {
            if (request.finished) {
                result.peek(source::cancel);
                return;
            }
            if (result.isLeft()) {
                onRefused.accept(refusal(request, budget, tokens, prepaidTokens, result.getLeft()));
                return;
            }
            request.reservedTokens = result.get();
            onGranted.run();
        });
    }

    /**
     * Returns the failure of a request for which no tokens could be reserved. The failure states that the budget is exhausted
     * only if the whole fleet has too few unspent tokens, or hardly any. Otherwise other routers hold the tokens, or the ledger did not answer.
     */
    private Failure refusal(
            RelayRequest request, String budget, long tokens, long prepaidTokens, TokenSource.Refusal refusal) {
        Failure failure = refusal.failure();
        OptionalLong unspent = refusal.unspentTokens();
        boolean budgetExhausted = failure.kind() == ErrorKind.BUDGET_EXHAUSTED
                && unspent.isPresent()
                && unspent.getAsLong() < Math.max(tokens, prepaidTokens * NEARLY_SPENT_FRACTION);
        log.trouble("no_tokens", request.id())
                .with("budget", budget)
                .with("tokens", tokens)
                .with("deferrable", request.deferrable)
                .with("keeper", refusal.keeper())
                .with("ledger", failure.kind().wireName())
                .with("reason", failure.message())
                .with("ledger_silent_ms", refusal.ledgerUnansweredMillis())
                .with("bound_ms_left", refusal.boundRemainingMillis())
                .with("unspent_tokens", unspent.orElse(-1))
                .with("used_up", budgetExhausted)
                .with("until_top_up", refusal.needsTopUp())
                .with("holdings", holdings(refusal))
                .write();
        if (budgetExhausted) {
            return Failure.notRun(ErrorKind.BUDGET_EXHAUSTED, failure.message());
        }
        return Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, failure.message()).retryAfter(retryMillis(refusal));
    }

    /**
     * Formats the tokens held by the routers that refused the reservation, each as {@code vm:granted/available/reserved}. This
     * router is written as {@code here} instead of its VM.
     */
    private static String holdings(TokenSource.Refusal refusal) {
        return refusal.holdings().stream()
                .map(holding -> (holding.keeper().isEmpty() ? "here" : holding.keeper()) + ":" + holding.grantedTokens()
                        + "/" + holding.availableTokens() + "/" + holding.reservedTokens())
                .collect(Collectors.joining(" "));
    }

    private static long retryMillis(TokenSource.Refusal refusal) {
        long unansweredMillis = refusal.ledgerUnansweredMillis();
        if (unansweredMillis > 0 && refusal.boundRemainingMillis() > 0) {
            return refusal.boundRemainingMillis();
        }
        if (refusal.needsTopUp()) {
            return TOP_UP_RETRY_MILLIS;
        }
        // On average, an outage that has lasted for some time continues for the same time again.
        return Math.max(TOKENS_ELSEWHERE_RETRY_MILLIS, Math.min(MAX_OUTAGE_RETRY_MILLIS, unansweredMillis));
    }

    /**
     * Bills the tokens that a request used. If that number is not known, all reserved tokens are billed; if the request cannot
     * have run, the reservation is cancelled.
     */
    void settle(RelayRequest request, boolean answered) {
        TokenSource.ReservedTokens reserved = request.reservedTokens;
        request.reservedTokens = null;
        if (reserved == null) {
            return;
        }
        if (request.targetsThatMayHaveRun == 0 && !answered) {
            source.cancel(reserved);
            return;
        }
        long inputTokens =
                request.callerRequest.prompt().map(Prompt::inputTokens).orElse(0L);
        long tokens = answered ? inputTokens + request.deliveredTokens() : reserved.tokens();
        log.request("request_billed", request.id())
                .with("budget", reserved.budget())
                .with("tokens", tokens)
                .with("reserved_tokens", reserved.tokens())
                .with("input_tokens", inputTokens)
                .with("events", request.relayedEvents)
                .with("answered", answered)
                .write();
        source.bill(reserved, tokens, result -> {
            if (result.isLeft()) {
                log.trouble("bill_lost", request.id())
                        .with("reason", result.getLeft().message())
                        .write();
            }
        });
    }
}
