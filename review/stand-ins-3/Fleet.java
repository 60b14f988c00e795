import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A small deployment on loopback addresses: the store and engines in this process, and routers as processes of their own, started
 * with the command of the deploy file.
 */
final class Fleet implements AutoCloseable {
    static final String HOST_NAME = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    static final String TENANT = "huka270";
    static final String CHAT = "/pufi791/";
    static final String DIGEST = "/lohu930/";
    static final String SIGN = "/pule252/";
    static final String READ = "/puxa403/";
    /** Each process has loopback addresses of its own, so that several cases may run at the same time. */
    private static final String NETWORK = network(ProcessHandle.current().pid());

    private static final String STORE_HOST = NETWORK + 250;
    private static final String[] ZONES = {"arequipa", "moquegua", "tacna"};

    final Path folder;
    final Store store;
    final List<Engine> engines = new ArrayList<>();
    final List<Router> routers = new ArrayList<>();
    final long startNanos = System.nanoTime();
    private final StringBuilder record = new StringBuilder();
    private final Path recordFile;
    private final int frontPort;
    private final AtomicLong attempts = new AtomicLong();

    /** The tokens that each request with a prompt states, by its id. */
    final Map<String, String> tokens = new ConcurrentHashMap<>();

    /** A router process on a VM of its own, which has a loopback address of its own. */
    final class Router {
        final String vm;
        final String ip;
        final String zone;
        Process process;

        Router(String vm, String ip, String zone) {
            this.vm = vm;
            this.ip = ip;
            this.zone = zone;
        }

        void start() throws IOException {
            Path settings = folder.resolve(vm + ".json");
            Files.writeString(settings, settings().toPrettyString());
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.environment().put("RADISHSPAN_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(vm + ".log").toFile()));
            process = builder.start();
            note(vm + " started");
        }

        ObjectNode settings() {
            ObjectNode root = Store.JSON.createObjectNode();
            root.put("node_name", vm).put("node_role", "router").put("machine_class", "front");
            root.putArray("served_classes").add("front");
            root.put("ip", ip).put("zone", zone).put("region", "sur-andino");
            ObjectNode zones = root.putObject("zones");
            for (String name : ZONES) {
                zones.put(name, "sur-andino");
            }
            ObjectNode bind = root.putObject("bind");
            bind.put("front", ip + ":" + frontPort).put("ready", ip + ":" + (frontPort + 1));
            bind.put("control", ip + ":" + (frontPort + 2));
            root.putArray("port_range").add(frontPort + 3).add(frontPort + 4);
            root.putArray("seed_addrs");
            root.put("bootstrap", false).put("tolerance_member", false).put("heartbeat_ms", 1_200);
            root.putObject("limits").put("cpu_share", 0.75).put("cores", 1).put("memory_mb", 430).put("max_fds", 4_200);
            root.putNull("data_dir").put("discovery_mode", "platform").put("entry_mode", "vip");
            ArrayNode policies = root.putArray("policies");
            for (String policy : List.of(
                    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform")) {
                policies.add(policy);
            }
            ObjectNode bounds = root.putObject("bounds");
            bounds.put("contact_ms", 3_000).put("ack_ms", 4_000).put("drain_ms", 2_000).put("grace_s", 8);
            bounds.put("loss_slack_ms", 200).put("config_apply_ms", 2_000).put("rollback_slack_ms", 250);
            bounds.put("retry_ratio", 0.2).put("retry_window_s", 10).put("retry_slack", 52).put("recover_s", 12);
            bounds.put("max_skew_ms", 5_000).put("settle_ms", 1_500).put("pass_ms", 120);
            ObjectNode platform = root.putObject("platform");
            platform.put("address", STORE_HOST + ":" + store.port).put("form", "objects").put("writes_per_s", 400);
            platform.put("reads_per_s", 2_000).put("history_s", 20).put("value_bytes", 1_048_576);
            return root;
        }

        boolean ready() {
            try (Http.Connection connection = Http.Connection.open(ip, frontPort + 1, 1_000)) {
                connection.write("GET /api/readyz HTTP/1.1", Map.of("Host", ip), null);
                Http.Message answer = connection.read();
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        void signal(String name) throws IOException, InterruptedException {
            note(vm + " gets SIG" + name);
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        }

        void kill() throws InterruptedException {
            note(vm + " is killed");
            process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        }
    }

    Fleet(Path caseFolder) throws IOException {
        this.recordFile = caseFolder.resolve("record.txt");
        this.folder = Files.createTempDirectory("fleet");
        this.store = new Store(STORE_HOST, 0);
        this.frontPort = freePorts();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endRouters));
    }

    private static String network(long pid) {
        return "127." + (64 + (pid >> 8) % 128) + "." + (pid & 255) + ".";
    }

    private static int freePorts() throws IOException {
        for (int port = 21_000; port < 29_000; port += 10) {
            boolean free = true;
            for (int vm = 1; vm <= 6 && free; vm++) {
                for (int offset = 0; offset < 5 && free; offset++) {
                    try (ServerSocket probe = new ServerSocket()) {
                        probe.setReuseAddress(true);
                        probe.bind(new InetSocketAddress(NETWORK + vm, port + offset));
                    } catch (IOException e) {
                        free = false;
                    }
                }
            }
            if (free) {
                return port;
            }
        }
        throw new IOException("no free ports");
    }

    /** Returns the command of the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(
                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no command");
    }

    Engine engine(String id, String service, String zone) throws IOException {
        int slots = service.equals("llm") ? 64 : 6;
        Engine engine =
                new Engine(store, id, service, NETWORK + (100 + engines.size()), 0, zone, slots, 3 * slots);
        engines.add(engine);
        return engine;
    }

    Router router(int number) throws IOException {
        String zone = ZONES[(number - 1) % ZONES.length];
        Router router = new Router("front-" + zone + "-" + number, NETWORK + number, zone);
        routers.add(router);
        return router;
    }

    /** Waits until all routers say that they are ready; returns whether they do in time. */
    boolean awaitReady(long millis) throws InterruptedException {
        long untilNanos = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < untilNanos) {
            if (routers.stream().allMatch(Router::ready)) {
                note("all routers are ready");
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns a configuration with four routes, as on the page about the wire. */
    ObjectNode configuration(long version, long prepaid) {
        ObjectNode root = Store.JSON.createObjectNode();
        root.put("version", version);
        ArrayNode routes = root.putArray("routes");
        route(routes, "chat", CHAT, "streaming", 15_000, 500, 0, "llm", 2)
                .put("session_affinity", true)
                .put("stream_resume", true)
                .put("gap_aim_ms", 400);
        route(routes, "digest", DIGEST, "streaming", 6_000, 800, 1, "llm", 1)
                .put("session_affinity", true)
                .put("stream_resume", false)
                .put("gap_aim_ms", 400);
        route(routes, "sign", SIGN, "unsafe", 800, 150, 2, "app", 1);
        route(routes, "read", READ, "safe", 800, 150, 2, "app", 2);
        ArrayNode services = root.putArray("services");
        ObjectNode llm = services.addObject().put("name", "llm").put("health_path", "/healthz").put("max_conns", 360);
        llm.putObject("engine").put("slots", 64).put("kv_capacity", 283_444).put("stride", Engine.TOKENS_PER_EVENT);
        services.addObject().put("name", "app").put("health_path", "/healthz").put("max_conns", 96);
        limits(root, 16_384, 4_194_304, 15_000);
        ObjectNode tenant = root.putArray("tenants").addObject().put("name", TENANT);
        tenant.putArray("api_keys").add(KEY);
        tenant.put("prepaid", prepaid);
        return root;
    }

    static void limits(ObjectNode configuration, int headerBytes, int bodyBytes, int idleMillis) {
        configuration
                .putObject("limits")
                .put("max_header_bytes", headerBytes)
                .put("max_body_bytes", bodyBytes)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", idleMillis);
    }

    private static ObjectNode route(
            ArrayNode routes,
            String name,
            String prefix,
            String kind,
            int timeoutMillis,
            int aimMillis,
            int priority,
            String service,
            int attempts) {
        return routes.addObject()
                .put("name", name)
                .put("host", HOST_NAME)
                .put("path_prefix", prefix)
                .put("kind", kind)
                .put("timeout_ms", timeoutMillis)
                .put("target_latency_ms", aimMillis)
                .put("priority", priority)
                .put("service", service)
                .put("max_attempts", attempts)
                .put("anonymous", false);
    }

    /** The answer to a request as its client saw it; status 0 if the channel ended without a complete one. */
    record Answer(String id, String path, int status, boolean complete, int events, String text, long sentNanos, long endedNanos) {}

    String nextId() {
        return String.format("%016x", 0x9c41d07be2a30000L + attempts.incrementAndGet());
    }

    static Map<String, String> requestHeaders(String id, long deadlineMillis, String tokens) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST_NAME);
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
        headers.put("X-Credential", KEY);
        if (!tokens.isEmpty()) {
            headers.put("X-Model", "m");
            headers.put("X-Token-Count", tokens);
            long input = Long.parseLong(tokens.split(",")[0]);
            headers.put("X-Prompt-Prefix", "5c1e07a2:" + input / 2 + "," + id + ":" + (input - input / 2));
        }
        return headers;
    }

    /** Sends a request on a connection of its own. */
    Answer call(Router router, String method, String path, String tokens, byte[] body, long deadlineMillis) {
        String id = nextId();
        long sentNanos = System.nanoTime();
        try (Http.Connection connection = Http.Connection.open(router.ip, frontPort, (int) deadlineMillis + 1_000)) {
            return exchange(connection, method, path, id, tokens, body, deadlineMillis);
        } catch (IOException e) {
            return new Answer(id, path, 0, false, 0, String.valueOf(e.getMessage()), sentNanos, System.nanoTime());
        }
    }

    Http.Connection connect(Router router) throws IOException {
        return Http.Connection.open(router.ip, frontPort, 20_000);
    }

    /** Sends a request on an open connection and reads its answer. */
    Answer exchange(
            Http.Connection connection,
            String method,
            String path,
            String id,
            String tokens,
            byte[] body,
            long deadlineMillis) {
        long sentNanos = System.nanoTime();
        if (!tokens.isEmpty()) {
            this.tokens.put(id, tokens);
        }
        int status = 0;
        int events = 0;
        StringBuilder text = new StringBuilder();
        try {
            connection.write(
                    method + " " + path + " HTTP/1.1",
                    requestHeaders(id, deadlineMillis, tokens),
                    method.equals("GET") ? null : body);
            Http.Message head = connection.readHead();
            if (head == null) {
                return new Answer(id, path, 0, false, 0, "closed without an answer", sentNanos, System.nanoTime());
            }
            status = head.status();
            if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    byte[] chunk = connection.readChunk();
                    if (chunk.length == 0) {
                        break;
                    }
                    String part = new String(chunk, StandardCharsets.UTF_8);
                    text.append(part);
                    events += part.split("\n\n", -1).length - 1;
                }
            } else if (!head.header("content-length").isEmpty()) {
                int length = Integer.parseInt(head.header("content-length"));
                byte[] bytes = connection.in.readNBytes(length);
                text.append(new String(bytes, StandardCharsets.UTF_8));
                if (bytes.length < length) {
                    return new Answer(id, path, status, false, 0, text.toString(), sentNanos, System.nanoTime());
                }
            }
            return new Answer(id, path, status, true, events, text.toString(), sentNanos, System.nanoTime());
        } catch (IOException e) {
            return new Answer(
                    id, path, status, false, events, text + " | " + e.getMessage(), sentNanos, System.nanoTime());
        }
    }

    /** Returns the tokens that a request which has run consumed: its prompt, and the output that its client received. */
    long consumed(Answer answer) {
        String[] stated = tokens.get(answer.id()).split(",");
        return Long.parseLong(stated[0])
                + Math.min(Long.parseLong(stated[1]), (long) Engine.TOKENS_PER_EVENT * answer.events());
    }

    long millis(long nanos) {
        return (nanos - startNanos) / 1_000_000;
    }

    synchronized void note(String line) {
        record.append(String.format("%8d ms  %s%n", millis(System.nanoTime()), line));
    }

    synchronized void noteAnswer(Router router, Answer answer) {
        record.append(String.format(
                "%8d ms  %s to %s of %s: sent at %d ms, status %d, %s, %d events%s%n",
                millis(answer.endedNanos()),
                answer.id(),
                answer.path(),
                router.vm,
                millis(answer.sentNanos()),
                answer.status(),
                answer.complete() ? "complete" : "not complete",
                answer.events(),
                answer.status() == 200 ? "" : ", " + answer.text().replace("\n", " ")));
    }

    /** Adds what the engines ran to the record. */
    synchronized void noteRuns() {
        for (Engine engine : engines) {
            for (Engine.Run run : engine.runs()) {
                record.append(String.format(
                        "%8d ms  engine %s: %s %s %s, tenant %s, %d bytes: %s%n",
                        millis(run.atNanos()),
                        run.engine(),
                        run.id(),
                        run.method(),
                        run.uri(),
                        run.tenant(),
                        run.bodyBytes(),
                        run.outcome()));
            }
        }
    }

    private void endRouters() {
        for (Router router : routers) {
            if (router.process != null) {
                router.process.destroyForcibly();
                try {
                    router.process.waitFor(2, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    @Override
    public void close() throws IOException {
        endRouters();
        synchronized (this) {
            Files.writeString(recordFile, record);
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.out.println("logs in " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            System.err.println("the temporary folder stays: " + e);
        }
    }
}
