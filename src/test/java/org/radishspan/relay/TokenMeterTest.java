package org.radishspan.relay;

import java.util.ArrayList;
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
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what callers are told if no tokens can be reserved for their requests. */
public class TokenMeterTest {
    private static final long PREPAID_TOKENS = 1_000_000;

    /** Refuses every reservation with the given figures. */
    private record RefusingSource(ErrorKind kind, long unspentTokens, List<Holding> holdings) implements TokenSource {
        @Override
        public void reserve(
                String budget, long tokens, boolean deferrable, Consumer<Either<Refusal, ReservedTokens>> done) {
            Failure failure = Failure.notRun(kind, "too few free tokens");
            done.accept(
                    Either.left(new Refusal(failure, "vm-1", OptionalLong.of(unspentTokens), 0, 0, holdings, false)));
        }

        @Override
        public void cancel(ReservedTokens reserved) {}

        @Override
        public void bill(ReservedTokens reserved, long tokens, Consumer<Either<Failure, Void>> done) {}
    }

    private static TokenSource.Holding holding(String vm, long reservedTokens) {
        return new TokenSource.Holding(vm, 100_000, 100, reservedTokens);
    }

    private static Failure refusal(TokenSource source) {
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
        Workspace workspace =
                new Workspace("w", List.of("k"), OptionalInt.empty(), OptionalLong.of(PREPAID_TOKENS), Set.of());
        CallerRequest callerRequest = new CallerRequest(
                "id",
                "POST",
                "/r/x",
                "h",
                List.of(),
                new byte[0],
                Optional.of("k"),
                OptionalLong.empty(),
                Optional.of(new Prompt(900, 100, List.of())),
                OptionalLong.empty(),
                Optional.empty());
        RelayRequest.Terms terms = new RelayRequest.Terms(route, "s", Optional.empty(), Optional.of(workspace), false);
        List<Failure> failures = new ArrayList<>();
        new TokenMeter(source, EventLog.silent())
                .reserve(
                        new RelayRequest(callerRequest, terms, new RelayHarness.Caller(), 0, 1_000),
                        () -> {},
                        failures::add);
        return failures.get(0);
    }

    /** Budgets of which few tokens are unspent. */
    public static class NearlySpent {
        @Test
        public void thatCallsInProgressMayUseUpAreReportedAsExhausted() {
            Failure failure = refusal(new RefusingSource(
                    ErrorKind.BUDGET_EXHAUSTED, 29_000, List.of(holding("vm-1", 20_000), holding("vm-2", 2_000))));
            assertEquals(failure.kind(), ErrorKind.BUDGET_EXHAUSTED);
        }

        @Test
        public void areNotReportedAsExhaustedWhileTheLedgerDoesNotAnswer() {
            Failure failure =
                    refusal(new RefusingSource(ErrorKind.PLATFORM_UNAVAILABLE, 500, List.of(holding("vm-1", 500))));
            assertEquals(failure.kind(), ErrorKind.PLATFORM_UNAVAILABLE);
        }
    }

    /** Budgets with enough unspent tokens, which calls in progress reserve for the moment. */
    public static class Reserved {
        @Test
        public void areNotReportedAsExhausted() {
            Failure failure =
                    refusal(new RefusingSource(ErrorKind.BUDGET_EXHAUSTED, 31_000, List.of(holding("vm-1", 31_000))));
            assertEquals(failure.kind(), ErrorKind.PLATFORM_UNAVAILABLE);
            assertTrue(failure.retryAfterMillis() > 0);
        }
    }
}
