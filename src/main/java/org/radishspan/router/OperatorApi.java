package org.radishspan.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.budget.Accounts;
import org.radishspan.budget.Ledger;
import org.radishspan.budget.LedgerBook;
import org.radishspan.budget.ReclaimMode;
import org.radishspan.budget.Share;
import org.radishspan.config.CallerKey;
import org.radishspan.config.Configuration;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.ErrorAnswer;
import org.radishspan.http.HttpCall;
import org.radishspan.http.Json;
import org.radishspan.peer.Peer;
import org.radishspan.platform.SharedObject;
import org.radishspan.proto.AccountState;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.ShareState;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.request.StrikeTable;
import org.radishspan.routing.Target;

/** Answers operators. Every call needs the operator key; changes name their actor and carry an operation id. */
final class OperatorApi {
    private static final int OK = 200;
    private static final long MAX_TOKENS = 1_000_000_000_000_000L;
    private static final String DEFAULT_ACTOR = "operator";

    private final Router router;
    private final Supplier<String> secrets;

    OperatorApi(Router router, Supplier<String> secrets) {
        this.router = router;
        this.secrets = secrets;
    }

    void handle(HttpCall call) {
        String expected = router.settings().operator().key();
        boolean known = call.bearerToken()
                .filter(key -> CallerKey.sameText(key, expected))
                .isPresent();
        if (!known) {
            ErrorAnswer.send(call, Failure.notRun(ErrorKind.UNAUTHORIZED, "the operator key is missing or wrong"));
            return;
        }
        String route = call.method() + " " + call.path();
        switch (route) {
            case "GET /status" -> answer(call, status());
            case "GET /audit" -> audit(call);
            case "GET /presets" -> answer(call, presets());
            case "POST /presets" -> putPreset(call);
            case "POST /presets/in-force" -> usePreset(call);
            case "POST /workspaces" -> createWorkspace(call);
            case "GET /budgets" -> showBudget(call);
            case "POST /budgets" -> createBudget(call);
            case "POST /budgets/topup" -> topUp(call);
            case "POST /budgets/limit" -> setLimit(call);
            case "POST /budgets/release" -> releaseForfeit(call);
            case "POST /quarantine/release" -> releaseQuarantined(call);
            default -> ErrorAnswer.send(call, Failure.notRun(ErrorKind.NOT_FOUND, "no such operation: " + route));
        }
    }

    private static void answer(HttpCall call, ObjectNode body) {
        call.respond(OK, Json.CONTENT_TYPE, Json.pretty(body) + "\n");
    }

    private <T> Consumer<Either<Failure, T>> answering(HttpCall call, Function<T, ObjectNode> toJson) {
        return result -> {
            if (result.isLeft()) {
                ErrorAnswer.send(call, result.getLeft());
                return;
            }
            answer(call, toJson.apply(result.get()));
        };
    }

    /** Reads the body, or answers that it is bad and returns null. */
    private static @Nullable ObjectNode body(HttpCall call, String... required) {
        Optional<ObjectNode> parsed = Json.parseObject(call.body());
        if (parsed.isEmpty()) {
            ErrorAnswer.send(call, Failure.notRun(ErrorKind.BAD_JSON, "the body must be one JSON object"));
            return null;
        }
        for (String field : required) {
            if (!parsed.get().hasNonNull(field)
                    || parsed.get().path(field).asText().isEmpty()) {
                ErrorAnswer.send(call, Failure.notRun(ErrorKind.INVALID_REQUEST, field + " is missing"));
                return null;
            }
        }
        return parsed.get();
    }

    private static boolean tokensInRange(HttpCall call, long tokens) {
        if (tokens >= 1 && tokens <= MAX_TOKENS) {
            return true;
        }
        ErrorAnswer.send(call, Failure.notRun(ErrorKind.INVALID_REQUEST, "tokens must be from 1 to " + MAX_TOKENS));
        return false;
    }

    private Ledger.Operation operation(ObjectNode body) {
        return new Ledger.Operation(
                body.path("actor").asText(DEFAULT_ACTOR),
                body.path("operation_id").asText(),
                router.nowMillis());
    }

    private Configuration.Change change(ObjectNode body) {
        Long expected = body.hasNonNull("expect_revision")
                ? Long.valueOf(body.path("expect_revision").asLong())
                : null;
        return new Configuration.Change(
                body.path("actor").asText(DEFAULT_ACTOR),
                body.path("operation_id").asText(),
                router.nowMillis(),
                expected);
    }

    private void createWorkspace(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name", "budget");
        if (body == null) {
            return;
        }
        String name = body.path("name").asText();
        String budget = body.path("budget").asText();
        if (!name.matches("[a-z0-9][a-z0-9-]{0,62}")) {
            ErrorAnswer.send(
                    call,
                    Failure.notRun(
                            ErrorKind.INVALID_REQUEST, "name must be lower-case letters, digits and hyphens: " + name));
            return;
        }
        String salt = secrets.get();
        String key = name + "." + body.path("key").asText(secrets.get());
        WorkspaceState workspace = WorkspaceState.newBuilder()
                .setName(name)
                .setBudget(budget)
                .setPriorityClass(body.path("class").asText("urgent"))
                .setKeySalt(salt)
                .setKeyHash(CallerKey.hash(salt, key))
                .build();
        requireBudget(
                call,
                budget,
                () -> router.configuration()
                        .submit(Configuration.putWorkspace(workspace, change(body)), answering(call, state -> {
                            ObjectNode node = revision(state);
                            node.put("workspace", name);
                            node.put("key", key);
                            return node;
                        })));
    }

    private void requireBudget(HttpCall call, String budget, Runnable next) {
        readBudget(budget, result -> {
            if (result.isLeft()) {
                ErrorAnswer.send(call, result.getLeft());
                return;
            }
            next.run();
        });
    }

    private void putPreset(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name");
        if (body == null) {
            return;
        }
        PresetState preset = PresetState.newBuilder()
                .setName(body.path("name").asText())
                .setUrgentHeadroom(body.path("urgent_headroom").asDouble(0.2))
                .setBatchQueueLimit(body.path("batch_queue_limit").asInt(1_000))
                .setBatchMaxWaitMillis(body.path("batch_max_wait_millis").asLong(600_000))
                .setShareHorizonMillis(body.path("share_horizon_millis").asLong(0))
                .build();
        router.configuration()
                .submit(Configuration.putPreset(preset, change(body)), answering(call, OperatorApi::revision));
    }

    private void usePreset(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name");
        if (body == null) {
            return;
        }
        router.configuration()
                .submit(
                        Configuration.usePreset(body.path("name").asText(), change(body)),
                        answering(call, OperatorApi::revision));
    }

    private static ObjectNode revision(ConfigurationState state) {
        ObjectNode node = Json.object();
        node.put("revision", state.getRevision());
        node.put("preset_in_force", state.getPresetInForce());
        return node;
    }

    private ObjectNode presets() {
        ConfigurationState state = router.configuration().inForce();
        ObjectNode node = revision(state);
        ArrayNode list = node.putArray("presets");
        for (PresetState preset : state.getPresetsMap().values()) {
            ObjectNode row = list.addObject();
            row.put("name", preset.getName());
            row.put("urgent_headroom", preset.getUrgentHeadroom());
            row.put("batch_queue_limit", preset.getBatchQueueLimit());
            row.put("batch_max_wait_millis", preset.getBatchMaxWaitMillis());
            row.put("share_horizon_millis", preset.getShareHorizonMillis());
        }
        return node;
    }

    private void createBudget(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name", "tokens");
        if (body == null || !tokensInRange(call, body.path("tokens").asLong())) {
            return;
        }
        String name = body.path("name").asText();
        Optional<ReclaimMode> reclaim =
                ReclaimMode.ofWireName(body.path("reclaim").asText(ReclaimMode.FENCED.wireName()));
        long horizonMillis = body.path("horizon_millis").asLong(0);
        if (reclaim.isEmpty() || horizonMillis < 0) {
            ErrorAnswer.send(
                    call,
                    Failure.notRun(
                            ErrorKind.INVALID_REQUEST,
                            "reclaim must be fenced or operator, horizon_millis not negative"));
            return;
        }
        Ledger.AccountPolicy policy = new Ledger.AccountPolicy(reclaim.get(), horizonMillis);
        changeBudget(call, name, Ledger.create(name, body.path("tokens").asLong(), policy, operation(body)));
    }

    private void topUp(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name", "tokens");
        if (body == null || !tokensInRange(call, body.path("tokens").asLong())) {
            return;
        }
        String name = body.path("name").asText();
        changeBudget(call, name, Ledger.topUp(name, body.path("tokens").asLong(), operation(body)));
    }

    private void setLimit(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name", "tokens");
        if (body == null || !tokensInRange(call, body.path("tokens").asLong())) {
            return;
        }
        String name = body.path("name").asText();
        changeBudget(call, name, Ledger.setLimit(name, body.path("tokens").asLong(), operation(body)));
    }

    private void releaseForfeit(HttpCall call) {
        ObjectNode body = body(call, "operation_id", "name", "share");
        if (body == null) {
            return;
        }
        String name = body.path("name").asText();
        changeBudget(call, name, Ledger.releaseForfeit(name, body.path("share").asText(), operation(body)));
    }

    private void changeBudget(HttpCall call, String budget, SharedObject.Mutation<LedgerBook> mutation) {
        router.ledgers()
                .of(budget)
                .submit(
                        mutation,
                        answering(call, state -> budgetJson(state.find(budget).orElseThrow())));
    }

    private void showBudget(HttpCall call) {
        String budget = call.query("name").orElse("");
        readBudget(budget, answering(call, OperatorApi::budgetJson));
    }

    private void readBudget(String budget, Consumer<Either<Failure, AccountState>> done) {
        SharedObject<LedgerBook> ledger = router.ledgers().of(budget);
        ledger.refresh();
        ledger.submit(Either::right, result -> done.accept(result.flatMap(state -> account(state, budget))));
    }

    private static Either<Failure, AccountState> account(LedgerBook state, String budget) {
        AccountState account = state.account(budget);
        if (account == null) {
            return Either.left(Failure.notRun(
                    ErrorKind.NOT_FOUND,
                    "no budget named " + budget + "; there are " + String.join(", ", state.budgets())));
        }
        return Either.right(account);
    }

    private static ObjectNode budgetJson(AccountState account) {
        ObjectNode node = Json.object();
        node.put("budget", account.getBudget());
        node.put("limit_tokens", account.getLimitTokens());
        node.put("billed_tokens", Accounts.billedTokens(account));
        node.put("balance_tokens", account.getLimitTokens() - Accounts.billedTokens(account));
        node.put("free_tokens", Accounts.freeTokens(account));
        node.put("forfeited_tokens", Accounts.forfeitedTokens(account));
        node.put("reclaim", account.getReclaim());
        node.put("horizon_millis", account.getHorizonMillis());
        ArrayNode shares = node.putArray("shares");
        for (ShareState share : account.getSharesList()) {
            ObjectNode row = shares.addObject();
            row.put("share", share.getShareId());
            row.put("vm", share.getVm());
            row.put("granted_tokens", share.getGrantedTokens());
            row.put("billed_tokens", Accounts.spentTokens(share));
            row.put("wanted_tokens", share.getWantedTokens());
            row.put("closed", share.getClosed());
        }
        return node;
    }

    private void audit(HttpCall call) {
        List<AuditState> entries =
                new ArrayList<>(router.configuration().inForce().getAuditList());
        for (SharedObject<LedgerBook> ledger : router.ledgers().all()) {
            ledger.refresh();
        }
        collectAudit(call, entries, 0);
    }

    private void collectAudit(HttpCall call, List<AuditState> entries, int partition) {
        if (partition == router.ledgers().all().size()) {
            answerAudit(call, entries);
            return;
        }
        router.ledgers().get(partition).submit(Either::right, result -> {
            result.peek(state -> state.audit().forEach(entries::add));
            collectAudit(call, entries, partition + 1);
        });
    }

    private static void answerAudit(HttpCall call, List<AuditState> entries) {
        entries.sort(Comparator.comparingLong(AuditState::getAtMillis));
        StringBuilder lines = new StringBuilder();
        for (AuditState entry : entries) {
            ObjectNode line = Json.object();
            line.put("at_millis", entry.getAtMillis());
            line.put("actor", entry.getActor());
            line.put("operation_id", entry.getOperationId());
            line.put("action", entry.getAction());
            line.put("before", entry.getBefore());
            line.put("after", entry.getAfter());
            line.put("revision", entry.getRevision());
            lines.append(line).append('\n');
        }
        call.respond(OK, "application/x-ndjson", lines.toString());
    }

    private ObjectNode status() {
        ObjectNode node = revision(router.configuration().inForce());
        node.put("vm", router.settings().vm());
        node.put("incarnation", router.incarnation());
        node.put("failure_domain", router.settings().failureDomain());
        node.put("ready", router.ready());
        node.put(
                "revision_confirmed_millis_ago",
                router.nowMillis() - router.configuration().confirmedAtMillis());
        node.put("requests_in_progress", router.requests().inProgress());
        node.put("held_shares", router.heldBills().heldShares());
        addShares(node.putArray("shares"));
        addTargets(node.putArray("targets"));
        addPeers(node.putArray("peers"));
        addQuarantined(node.putArray("quarantined"));
        return node;
    }

    private void releaseQuarantined(HttpCall call) {
        ObjectNode body = body(call, "name");
        if (body == null) {
            return;
        }
        String fingerprint = body.path("name").asText();
        ObjectNode node = Json.object();
        node.put("fingerprint", fingerprint);
        node.put("was_known_here", router.requests().strikes().release(fingerprint));
        answer(call, node);
    }

    private void addQuarantined(ArrayNode list) {
        for (StrikeTable.Quarantined quarantined : router.requests().strikes().quarantined(router.nowMillis())) {
            ObjectNode row = list.addObject();
            row.put("fingerprint", quarantined.fingerprint());
            row.put("broke", String.join(",", quarantined.targets()));
            row.put("for_millis", quarantined.untilMillis() - router.nowMillis());
        }
    }

    private void addShares(ArrayNode list) {
        for (Share share : router.shares().table().rows()) {
            ObjectNode row = list.addObject();
            row.put("budget", share.budget());
            row.put("granted_tokens", share.grantedTokens());
            row.put("billed_tokens", share.billedTokens());
            row.put("reserved_tokens", share.reservedTokens());
        }
    }

    private void addTargets(ArrayNode list) {
        for (Target target : router.targets().rows()) {
            ObjectNode row = list.addObject();
            row.put("name", target.name());
            row.put("failure_domain", target.failureDomain());
            row.put("expected_load", target.expectedLoad());
            row.put("in_flight", target.inFlight());
            row.put("leaving", target.leaving());
        }
    }

    private void addPeers(ArrayNode list) {
        for (Peer peer : router.peers().table().rows()) {
            ObjectNode row = list.addObject();
            row.put("vm", peer.vm());
            row.put("incarnation", peer.incarnation());
            row.put("revision", peer.configRevision());
            row.put("last_heard_millis_ago", router.nowMillis() - peer.lastHeardMillis());
        }
    }
}
