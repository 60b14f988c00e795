package org.radishspan.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.budget.TokenSource;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.RouteKind;
import org.radishspan.deployment.Workspace;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that waiting requests do not hold the tokens that others need, and that each reservation is returned once. */
public class WaitingTokensTest {
    private static final long REQUEST_TOKENS = 1_000;

    /** Grants every reservation, at once or when the test says so. */
    private static final class Source implements TokenSource {
        final Deque<Runnable> pending = new ArrayDeque<>();
        boolean late;
        long reservedTokens;

        @Override
        public void reserve(
                String budget, long tokens, boolean deferrable, Consumer<Either<Refusal, ReservedTokens>> done) {
            pending.add(() -> {
                reservedTokens += tokens;
                done.accept(Either.right(new ReservedTokens(budget, tokens, "", 0, Optional.empty())));
            });
            if (!late) {
                pending.remove().run();
            }
        }

        @Override
        public void cancel(ReservedTokens reserved) {
            reservedTokens -= reserved.tokens();
        }

        @Override
        public void bill(ReservedTokens reserved, long tokens, Consumer<Either<Failure, Void>> done) {
            reservedTokens -= reserved.tokens();
        }
    }

    private Source source = new Source();
    private TokenMeter meter = new TokenMeter(source, EventLog.silent());
    private WaitingTokens tokens = new WaitingTokens(meter, () -> 2);

    /** With 500,000 prepaid tokens and two routers, the waiting requests of each may hold 2,500. */
    @BeforeMethod
    public void createQueueTokens() {
        source = new Source();
        meter = new TokenMeter(source, EventLog.silent());
        tokens = new WaitingTokens(meter, () -> 2);
    }

    private RelayRequest waitingRequest() {
        Route route = new Route(
                "r",
                "h",
                "/r/",
                RouteKind.STREAM,
                2_000,
                200,
                1,
                List.of(new Route.Split("s", 1)),
                1,
                false,
                true,
                false,
                400,
                Set.of());
        Workspace workspace = new Workspace("w", List.of("k"), OptionalInt.empty(), OptionalLong.of(500_000), Set.of());
        CallerRequest callerRequest = new CallerRequest(
                "id",
                "POST",
                "/r/x",
                "h",
                List.of(),
                new byte[0],
                Optional.of("k"),
                OptionalLong.empty(),
                Optional.of(new Prompt(REQUEST_TOKENS - 100, 100, List.of())),
                OptionalLong.empty(),
                Optional.empty());
        RelayRequest request = new RelayRequest(
                callerRequest,
                new RelayRequest.Terms(route, "s", Optional.empty(), Optional.of(workspace), false),
                new RelayHarness.Caller(),
                0,
                1_000);
        meter.reserve(request, () -> {}, failure -> {});
        tokens.onWaiting(request);
        return request;
    }

    private boolean ready(RelayRequest request) {
        return tokens.ready(request, () -> {}, failure -> {});
    }

    @Test
    public void onlyAFractionOfTheBudgetIsHeld() {
        for (int i = 0; i < 20; i++) {
            waitingRequest();
        }
        assertEquals(source.reservedTokens, 2 * REQUEST_TOKENS);
    }

    @Test
    public void returnedTokensAreReservedAgainForTheSend() {
        List<RelayRequest> requests = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            requests.add(waitingRequest());
        }
        RelayRequest returned = requests.get(2);
        assertTrue(returned.reservedTokens == null);
        assertTrue(ready(returned));
        assertTrue(returned.reservedTokens != null);
        assertEquals(source.reservedTokens, 3 * REQUEST_TOKENS);
    }

    /** Guards against all waiting requests reserving tokens while one place is free. */
    @Test
    public void fewRequestsReserveAgainAtATime() {
        List<RelayRequest> requests = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            requests.add(waitingRequest());
        }
        source.late = true;
        requests.forEach(this::ready);
        assertEquals(source.pending.size(), 4);
        assertFalse(ready(requests.get(2)), "a pending reservation is not repeated");
        source.pending.remove().run();
        assertTrue(ready(requests.get(2)));
        assertEquals(source.pending.size(), 3);
        tokens.onLeft(requests.get(2));
        requests.forEach(this::ready);
        assertEquals(source.pending.size(), 4, "a request that left makes room for another");
    }

    /** Guards against tokens that stay reserved when a caller leaves while they are being reserved again. */
    @Test
    public void nothingStaysReservedWhenRequestsEnd() {
        List<RelayRequest> requests = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            requests.add(waitingRequest());
        }
        source.late = true;
        requests.forEach(this::ready);
        for (RelayRequest request : requests) {
            request.finished = true;
            tokens.onLeft(request);
            meter.settle(request, false);
        }
        while (!source.pending.isEmpty()) {
            source.pending.remove().run();
        }
        assertEquals(source.reservedTokens, 0);
        waitingRequest();
    }

    /** The tokens of a request that may have run are needed for its bill. */
    @Test
    public void tokensOfARequestThatWasSentAreKept() {
        waitingRequest();
        waitingRequest();
        RelayRequest sent = waitingRequest();
        assertTrue(ready(sent));
        tokens.onLeft(sent);
        sent.sends = 1;
        tokens.onWaiting(sent);
        assertTrue(sent.reservedTokens != null);
    }
}
