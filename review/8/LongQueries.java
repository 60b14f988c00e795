import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import static java.nio.charset.StandardCharsets.UTF_8;

/** DENIED: proper requests whose first line is longer than 4,096 bytes, and whose head is far below max_header_bytes. */
final class LongQueries {
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final int CLIENTS_PER_ROUTER = 4;
    private static final int REQUESTS_PER_CLIENT = 50;

    /** One request in so many has a long query. */
    private static final int LONG_EACH = 5;

    private final Fleet fleet;
    private final int longQueryBytes;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger denied = new AtomicInteger();

    private LongQueries(Fleet fleet, int longQueryBytes) {
        this.fleet = fleet;
        this.longQueryBytes = longQueryBytes;
    }

    public static void main(String[] arguments) {
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), 3)) {
            result = new LongQueries(fleet, "0".equals(System.getenv("TROUBLE")) ? 3_000 : 6_000).play();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int play() throws Exception {
        for (String zone : Fleet.ZONES) {
            fleet.new Engine("i-llm-" + zone, "llm", zone, fleet.stream(20, 5));
            fleet.new Engine("i-app-" + zone, "app", zone, fleet.plain(43));
        }
        fleet.configure(7, new String[][] {{"huka270", KEY, ""}});
        fleet.startRouters();
        if (!fleet.awaitReady(20_000)) {
            fleet.note("the routers are not ready");
            return 2;
        }
        Fleet.sleep(3_000);
        List<Future<?>> clients = new ArrayList<>();
        for (Fleet.Router router : fleet.routers) {
            for (int i = 0; i < CLIENTS_PER_ROUTER; i++) {
                clients.add(Http.THREADS.submit(() -> file(router)));
            }
        }
        for (Future<?> client : clients) {
            client.get();
        }
        double allowed = 5 + requests.get() / 500.0;
        String summary = requests + " proper requests, " + served + " served, " + denied
                + " ended with a 4xx of the router's own; the rule allows " + allowed;
        fleet.note(summary);
        System.out.println("DENIED: " + summary);
        if (served.get() < requests.get() / 2) {
            return 2;
        }
        return denied.get() > allowed ? 1 : 0;
    }

    private void file(Fleet.Router router) {
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
            String id = fleet.newId();
            String query = i % LONG_EACH == 0 ? "?note=" + "n".repeat(longQueryBytes) : "?note=n";
            byte[] request =
                    Fleet.requestBytes("POST", "/sign/2f" + query, id, KEY, 1_500, "", "entry".getBytes(UTF_8));
            Fleet.Answer answer = fleet.send(router, request, id, 1_500);
            requests.incrementAndGet();
            served.addAndGet(answer.status == 200 && answer.stamped ? 1 : 0);
            boolean own = !answer.stamped && answer.status >= 300 && answer.status < 500;
            boolean promise = answer.status == 408 || answer.status == 421 || answer.status == 429;
            denied.addAndGet(own && !promise ? 1 : 0);
            Fleet.sleep(100);
        }
    }
}
