import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * A small deployment on loopback: the store and the engines are threads of this process, the routers are processes started with
 * the command of deploy/system.toml, each on a loopback address of its own.
 */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"arequipa", "moquegua", "tacna"};
    static final String HOST = "ficu95.example";
    static final int STRIDE = 3;

    final Store store;
    final List<Router> routers = new ArrayList<>();
    final List<Engine> engines = new CopyOnWriteArrayList<>();
    final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Path folder;
    private final int[] ports = freePorts(3);
    private final AtomicInteger ids = new AtomicInteger();
    private final String idBase = Long.toHexString(System.nanoTime() & 0xffffff);

    Fleet(Path recordFile, int routerCount) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        folder = Files.createTempDirectory("review");
        store = new Store("127.0.0.1");
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router("front-" + ZONES[i % 3] + "-" + (1 + i / 3), ZONES[i % 3], "127.0.0." + (11 + i)));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killRouters));
    }

    private static int[] freePorts(int count) throws IOException {
        int[] result = new int[count];
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0);
            sockets.add(socket);
            result[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return result;
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void note(String text) {
        record.println(millis() + " " + text);
    }

    String newId() {
        return idBase + String.format("%08x", ids.incrementAndGet());
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void killRouters() {
        for (Router router : routers) {
            router.kill();
        }
    }

    @Override
    public void close() throws IOException {
        killRouters();
        for (Engine engine : engines) {
            engine.close();
        }
        store.server.close();
        record.close();
        try (java.util.stream.Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** One router process, started again with the same settings after each end. */
    final class Router {
        final String name;
        final String ip;
        private final String zone;
        private final Path settings;
        private Process process;

        Router(String name, String zone, String ip) throws IOException {
            this.name = name;
            this.zone = zone;
            this.ip = ip;
            this.settings = folder.resolve(name + ".json");
            Files.writeString(settings, settingsJson());
        }

        private String settingsJson() {
            return """
                {"node_name":"%s","node_role":"router","machine_class":"front","served_classes":["front","control_plane"],
                 "ip":"%s","zone":"%s","region":"sur-andino",
                 "zones":{"arequipa":"sur-andino","moquegua":"sur-andino","tacna":"sur-andino"},
                 "bind":{"front":"%s:%d","ready":"%s:%d"},"port_range":[%d,%d],"seed_addrs":[],"bootstrap":false,
                 "tolerance_member":false,
                 "limits":{"cpu_share":0.75,"cores":1,"memory_mb":430,"max_fds":4200,"link_mbps":1000.0,"disk_mb":0},
                 "data_dir":null,"discovery_mode":"platform","entry_mode":"vip","heartbeat_ms":1200,
                 "policies":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
                 "fault_tolerance":{"machines":1,"zones":0,"regions":0},
                 "bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"ack_ms":4000,"sync_s":4,"drain_ms":2000,
                  "grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,
                  "strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":52,
                  "recover_s":12,"pass_ms":120,"retry_after_s":10,"settle_ms":1500},
                 "platform":{"address":"127.0.0.1:%d","form":"objects","writes_per_s":400,"reads_per_s":2000,
                  "history_s":20,"value_bytes":1048576,"ttl_min_ms":1000}}
                """
                    .formatted(name, ip, zone, ip, ports[0], ip, ports[1], ports[2], ports[2], store.server.port());
        }

        int port() {
            return ports[0];
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"([^\"]*)\"").matcher(Files.readString(Path.of("deploy/system.toml")));
            if (!run.find()) {
                throw new IOException("deploy/system.toml has no command");
            }
            ProcessBuilder builder = new ProcessBuilder(Arrays.asList(run.group(1).split(" ")));
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("RADISHSPAN_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            String logs = System.getenv("REVIEW_LOGS");
            builder.redirectOutput(
                    logs == null
                            ? ProcessBuilder.Redirect.DISCARD
                            : ProcessBuilder.Redirect.appendTo(new File(logs, name + ".log")));
            process = builder.start();
            note("router " + name + " started, pid " + process.pid());
        }

        boolean alive() {
            return process != null && process.isAlive();
        }

        boolean ready() {
            try {
                byte[] request = Http.encode("GET /api/readyz HTTP/1.1", Map.of("Host", ip), new byte[0]);
                return Http.call(ip, ports[1], request, 1_000).status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Sends a signal to this process, by its id. */
        void signal(String signal) throws IOException, InterruptedException {
            note("router " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process != null && process.isAlive()) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        }
    }

    void startRouters() throws IOException {
        for (Router router : routers) {
            router.start();
        }
    }

    /** Waits until every router says that it is ready; returns whether all do in time. */
    boolean awaitReady(long limitMillis) {
        long end = millis() + limitMillis;
        while (millis() < end) {
            if (routers.stream().allMatch(Router::ready)) {
                note("all routers are ready");
                return true;
            }
            sleep(50);
        }
        return false;
    }

    /** What an engine does with a request that it accepts. */
    interface Work {
        void run(Engine engine, Http.Message request, Socket socket, OutputStream out) throws Exception;
    }

    /** An engine: checks the expected instance, records what it runs, and answers as its work says. */
    final class Engine {
        final String id;
        final String service;
        final String zone;
        final Http.Server server;
        final long born = System.currentTimeMillis();
        final Map<String, Integer> runs = new ConcurrentHashMap<>();
        volatile Work work;

        Engine(String id, String service, String zone, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            this.work = work;
            this.server = new Http.Server("127.0.0.1", 0, this::handle);
            engines.add(this);
            register("ready");
        }

        void register(String state) {
            store.write("servers", id, "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.port()
                    + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"" + state
                    + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":" + born + "}");
        }

        private boolean handle(Http.Message request, Socket socket, OutputStream out) throws Exception {
            String attempt = request.header("X-Attempt-Id", "");
            if (!request.header("X-Expect-Instance", id).equals(id)) {
                out.write(Http.response(421, Map.of("X-Instance-Id", id, "X-Attempt-Id", attempt), new byte[0]));
                return true;
            }
            runs.merge(attempt, 1, Integer::sum);
            note("engine " + id + " runs " + attempt + " " + request.firstLine.split(" HTTP")[0]
                    + " tenant=" + request.header("X-Tenant", "-") + " tokens=" + request.header("X-Token-Count", "-"));
            work.run(this, request, socket, out);
            out.flush();
            return true;
        }

        void close() throws IOException {
            server.close();
        }
    }

    Map<String, String> answerHeaders(Http.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("X-Attempt-Id", ""));
        headers.put("X-Server-Stamp", "stamp-" + request.header("X-Attempt-Id", ""));
        return headers;
    }

    /** Work of a plain service: a body of some hundred bytes that names the request. */
    Work plain(long workMillis) {
        return (engine, request, socket, out) -> {
            sleep(workMillis);
            byte[] body = ("body of " + request.header("X-Attempt-Id", "") + " " + "x".repeat(700)).getBytes(UTF_8);
            out.write(Http.response(200, answerHeaders(request), body));
        };
    }

    /** Work of a model engine: a stream of events with as many tokens as the request allows. */
    Work stream(long firstMillis, long gapMillis) {
        return (engine, request, socket, out) -> {
            sleep(firstMillis);
            long tokens = Long.parseLong(request.header("X-Token-Count", "0,3").split(",")[1].trim());
            long first = Long.parseLong(request.header("Last-Event-Id", "0")) + 1;
            Map<String, String> headers = answerHeaders(request);
            headers.put("Content-Type", "text/event-stream");
            headers.put("Transfer-Encoding", "chunked");
            out.write(Http.encode("HTTP/1.1 200 OK", headers, new byte[0]));
            for (long event = first; event <= (tokens + STRIDE - 1) / STRIDE; event++) {
                out.write(chunk(("id: " + event + "\ndata: " + "t".repeat(6) + "\n\n").getBytes(UTF_8)));
                out.flush();
                if (gapMillis > 0) {
                    sleep(gapMillis);
                }
            }
            out.write("0\r\n\r\n".getBytes(UTF_8));
        };
    }

    static byte[] chunk(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes((Integer.toHexString(bytes.length) + "\r\n").getBytes(ISO_8859_1));
        out.writeBytes(bytes);
        out.writeBytes("\r\n".getBytes(ISO_8859_1));
        return out.toByteArray();
    }

    /** What a client saw of one request. */
    static final class Answer {
        String id = "";
        int status;
        String retryAfter = "";
        boolean stamped;
        boolean complete;
        long events;
        long millis;
        byte[] body = {};
        String failure = "";

        @Override
        public String toString() {
            return id + " status=" + status + " stamped=" + stamped + " complete=" + complete + " events=" + events
                    + " bytes=" + body.length + " ms=" + millis + (failure.isEmpty() ? "" : " " + failure);
        }
    }

    static byte[] requestBytes(
            String method, String path, String id, String key, long deadlineMillis, String tokens, byte[] body) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Attempt-Id", id);
        headers.put("X-Deadline-Ms", Long.toString(deadlineMillis));
        headers.put("X-Credential", key);
        if (!tokens.isEmpty()) {
            headers.put("X-Model", "m");
            headers.put("X-Token-Count", tokens);
            headers.put("X-Prompt-Prefix", "5c1e07a2:" + tokens.split(",")[0] + "," + id + ":1");
        }
        if (!method.equals("GET")) {
            headers.put("Content-Length", Integer.toString(body.length));
        }
        return Http.encode(method + " " + path + " HTTP/1.1", headers, body);
    }

    /** Sends a request to a router on a new channel and reads the answer as far as it comes. */
    Answer send(Router router, byte[] request, String id, long deadlineMillis) {
        Answer answer = new Answer();
        answer.id = id;
        long start = millis();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(router.ip), router.port()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis);
            socket.getOutputStream().write(request);
            socket.getOutputStream().flush();
            readAnswer(new BufferedInputStream(socket.getInputStream()), answer);
        } catch (IOException e) {
            answer.failure = e.toString();
        }
        answer.millis = millis() - start;
        note("client at " + router.name + " got " + answer);
        return answer;
    }

    static void readAnswer(InputStream in, Answer answer) throws IOException {
        Http.Message head = Http.readHead(in);
        answer.status = head.status();
        answer.stamped = head.headers.containsKey("X-Server-Stamp");
        answer.retryAfter = head.header("Retry-After", "");
        if (!Http.chunked(head)) {
            Http.readBody(in, head);
            answer.body = head.body;
            answer.complete = true;
            return;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                body.write(chunk);
            }
            answer.complete = true;
        } finally {
            answer.body = body.toByteArray();
            answer.events = answer.body.length == 0 ? 0 : new String(answer.body, UTF_8).split("\n\n", -1).length - 1;
        }
    }

    /** Writes a configuration with a stream, an unsafe and a safe route, and the given tenants as name, key and prepaid. */
    void configure(long version, String[][] tenants) {
        StringBuilder list = new StringBuilder();
        for (String[] tenant : tenants) {
            list.append(list.length() == 0 ? "" : ",")
                    .append("{\"name\":\"" + tenant[0] + "\",\"api_keys\":[\"" + tenant[1] + "\"],\"priority\":1"
                            + (tenant[2].isEmpty() ? "" : ",\"prepaid\":" + tenant[2]) + "}");
        }
        store.write("config", "main", """
            {"version":%d,"routes":[
             {"name":"r-chat","host":"%s","path_prefix":"/chat/","kind":"streaming","timeout_ms":15000,"target_latency_ms":500,"priority":0,"service":"llm","max_attempts":2,"anonymous":false,"session_affinity":true,"stream_resume":true,"gap_aim_ms":400},
             {"name":"r-digest","host":"%s","path_prefix":"/digest/","kind":"streaming","timeout_ms":6000,"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":1,"anonymous":false,"session_affinity":true,"stream_resume":false,"gap_aim_ms":400},
             {"name":"r-sign","host":"%s","path_prefix":"/sign/","kind":"unsafe","timeout_ms":1500,"target_latency_ms":193,"priority":2,"service":"app","max_attempts":1,"anonymous":false,"session_affinity":false,"stream_resume":false},
             {"name":"r-read","host":"%s","path_prefix":"/read/","kind":"safe","timeout_ms":1500,"target_latency_ms":193,"priority":2,"service":"app","max_attempts":2,"anonymous":false,"session_affinity":false,"stream_resume":false}],
             "services":[{"name":"llm","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":283444,"kv_token_bytes":163840,"link_mbps":550000.0,"stride":%d,"models":[{"name":"m"}]}},
              {"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[%s]}"""
                .formatted(version, HOST, HOST, HOST, HOST, STRIDE, list)
                .replace("\n", ""));
        note("operator wrote configuration " + version);
    }
}
