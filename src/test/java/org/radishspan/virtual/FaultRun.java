package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Accounts;
import org.radishspan.error.Failure;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.ShareState;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** A run of callers against one virtual fleet with injected faults, and the checks of the invariants during and after it. */
final class FaultRun {
    static final String BUDGET = "crew";
    private static final long STEP_MILLIS = 50;
    private static final long CALL_INTERVAL_MILLIS = 100;
    private static final int MAX_TOKENS = 8;
    private static final int SERVICE_CRASHES = 300;
    private static final long SERVICE_CRASH_INTERVAL_MILLIS = 33;
    private static final int MAX_ATTEMPTS = 12;
    private static final long EARLY_RETRY_MILLIS = 50;
    private static final long RETRY_MILLIS = 1_500;

    /** Faults that can be injected, alone or in pairs. */
    enum Fault {
        PARTITION,
        OUTAGE,
        LOST_ANSWERS,
        DELAYED_WRITES,
        PAUSE,
        CRASH,
        TOP_UP,
        MESSAGE_LOSS,
        TARGET_CRASH,
        SERVICE_CRASH,
        SERVICE_SILENCE,
        STRAY_FRAMES
    }

    /** One request of a caller with all its attempts, which share the idempotency key if it has one. */
    private static final class CallerRequest {
        final @Nullable String key;
        final boolean serviceCall;
        final boolean stream;
        final int maxTokens;
        final List<TestCaller> attempts = new ArrayList<>();
        final List<Integer> nodes = new ArrayList<>();
        long nextAttemptAtMillis;
        int attemptsLeft = MAX_ATTEMPTS;

        CallerRequest(@Nullable String key, boolean serviceCall, boolean stream, int maxTokens) {
            this.key = key;
            this.serviceCall = serviceCall;
            this.stream = stream;
            this.maxTokens = maxTokens;
        }

        long usageTokens() {
            return serviceCall ? VirtualFleet.SERVICE_PRICE_TOKENS : VirtualTargets.PROMPT_TOKENS + maxTokens;
        }

        boolean answered() {
            return attempts.stream().anyMatch(TestCaller::answered);
        }
    }

    private final VirtualFleet fleet;
    private final UniformRandomProvider random;
    private final String callerKey;
    private final List<CallerRequest> requests = new ArrayList<>();
    private final Map<Integer, Long> restartAtMillis = new HashMap<>();
    private final Set<String> crashedIncarnations = new HashSet<>();
    private long callCount;
    private long nextCallAtMillis;

    FaultRun(long seed, int routers, long limitTokens) {
        this.fleet = VirtualFleet.builder().routers(routers).seed(seed).build();
        this.random = RandomSource.XO_SHI_RO_256_PP.create(seed * 31 + 7);
        fleet.createBudget(BUDGET, limitTokens);
        this.callerKey = fleet.createWorkspace("workspace", BUDGET);
        fleet.runStartup();
    }

    VirtualFleet fleet() {
        return fleet;
    }

    void start(Fault fault) {
        switch (fault) {
            case PARTITION -> {
                fleet.node(0).setPartitionSide(1);
                fleet.node(1).setPartitionSide(1);
                fleet.node(0).setPlatformDisconnected(true);
                fleet.node(1).setPlatformDisconnected(true);
            }
            case OUTAGE -> fleet.platform().setOutage(true);
            case LOST_ANSWERS -> fleet.platform().setResponseLoss(0.3);
            case DELAYED_WRITES -> fleet.platform().setDelayedWrites(0.2);
            case PAUSE -> fleet.node(2).pause(8_000);
            case CRASH -> crash(random.nextInt(fleet.nodes().size()));
            case TOP_UP -> fleet.topUp(BUDGET, 500);
            case MESSAGE_LOSS -> fleet.setMessageLoss(0.4);
            case TARGET_CRASH -> fleet.targets().crash(VirtualFleet.enginePort(0));
            case SERVICE_CRASH -> crashServiceRepeatedly();
            case SERVICE_SILENCE -> fleet.targets().setUnresponsive(VirtualFleet.servicePort(0), true);
            case STRAY_FRAMES -> fleet.targets().setStrayFrames(0.3);
            default -> throw new AssertionError(fault);
        }
    }

    void clearFaults() {
        for (VirtualNode node : fleet.nodes()) {
            node.setPartitionSide(0);
            node.setPlatformDisconnected(false);
        }
        fleet.platform().setOutage(false);
        fleet.platform().setResponseLoss(0);
        fleet.platform().setDelayedWrites(0);
        fleet.setMessageLoss(0);
        fleet.targets().setStrayFrames(0);
        fleet.targets().start(VirtualFleet.enginePort(0));
        fleet.targets().setUnresponsive(VirtualFleet.servicePort(0), false);
    }

    private void crashServiceRepeatedly() {
        int port = VirtualFleet.servicePort(0);
        for (int i = 0; i < SERVICE_CRASHES; i++) {
            fleet.time()
                    .schedule(
                            i * SERVICE_CRASH_INTERVAL_MILLIS,
                            () -> fleet.targets().crash(port));
            fleet.time()
                    .schedule(
                            i * SERVICE_CRASH_INTERVAL_MILLIS + 5,
                            () -> fleet.targets().start(port));
        }
    }

    void crash(int index) {
        crashedIncarnations.add(fleet.node(index).router().incarnation());
        fleet.node(index).crash();
        restartAtMillis.put(index, fleet.time().nowMillis() + 3_000);
        for (CallerRequest request : requests) {
            for (int i = 0; i < request.attempts.size(); i++) {
                if (request.nodes.get(i) == index && !request.attempts.get(i).finished()) {
                    request.attempts.get(i).aborted = true;
                }
            }
        }
    }

    /** Advances the time, starts due attempts, restarts and, if wanted, new requests, and checks the ledger at each step. */
    void run(long millis, boolean newCalls) {
        long endMillis = fleet.time().nowMillis() + millis;
        while (fleet.time().nowMillis() < endMillis) {
            if (newCalls && fleet.time().nowMillis() >= nextCallAtMillis) {
                nextCallAtMillis = fleet.time().nowMillis() + CALL_INTERVAL_MILLIS;
                startNewRequest();
            }
            startDueAttempts();
            restartDueRouters();
            fleet.run(STEP_MILLIS);
            checkLedger();
        }
    }

    private void restartDueRouters() {
        restartAtMillis.entrySet().removeIf(entry -> {
            boolean due = fleet.time().nowMillis() >= entry.getValue();
            if (due) {
                fleet.restart(entry.getKey());
            }
            return due;
        });
    }

    private void startNewRequest() {
        callCount++;
        int kind = random.nextInt(4);
        String key = kind >= 2 ? "key-" + callCount : null;
        CallerRequest request = new CallerRequest(key, kind == 3, random.nextBoolean(), 1 + random.nextInt(MAX_TOKENS));
        requests.add(request);
        startAttempt(request);
    }

    private void startAttempt(CallerRequest request) {
        int index = random.nextInt(fleet.nodes().size());
        VirtualNode node = fleet.node(index);
        boolean retriesEarly = request.attempts.isEmpty() && random.nextInt(4) == 0;
        request.nextAttemptAtMillis = fleet.time().nowMillis() + (retriesEarly ? EARLY_RETRY_MILLIS : RETRY_MILLIS);
        if (!node.alive()) {
            return;
        }
        request.attemptsLeft--;
        request.nodes.add(index);
        request.attempts.add(
                request.serviceCall
                        ? TestCaller.serviceCall(node, callerKey, String.valueOf(request.key))
                        : TestCaller.chat(node, callerKey, request.maxTokens, request.stream, request.key));
    }

    /**
     * Starts the attempts that are due.
     *
     * <p>A request without a key has one attempt; one with a key is repeated under the same key until it is answered or its
     * attempts are used up, also while an earlier attempt is still open.
     */
    private void startDueAttempts() {
        for (CallerRequest request : requests) {
            boolean attemptNeeded = request.attempts.isEmpty() || (request.key != null && !request.answered());
            if (attemptNeeded && request.attemptsLeft > 0 && fleet.time().nowMillis() >= request.nextAttemptAtMillis) {
                startAttempt(request);
            }
        }
    }

    private void checkLedger() {
        AccountState account = fleet.account(BUDGET);
        assertTrue(Accounts.freeTokens(account) >= 0, "grants exceed the limit: " + account);
        for (ShareState share : account.getSharesList()) {
            assertTrue(
                    Accounts.spentTokens(share) <= share.getGrantedTokens(),
                    "the spent tokens of a share exceed its grant: " + share);
        }
        assertTrue(answeredTokens() <= account.getLimitTokens(), "the tokens of answered requests exceed the limit");
    }

    private long answeredTokens() {
        return requests.stream()
                .filter(CallerRequest::answered)
                .mapToLong(CallerRequest::usageTokens)
                .sum();
    }

    /**
     * Checks answers, runs and bills, after all faults have ended and all requests are settled.
     *
     * <p>Every answered request must be billed; one with an unknown outcome may be billed or not, and no other is billed.
     */
    void checkOutcome() {
        long outcomeUnknownTokens = 0;
        for (CallerRequest request : requests) {
            checkAnswers(request);
            checkRuns(request);
            boolean outcomeUnknown = !request.answered() && !allNotRun(request);
            outcomeUnknownTokens += outcomeUnknown ? request.usageTokens() : 0;
        }
        long billed = Accounts.billedTokens(fleet.account(BUDGET));
        long answered = answeredTokens();
        assertTrue(billed >= answered, "answered " + answered + " but billed " + billed);
        assertTrue(billed <= answered + outcomeUnknownTokens, "answered " + answered + " but billed " + billed);
    }

    /** Checks that every chat request with an idempotency key was answered by one of its attempts. */
    void checkEveryKeyedChatAnswered() {
        for (CallerRequest request : requests) {
            if (request.key != null && !request.serviceCall) {
                assertTrue(request.answered(), "no answer for " + request.key + ": " + failures(request));
            }
        }
    }

    private static String failures(CallerRequest request) {
        StringBuilder text = new StringBuilder();
        for (TestCaller caller : request.attempts) {
            text.append(caller.failure).append("; ");
        }
        return text.toString();
    }

    private static boolean allNotRun(CallerRequest request) {
        for (TestCaller caller : request.attempts) {
            Failure failure = caller.failure;
            if (failure == null || failure.ran() != Failure.Ran.NO) {
                return false;
            }
        }
        return true;
    }

    private void checkAnswers(CallerRequest request) {
        for (TestCaller caller : request.attempts) {
            if (!caller.answered()) {
                continue;
            }
            assertFalse(caller.requestId.isEmpty(), "the answer has no request id");
            if (request.serviceCall) {
                assertEquals(caller.text(), "{\"done\":\"" + caller.requestId + "\"}");
                continue;
            }
            for (int i = 0; i < request.maxTokens; i++) {
                assertTrue(
                        caller.text().contains(caller.requestId + "/" + i + " "),
                        "word " + i + " is missing in the answer of " + caller.requestId);
            }
            assertFalse(
                    caller.text().contains("/" + request.maxTokens + " "), "the answer has more words than max_tokens");
            assertEquals(caller.text().contains("[DONE]"), request.stream, "[DONE] is expected in streams only");
        }
    }

    private void checkRuns(CallerRequest request) {
        if (!request.serviceCall) {
            return;
        }
        int runs = fleet.targets().runsByKey().getOrDefault(String.valueOf(request.key), 0);
        assertTrue(runs <= 1, request.key + " ran " + runs + " times");
        if (allNotRun(request)) {
            assertEquals(runs, 0, request.key + " was reported as not run");
        }
        if (request.answered()) {
            assertEquals(runs, 1, request.key + " was answered");
        }
    }

    /** Drains every router, and checks that all stop and that only shares with crashed holders remain in the ledger. */
    void checkPlannedStop() {
        for (VirtualNode node : fleet.nodes()) {
            node.router().drain();
        }
        run(20_000, false);
        for (VirtualNode node : fleet.nodes()) {
            assertTrue(node.router().stopped(), node.vm() + " did not stop");
        }
        for (ShareState share : fleet.account(BUDGET).getSharesList()) {
            assertTrue(waitsForCrashedHolder(share), "a share remains in the ledger: " + share);
        }
    }

    /**
     * Returns whether a closed share cannot be settled because a holder that may have had bills of it has crashed too.
     *
     * <p>Only then may a share remain after the stop of the fleet: it is unknown which bills the crashed holder had, so the
     * rest of the share is not returned to the budget until an operator releases it.
     */
    private boolean waitsForCrashedHolder(ShareState share) {
        return share.getClosed()
                && share.getHoldersList().stream()
                        .anyMatch(holder ->
                                !holder.getReleased() && crashedIncarnations.contains(holder.getIncarnation()));
    }
}
