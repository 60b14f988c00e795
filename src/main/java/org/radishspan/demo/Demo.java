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
 * A platform, three engines, a service and three routers in one process, with a workspace, a budget and a preset made.
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
    private static final long LIMIT_TOKENS = 1_000_000;
    private static final long SERVICE_PRICE_TOKENS = 5;
    private static final long TOKEN_MILLIS = 20;
    private static final long READY_MILLIS = 15_000;
    private static final long POLL_MILLIS = 20;
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

    /** Starts everything and makes a workspace, a budget and a preset. */
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
        ObjectNode budget = change(BUDGET);
        budget.put("tokens", LIMIT_TOKENS);
        operator("POST", "/budgets", budget);
        for (String name : List.of("ordinary", "peak", "maintenance")) {
            operator("POST", "/presets", change(name));
        }
        operator("POST", "/presets/in-force", change("ordinary"));
        ObjectNode workspace = change(WORKSPACE);
        workspace.put("budget", BUDGET);
        callerKey = operator("POST", "/workspaces", workspace).path("key").asText();
        if (!await(this::allReady)) {
            throw new IllegalStateException("the fleet was not ready within " + READY_MILLIS + " ms");
        }
    }

    private static ObjectNode change(String name) {
        ObjectNode body = Json.object();
        body.put("name", name);
        body.put("actor", "demo");
        body.put("operation_id", UUID.randomUUID().toString());
        return body;
    }

    private boolean allReady() {
        for (RouterProcess router : routers) {
            ObjectNode status = get(router.operatorPort(), "/status", OPERATOR_KEY);
            boolean seesAll = status.path("targets").size() == engines.size() + 1
                    && status.path("peers").size() == routers.size() - 1
                    && status.path("revision").asLong() == routers.size() + 2;
            if (!seesAll) {
                return false;
            }
        }
        return true;
    }

    private static boolean await(BooleanSupplier condition) {
        long untilNanos = System.nanoTime() + Duration.ofMillis(READY_MILLIS).toNanos();
        while (System.nanoTime() < untilNanos) {
            if (condition.getAsBoolean()) {
                return true;
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return false;
    }

    /** Prints calls to try. */
    public void printTrial() {
        int first = routers.get(0).callerPort();
        int second = routers.get(1).callerPort();
        out.println("The fleet is up. Try, in another terminal:");
        out.println();
        out.println("# a streamed answer");
        out.println(curl(first, "/v1/chat/completions", "")
                + " -d '{\"model\":\"" + MODEL + "\",\"stream\":true,\"max_tokens\":40,\"messages\":"
                + "[{\"role\":\"user\",\"content\":\"breaker 52-A3 was opened and earthed at nine\"}]}'");
        out.println();
        out.println("# the balance, which fell by the usage in the last event");
        out.println("target/radishspan budget show " + BUDGET + " --router " + HOST + ":"
                + routers.get(2).operatorPort() + " --key " + OPERATOR_KEY);
        out.println();
        out.println("# the same log entry at two routers: one run, one bill, the same answer");
        String entry = " -d '{\"entry\":\"breaker 52-A3 opened\"}'";
        out.println(curl(first, "/v1/services/" + SERVICE + "/file", "entry-1") + entry);
        out.println(curl(second, "/v1/services/" + SERVICE + "/file", "entry-1") + entry);
        out.println();
        out.println("# what the service ran");
        out.println("curl -s http://" + HOST + ":" + service.port() + "/record");
        out.println();
        out.println("Ctrl-C stops it.");
    }

    private String curl(int port, String path, String idempotencyKey) {
        String key = idempotencyKey.isEmpty() ? "" : " -H 'Idempotency-Key: " + idempotencyKey + "'";
        return "curl -sN http://" + HOST + ":" + port + path + " -H 'Authorization: Bearer " + callerKey + "'" + key;
    }

    /** Sends a few calls, checks answers, bills and balance against each other, and prints what it saw. */
    public boolean check() {
        DemoCheck check = new DemoCheck(out);
        long before = billedTokens();
        ObjectNode chat = Json.object();
        chat.put("model", MODEL);
        chat.putArray("messages").addObject().put("role", "user").put("content", "one two three four five");
        HttpResponse<String> plain = call(0, "/v1/chat/completions", "", chat);
        ObjectNode answer = Json.parseObject(plain.body().getBytes(UTF_8)).orElseGet(Json::object);
        check.equal(
                "the answer is whole",
                "one two three four five ",
                answer.path("choices").path(0).path("message").path("content").asText());
        long usage = answer.path("usage").path("total_tokens").asLong();
        check.equal("the bill is the usage", usage, billedTokens() - before);

        HttpResponse<String> streamed = call(1, "/v1/chat/completions", "", chat.put("stream", true));
        check.equal("a streamed answer ends whole", true, streamed.body().endsWith("data: [DONE]\n\n"));
        check.equal("its bill is the same", 2 * usage, billedTokens() - before);

        checkRepeatedEntry(check, billedTokens());
        checkRepeatedChat(check, chat.put("stream", false));
        checkRefusals(check);
        return check.passed();
    }

    private void checkRepeatedEntry(DemoCheck check, long before) {
        ObjectNode entry = Json.object().put("entry", "breaker opened");
        String path = "/v1/services/" + SERVICE + "/file";
        HttpResponse<String> first = call(0, path, "check-1", entry);
        HttpResponse<String> second = call(1, path, "check-1", entry);
        check.equal("the entry was filed", 201, first.statusCode());
        check.equal("the same key at another router gets the same answer", first.body(), second.body());
        check.equal(
                "it ran once",
                1,
                get(service.port(), "/record", "").path("runs").size());
        check.equal("it is billed once", SERVICE_PRICE_TOKENS, settledAt(before + SERVICE_PRICE_TOKENS) - before);
    }

    private void checkRepeatedChat(DemoCheck check, ObjectNode chat) {
        long before = billedTokens();
        HttpResponse<String> first = call(1, "/v1/chat/completions", "check-2", chat);
        HttpResponse<String> second = call(2, "/v1/chat/completions", "check-2", chat);
        long usage = Json.parseObject(first.body().getBytes(UTF_8))
                .orElseGet(Json::object)
                .path("usage")
                .path("total_tokens")
                .asLong();
        check.equal("a repeated chat gets the same answer", first.body(), second.body());
        check.equal("and one bill", usage, settledAt(before + usage) - before);
    }

    private void checkRefusals(DemoCheck check) {
        long before = billedTokens();
        ObjectNode unknown = Json.object();
        unknown.put("model", "no-such-model");
        unknown.putArray("messages").addObject().put("role", "user").put("content", "hi");
        check.equal(
                "an unknown model is refused",
                404,
                call(0, "/v1/chat/completions", "", unknown).statusCode());
        check.equal(
                "an entry without a key is refused",
                400,
                call(0, "/v1/services/" + SERVICE + "/file", "", Json.object()).statusCode());
        check.equal("refusals cost nothing", before, billedTokens());
    }

    /** Returns the billed tokens once they are as expected, or after a while as they are. */
    private long settledAt(long expected) {
        await(() -> billedTokens() >= expected);
        return billedTokens();
    }

    private long billedTokens() {
        return get(routers.get(2).operatorPort(), "/budgets?name=" + BUDGET, OPERATOR_KEY)
                .path("billed_tokens")
                .asLong();
    }

    private HttpResponse<String> call(int router, String path, String idempotencyKey, ObjectNode body) {
        HttpRequest.Builder request = HttpRequest.newBuilder(
                        URI.create("http://" + HOST + ":" + routers.get(router).callerPort() + path))
                .header("authorization", "Bearer " + callerKey)
                .POST(HttpRequest.BodyPublishers.ofString(body.toString(), UTF_8));
        if (!idempotencyKey.isEmpty()) {
            request.header("idempotency-key", idempotencyKey);
        }
        return send(request.build());
    }

    private ObjectNode operator(String method, String path, ObjectNode body) {
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
            throw new IllegalStateException("a call of the demo failed: " + request.uri(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("the demo was interrupted", e);
        }
    }

    /** Stops routers first, then targets and platform. */
    public void stop() {
        List<CompletableFuture<Integer>> ends =
                routers.stream().map(RouterProcess::stop).toList();
        ends.forEach(end -> end.orTimeout(READY_MILLIS, TimeUnit.MILLISECONDS).join());
        engines.forEach(EngineStandIn::stop);
        service.stop();
        platform.stop();
    }
}
