import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Three routers and two tenants. The operator changes the configuration twice. With trouble, the store is then away for a moment,
 * without answering, and comes back from a copy that is two seconds old. The operator writes the newest configuration again, and
 * one more that takes a tenant's key away and moves a route to another service. The check: no request sent later than the bound
 * after that is handled as only an older version allows.
 */
final class Revoked {
    private static final int ROUTERS = 3;
    private static final long FIRST_CHANGE_MILLIS = 4_000;
    private static final long SECOND_CHANGE_MILLIS = 4_500;
    private static final long AWAY_AT_MILLIS = 5_200;
    private static final long AWAY_MILLIS = 1_000;
    private static final long COPY_AGE_MILLIS = 2_000;
    private static final long WRITE_AGAIN_MILLIS = 300;
    private static final long LAST_CHANGE_MILLIS = 300;

    /** config_apply_ms, and max_skew_ms and contact_ms on top of it. */
    private static final long APPLIED_MILLIS = 2_000 + 5_000 + 3_000;

    private static final long LENGTH_MILLIS = 35_000;

    private static long startedAt;

    private record Row(String id, String key, int router, long sentMillis, long endMillis, Client.Answer answer) {}

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

    private static JsonNode configuration(int version, int timeoutMillis, String service, String keysOfB) throws Exception {
        return Store.JSON.readTree("{\"version\":" + version + ",\"routes\":[{\"name\":\"r-sign\",\"host\":\"lab.example\","
                + "\"path_prefix\":\"/sign/\",\"kind\":\"unsafe\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":500,\"priority\":0,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"anonymous\":false}],"
                + "\"services\":[{\"name\":\"old-app\",\"health_path\":\"/healthz\",\"max_conns\":96,"
                + "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"new-app\",\"health_path\":\"/healthz\",\"max_conns\":96,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-a\",\"api_keys\":[\"key-a\"]},{\"name\":\"tenant-b\",\"api_keys\":["
                + keysOfB + "]}]}");
    }

    private static int play(Fleet fleet, boolean trouble, PrintWriter record) throws Exception {
        Store store = new Store(fleet.storeHost, fleet.storePort);
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Engine engine = new Engine(
                    "i-app" + i, "127.0.2." + (i + 1), Fleet.freePort(), i < 2 ? "old-app" : "new-app", Fleet.ZONES[i % 3], 0, 0,
                    43);
            engine.open();
            engines.add(engine);
        }
        store.put("config", "main", configuration(7, 1_500, "old-app", "\"key-b\",\"key-c\""));
        // The entry of an engine changes only when more than its sequence changes, so that heartbeats change nothing here.
        engines.forEach(engine -> store.put("servers", engine.id, engine.entry(false)));
        store.copy();
        store.open();
        for (int i = 0; i < ROUTERS; i++) {
            fleet.start(i);
        }
        if (!fleet.awaitReady(ROUTERS, 20_000)) {
            System.out.println("the routers are not ready after 20 s");
            return 2;
        }
        Thread.sleep(1_000);
        daemon(() -> {
            while (true) {
                sleep(100);
                store.copy();
            }
        });
        startedAt = now();
        Queue<Row> rows = new ConcurrentLinkedQueue<>();
        AtomicLong ids = new AtomicLong();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            int router = i;
            clients.add(daemon(() -> call(fleet, router, "key-a", rows, ids)));
            clients.add(daemon(() -> call(fleet, router, "key-b", rows, ids)));
        }
        sleepUntil(FIRST_CHANGE_MILLIS);
        store.put("config", "main", configuration(8, 1_600, "old-app", "\"key-b\",\"key-c\""));
        sleepUntil(SECOND_CHANGE_MILLIS);
        JsonNode newest = configuration(9, 1_700, "old-app", "\"key-b\",\"key-c\"");
        store.put("config", "main", newest);
        long before = store.revision();
        sleepUntil(AWAY_AT_MILLIS);
        if (trouble) {
            store.fallSilent(fleet.storeHost);
            sleepUntil(AWAY_AT_MILLIS + AWAY_MILLIS);
            long age = store.rewind(COPY_AGE_MILLIS + AWAY_MILLIS) - AWAY_MILLIS;
            store.speakAgain(fleet.storeHost);
            record.printf(
                    "%6d ms store back from a copy taken %d ms before it went away; revision %d, was %d%n",
                    now() - startedAt, age, store.revision(), before);
        }
        sleepUntil(AWAY_AT_MILLIS + AWAY_MILLIS + WRITE_AGAIN_MILLIS);
        long again = store.put("config", "main", newest);
        sleepUntil(AWAY_AT_MILLIS + AWAY_MILLIS + WRITE_AGAIN_MILLIS + LAST_CHANGE_MILLIS);
        long last = store.put("config", "main", configuration(12, 1_700, "new-app", "\"key-c\""));
        long acknowledged = now() - startedAt;
        record.printf(
                "%6d ms configuration 9 written again at revision %d; configuration 12 acknowledged at revision %d: takes key-b"
                        + " away and moves the route to new-app%n",
                acknowledged, again, last);
        for (Thread client : clients) {
            client.join();
        }
        return judge(rows, engines, acknowledged, record);
    }

    private static void sleepUntil(long millis) {
        sleep(Math.max(0, millis - (now() - startedAt)));
    }

    private static Thread daemon(Runnable action) {
        Thread thread = new Thread(action);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void call(Fleet fleet, int router, String key, Queue<Row> rows, AtomicLong ids) {
        try (Client client = new Client(Fleet.address(router), fleet.frontPort, "lab.example")) {
            while (now() - startedAt < LENGTH_MILLIS) {
                long number = ids.incrementAndGet();
                String id = "a" + Long.toHexString(1_000_000 + number);
                Map<String, String> headers =
                        Map.of("X-Attempt-Id", id, "X-Deadline-Ms", "1500", "X-Credential", key);
                long sent = now() - startedAt;
                Client.Answer answer = client.send("POST", "/sign/" + number, headers, "{}".getBytes(), 2_500);
                rows.add(new Row(id, key, router, sent, now() - startedAt, answer));
                sleep(200);
            }
        }
    }

    private static int judge(Queue<Row> rows, List<Engine> engines, long acknowledged, PrintWriter record) {
        Map<String, String> ranBy = new HashMap<>();
        for (Engine engine : engines) {
            for (Engine.Run run : engine.runs) {
                ranBy.put(run.id(), engine.service);
                record.printf(
                        "%6d ms engine %s of %s ran %s for %s%n",
                        run.atMillis() - startedAt, engine.id, engine.service, run.id(), run.tenant());
            }
        }
        int judged = 0;
        int runWithDroppedKey = 0;
        int runByOldService = 0;
        int served = 0;
        TreeMap<String, Integer> statuses = new TreeMap<>();
        for (Row row : rows) {
            record.printf(
                    "%6d ms sent %s with %s to router %d; answer at %d ms: status %d, %s%n",
                    row.sentMillis(), row.id(), row.key(), row.router(), row.endMillis(), row.answer().status(),
                    row.answer().whole() ? "whole" : "not whole: " + row.answer().cause());
            served += row.answer().status() == 200 ? 1 : 0;
            if (row.sentMillis() <= acknowledged + APPLIED_MILLIS) {
                continue;
            }
            judged++;
            statuses.merge(row.key() + " " + row.answer().status(), 1, Integer::sum);
            String service = ranBy.get(row.id());
            runWithDroppedKey += row.key().equals("key-b") && service != null ? 1 : 0;
            runByOldService += "old-app".equals(service) ? 1 : 0;
        }
        boolean broken = runWithDroppedKey > 0 || runByOldService > 0;
        String result = String.format(
                "requests sent later than %d ms after the acknowledgement: %d, statuses %s; run with the key that was taken away: %d,"
                        + " run by the old service: %d: CONFIG %s",
                APPLIED_MILLIS, judged, statuses, runWithDroppedKey, runByOldService, broken ? "BROKEN" : "held");
        record.println(result);
        System.out.println(result);
        if (served < 50 || judged < 20) {
            System.out.println("too few requests to judge");
            return 2;
        }
        return broken ? 1 : 0;
    }
}
