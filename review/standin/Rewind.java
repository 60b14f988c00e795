import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Three routers, one tenant with a prepaid budget, and clients that go on calling. With trouble, the store is away for a second
 * and comes back from a copy that is three seconds old. The check: the tenant gets no more than its prepaid tokens.
 */
final class Rewind {
    private static final int ROUTERS = 3;
    private static final int CLIENTS = 18;
    private static final int INPUT_TOKENS = 1_000;
    private static final int EVENTS = 10;
    private static final int TOKENS_PER_EVENT = 3;
    private static final long PREPAID = 600_000;
    private static final long REWIND_AT_MILLIS = 7_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long COPY_AGE_MILLIS = 3_000;
    private static final long LENGTH_MILLIS = 35_000;

    private static long startedAt;

    private record Row(String id, int router, long sentMillis, long endMillis, Client.Answer answer) {}

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0], "record.txt")));
                Fleet fleet = new Fleet()) {
            exit = play(fleet, trouble, record);
            fleet.close();
            fleet.removeFolder();
        } catch (Exception e) {
            // The case could not run to its end.
            e.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private static int play(Fleet fleet, boolean trouble, PrintWriter record) throws Exception {
        Store store = new Store(fleet.storeHost, fleet.storePort);
        JsonNode configuration = Store.JSON.readTree("{\"version\":7,\"routes\":[{\"name\":\"r-chat\",\"host\":\"lab.example\","
                + "\"path_prefix\":\"/chat/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":500,\"priority\":0,"
                + "\"service\":\"llm\",\"max_attempts\":2,\"anonymous\":false,\"session_affinity\":true,\"stream_resume\":true,"
                + "\"gap_aim_ms\":400}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"stride\":3}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"],\"prepaid\":" + PREPAID + "}]}");
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Engine engine = new Engine(
                    "i-engine" + i, "127.0.2." + (i + 1), Fleet.freePort(), "llm", Fleet.ZONES[i % 3], EVENTS, 20, 0);
            engine.open();
            engines.add(engine);
        }
        Runnable writeAgain = () -> {
            store.put("config", "main", configuration);
            engines.forEach(engine -> store.put("servers", engine.id, engine.entry(false)));
        };
        writeAgain.run();
        store.copy();
        store.open();
        daemon(() -> every(100, store::copy));
        daemon(() -> every(1_200, () -> engines.forEach(engine -> store.put("servers", engine.id, engine.entry(true)))));
        for (int i = 0; i < ROUTERS; i++) {
            fleet.start(i);
        }
        if (!fleet.awaitReady(ROUTERS, 20_000)) {
            System.out.println("the routers are not ready after 20 s");
            return 2;
        }
        Thread.sleep(1_000);
        startedAt = now();
        Queue<Row> rows = new ConcurrentLinkedQueue<>();
        AtomicLong ids = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int router = i % ROUTERS;
            clients.add(daemon(() -> call(fleet, router, rows, ids)));
        }
        if (trouble) {
            Thread.sleep(REWIND_AT_MILLIS - (now() - startedAt));
            long before = store.revision();
            store.away();
            Thread.sleep(AWAY_MILLIS);
            // The copy is as old as said when the store goes away.
            long age = store.rewind(COPY_AGE_MILLIS + AWAY_MILLIS) - AWAY_MILLIS;
            long after = store.revision();
            writeAgain.run();
            store.open();
            record.printf(
                    "%6d ms store back from a copy taken %d ms before it went away; revision %d, was %d%n",
                    now() - startedAt, age, after, before);
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(rows, engines, record);
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void every(long millis, Runnable action) {
        while (true) {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException e) {
                return;
            }
            action.run();
        }
    }

    private static void call(Fleet fleet, int router, Queue<Row> rows, AtomicLong ids) {
        try (Client client = new Client(Fleet.address(router), fleet.frontPort, "lab.example")) {
            while (now() - startedAt < LENGTH_MILLIS) {
                long number = ids.incrementAndGet();
                String id = "a" + Long.toHexString(1_000_000 + number);
                Map<String, String> headers = Map.of(
                        "X-Attempt-Id", id,
                        "X-Model", "m",
                        "X-Token-Count", INPUT_TOKENS + "," + EVENTS * TOKENS_PER_EVENT,
                        "X-Prompt-Prefix", "5c1e07a2:600," + Long.toHexString(0x70000000L + number) + ":400",
                        "X-Deadline-Ms", "6000",
                        "X-Credential", "key-a");
                long sent = now() - startedAt;
                Client.Answer answer =
                        client.send("POST", "/chat/" + number, headers, "{}".getBytes(), 7_000);
                rows.add(new Row(id, router, sent, now() - startedAt, answer));
                long pause = 150;
                if (answer.status() != 200) {
                    double wait = answer.retryAfter() == null ? 0.5 : Double.parseDouble(answer.retryAfter());
                    pause = (long) (1_000 * Math.min(wait, 2));
                }
                Thread.sleep(pause);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int judge(Queue<Row> rows, List<Engine> engines, PrintWriter record) {
        long consumed = 0;
        int served = 0;
        java.util.TreeMap<Integer, Integer> statuses = new java.util.TreeMap<>();
        for (Row row : rows) {
            record.printf(
                    "%6d ms sent %s to router %d; answer at %d ms: status %d, %d events, %s%n",
                    row.sentMillis(), row.id(), row.router(), row.endMillis(), row.answer().status(),
                    row.answer().events(), row.answer().whole() ? "whole" : "not whole: " + row.answer().cause());
            statuses.merge(row.answer().status(), 1, Integer::sum);
            if (row.answer().status() == 200 && row.answer().events() > 0) {
                served++;
                consumed += INPUT_TOKENS + (long) row.answer().events() * TOKENS_PER_EVENT;
            }
        }
        for (Engine engine : engines) {
            for (Engine.Run run : engine.runs) {
                record.printf("%6d ms engine %s ran %s for %s%n", run.atMillis() - startedAt, engine.id, run.id(), run.tenant());
            }
        }
        boolean broken = consumed > PREPAID;
        String result = String.format(
                "statuses %s; %d requests served; tokens got %d, prepaid %d: BUDGET %s",
                statuses, served, consumed, PREPAID, broken ? "BROKEN" : "held");
        record.println(result);
        System.out.println(result);
        if (served < 50) {
            System.out.println("too few requests were served to judge");
            return 2;
        }
        return broken ? 1 : 0;
    }
}
