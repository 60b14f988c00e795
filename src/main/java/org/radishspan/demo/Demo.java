package org.radishspan.demo;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.budget.SharePolicy;
import org.radishspan.http.Json;
import org.radishspan.request.CallReader;
import org.radishspan.router.RouterProcess;
import org.radishspan.router.RouterSettings;
import org.radishspan.standin.EngineStandIn;
import org.radishspan.standin.PlatformStandIn;
import org.radishspan.standin.ServiceStandIn;
import org.radishspan.standin.TargetSettings;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Runs a complete fleet in one process on loopback ports: a platform, three engines, a service and three routers.
 *
 * <p>A workspace, its budget and three presets are created, and one preset is activated. The platform, the engines and the
 * service are stand-ins.
 *
 * <pre>{@code
 * Demo demo = Demo.start(new PrintWriter(System.out, true));
 * boolean passed = demo.check();
 * demo.stop();
 * }</pre>
 */
public final class Demo {
    private static final String HOST = "127.0.0.1";
    private static final String OPERATOR_KEY = "demo-operator";
    private static final String BUDGET = "field-crews";
    private static final String WORKSPACE = "substations";
    private static final String MODEL = "log-writer";
    private static final String SERVICE = "log-entries";
    private static final long BUDGET_TOKENS = 1_000_000;
    private static final long SERVICE_PRICE_TOKENS = 5;
    private static final long TOKEN_MILLIS = 20;
    private static final long READY_TIMEOUT_MILLIS = 15_000;
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final List<String> FAILURE_DOMAINS = List.of("arequipa", "moquegua", "tacna");

    private final PrintWriter out;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();
    private final PlatformStandIn platform = new PlatformStandIn(HOST, 0);
    private final List<EngineStandIn> engines = new ArrayList<>();
    private final ServiceStandIn service;
    private final List<RouterProcess> routers = new ArrayList<>();
    private String callerKey = "";

    private Demo(PrintWriter out) {
        this.out = out;
        for (int i = 0; i < FAILURE_DOMAINS.size(); i++) {
            engines.add(new EngineStandIn(target("engine-" + i, FAILURE_DOMAINS.get(i), MODEL)));
            routers.add(RouterProcess.start(routerSettings("router-" + i, FAILURE_DOMAINS.get(i))));
        }
        service = new ServiceStandIn(target("service-0", FAILURE_DOMAINS.get(0), SERVICE));
    }

    /**
     * Starts the fleet, creates the workspace, the budget and the presets, and waits until every router is ready.
     *
     * @param out receives the results of {@link #check} and the example calls
     * @throws IllegalStateException if a router is not ready within 15 seconds
     */
    public static Demo start(PrintWriter out) {
        Demo demo = new Demo(out);
        demo.configure();
        return demo;
    }

    private TargetSettings target(String name, String failureDomain, String serves) {
        return new TargetSettings(name, HOST, 0, failureDomain, Set.of(serves), TOKEN_MILLIS, HOST, platform.port());
    }

    private RouterSettings routerSettings(String vm, String failureDomain) {
        return new RouterSettings(
                vm,
                failureDomain,
                new RouterSettings.Caller(HOST, 0, 1_048_576),
                new RouterSettings.Operator(HOST, 0, OPERATOR_KEY),
                new RouterSettings.PeerPort(HOST, 0, "demo-secret"),
                new RouterSettings.Platform(HOST, platform.port(), 1_000, 10_000, 600, 180, true),
                new RouterSettings.Storage(1, 2, 20, 3_600_000, 1_000, 16_384),
                SharePolicy.DEFAULT,
                new RouterSettings.Requests(60_000, 5_000, 10_000, 10_000, 4_096, 256),
                Map.of(SERVICE, new CallReader.ServiceSpec(false, SERVICE_PRICE_TOKENS)));
    }

    private void configure() {
        ObjectNode budget = changeBody(BUDGET);
        budget.put("tokens", BUDGET_TOKENS);
        sendOperatorCommand("POST", "/budgets", budget);
        for (String name : List.of("ordinary", "peak", "maintenance")) {
            sendOperatorCommand("POST", "/presets", changeBody(name));
        }
        sendOperatorCommand("POST", "/presets/in-force", changeBody("ordinary"));
        ObjectNode workspace = changeBody(WORKSPACE);
        workspace.put("budget", BUDGET);
        callerKey = sendOperatorCommand("POST", "/workspaces", workspace)
                .path("key")
                .asText();
        if (!await(this::allRoutersReady)) {
            throw new IllegalStateException(
                    "not every router had all targets, all peers and the latest configuration within "
                            + READY_TIMEOUT_MILLIS + " ms");
        }
    }

    private static ObjectNode changeBody(String name) {
        ObjectNode body = Json.object();
        body.put("name", name);
        body.put("actor", "demo");
        body.put("operation_id", UUID.randomUUID().toString());
        return body;
    }

    private boolean allRoutersReady() {
        for (RouterProcess router : routers) {
            ObjectNode status = get(router.operatorPort(), "/status", OPERATOR_KEY);
            boolean ready = status.path("targets").size() == engines.size() + 1
                    && status.path("peers").size() == routers.size() - 1
                    && status.path("revision").asLong() == routers.size() + 2;
            if (!ready) {
                return false;
            }
        }
        return true;
    }

    private static boolean await(BooleanSupplier condition) {
        long deadlineNanos =
                System.nanoTime() + Duration.ofMillis(READY_TIMEOUT_MILLIS).toNanos();
        while (System.nanoTime() < deadlineNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    /** Prints example calls, as shell commands with the ports and keys of this fleet. */
    public void printExampleCalls() {
        int first = routers.get(0).callerPort();
        int second = routers.get(1).callerPort();
        out.println("The fleet is up. Example calls to run in another terminal:");
        out.println();
        out.println("# a streamed response");
        out.println(curl(first, "/v1/chat/completions", "")
                + " -d '{\"model\":\"" + MODEL + "\",\"stream\":true,\"max_tokens\":40,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"breaker 52-A3 was opened and earthed at nine\"}]}'");
        out.println();
        out.println("# the balance, reduced by the usage in the last event of the stream");
        out.println("target/radishspan budget show " + BUDGET + " --router " + HOST + ":"
                + routers.get(2).operatorPort() + " --key " + OPERATOR_KEY);
        out.println();
        out.println(
                "# the same log entry sent to two routers: it runs once, is billed once, and both return the same response");
        String entry = " -d '{\"entry\":\"breaker 52-A3 opened\"}'";
        out.println(curl(first, "/v1/services/" + SERVICE + "/file", "entry-1") + entry);
        out.println(curl(second, "/v1/services/" + SERVICE + "/file", "entry-1") + entry);
        out.println();
        out.println("# the calls that the service ran");
        out.println("curl -s http://" + HOST + ":" + service.port() + "/record");
        out.println();
        out.println("Press Ctrl-C to stop the fleet.");
    }

    private String curl(int port, String path, String idempotencyKey) {
        String key = idempotencyKey.isEmpty() ? "" : " -H 'Idempotency-Key: " + idempotencyKey + "'";
        return "curl -sN http://" + HOST + ":" + port + path + " -H 'Authorization: Bearer " + callerKey + "'" + key;
    }

    /**
     * Sends a few calls, compares responses, run counts and billed tokens with the expected values, and prints each result.
     *
     * @return whether every check passed
     */
    public boolean check() {
        DemoCheck check = new DemoCheck(out);
        long billedBefore = billedTokens();
        ObjectNode chat = Json.object();
        chat.put("model", MODEL);
        chat.putArray("messages").addObject().put("role", "user").put("content", "one two three four five");
        HttpResponse<String> plain = call(0, "/v1/chat/completions", "", chat);
        ObjectNode answer = Json.parseObject(plain.body().getBytes(UTF_8)).orElseGet(Json::object);
        check.checkEqual(
                "the response is complete",
                "one two three four five ",
                answer.path("choices").path(0).path("message").path("content").asText());
        long usage = answer.path("usage").path("total_tokens").asLong();
        check.checkEqual("the billed tokens equal the reported usage", usage, billedTokens() - billedBefore);

        HttpResponse<String> streamed = call(1, "/v1/chat/completions", "", chat.put("stream", true));
        check.checkEqual(
                "a streamed response ends with [DONE]", true, streamed.body().endsWith("data: [DONE]\n\n"));
        check.checkEqual("the streamed response is billed the same", 2 * usage, billedTokens() - billedBefore);

        checkRepeatedEntry(check, billedTokens());
        checkRepeatedChat(check, chat.put("stream", false));
        checkRefusals(check);
        return check.passed();
    }

    private void checkRepeatedEntry(DemoCheck check, long billedBefore) {
        ObjectNode entry = Json.object().put("entry", "breaker opened");
        String path = "/v1/services/" + SERVICE + "/file";
        HttpResponse<String> first = call(0, path, "check-1", entry);
        HttpResponse<String> second = call(1, path, "check-1", entry);
        check.checkEqual("a log entry is accepted", 201, first.statusCode());
        check.checkEqual(
                "another router returns the same response for the same idempotency key", first.body(), second.body());
        check.checkEqual(
                "the service ran the call once",
                1,
                get(service.port(), "/record", "").path("runs").size());
        check.checkEqual(
                "the call is billed once",
                SERVICE_PRICE_TOKENS,
                awaitBilledTokens(billedBefore + SERVICE_PRICE_TOKENS) - billedBefore);
    }

    private void checkRepeatedChat(DemoCheck check, ObjectNode chat) {
        long billedBefore = billedTokens();
        HttpResponse<String> first = call(1, "/v1/chat/completions", "check-2", chat);
        HttpResponse<String> second = call(2, "/v1/chat/completions", "check-2", chat);
        long usage = Json.parseObject(first.body().getBytes(UTF_8))
                .orElseGet(Json::object)
                .path("usage")
                .path("total_tokens")
                .asLong();
        check.checkEqual("a repeated chat call returns the same response", first.body(), second.body());
        check.checkEqual(
                "a repeated chat call is billed once", usage, awaitBilledTokens(billedBefore + usage) - billedBefore);
    }

    private void checkRefusals(DemoCheck check) {
        long billedBefore = billedTokens();
        ObjectNode unknown = Json.object();
        unknown.put("model", "no-such-model");
        unknown.putArray("messages").addObject().put("role", "user").put("content", "hi");
        check.checkEqual(
                "an unknown model is refused",
                404,
                call(0, "/v1/chat/completions", "", unknown).statusCode());
        check.checkEqual(
                "a log entry without an idempotency key is refused",
                400,
                call(0, "/v1/services/" + SERVICE + "/file", "", Json.object()).statusCode());
        check.checkEqual("refused calls are not billed", billedBefore, billedTokens());
    }

    /** Waits until the billed tokens reach the expected count, up to 15 seconds, and returns the billed tokens. */
    private long awaitBilledTokens(long expected) {
        await(() -> billedTokens() >= expected);
        return billedTokens();
    }

    private long billedTokens() {
        return get(routers.get(2).operatorPort(), "/budgets?name=" + BUDGET, OPERATOR_KEY)
                .path("billed_tokens")
                .asLong();
    }

    private HttpResponse<String> call(int routerIndex, String path, String idempotencyKey, ObjectNode body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(
                        "http://" + HOST + ":" + routers.get(routerIndex).callerPort() + path))
                .header("authorization", "Bearer " + callerKey)
                .POST(HttpRequest.BodyPublishers.ofString(body.toString(), UTF_8));
        if (!idempotencyKey.isEmpty()) {
            request.header("idempotency-key", idempotencyKey);
        }
        return send(request.build());
    }

    private ObjectNode sendOperatorCommand(String method, String path, ObjectNode body) {
        URI uri = URI.create("http://" + HOST + ":" + routers.get(0).operatorPort() + path);
        HttpResponse<String> response = send(HttpRequest.newBuilder(uri)
                .header("authorization", "Bearer " + OPERATOR_KEY)
                .method(method, HttpRequest.BodyPublishers.ofString(body.toString(), UTF_8))
                .build());
        return Json.parseObject(response.body().getBytes(UTF_8)).orElseGet(Json::object);
    }

    private ObjectNode get(int port, String path, String key) {
        HttpResponse<String> response = send(HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                .header("authorization", "Bearer " + key)
                .build());
        return Json.parseObject(response.body().getBytes(UTF_8)).orElseGet(Json::object);
    }

    private HttpResponse<String> send(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString(UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException("no response to a call of the demo: " + request.uri(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the demo was interrupted", e);
        }
    }

    /** Stops the routers, waits up to 15 seconds for each to drain, and then stops the targets and the platform. */
    public void stop() {
        List<CompletableFuture<Integer>> exitCodes =
                routers.stream().map(RouterProcess::stop).toList();
        exitCodes.forEach(exitCode ->
                exitCode.orTimeout(READY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join());
        engines.forEach(EngineStandIn::stop);
        service.stop();
        platform.stop();
    }
}
