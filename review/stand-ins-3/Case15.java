import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The operator raises the longest body that callers may send. Callers keep their channels open, as before, and send longer bodies
 * on them some seconds after the store has acknowledged the new version.
 */
final class Case15 {
    private static final int ROUTERS = 2;
    private static final int CALLERS = 20;
    private static final int SMALL_REQUESTS = 8;
    private static final int SMALL_BYTES = 18_000;
    private static final int LARGE_BYTES = 100_000;
    private static final int OLD_LIMIT_BYTES = 65_536;
    private static final int NEW_LIMIT_BYTES = 4_194_304;
    private static final long APPLY_MILLIS = 2_000;
    private static final long WAIT_MILLIS = 5_000;

    private Case15() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            ObjectNode first = fleet.configuration(7, 2_796_385);
            Fleet.limits(first, 16_384, trouble ? OLD_LIMIT_BYTES : NEW_LIMIT_BYTES, 15_000);
            fleet.store.write("config", "main", first);
            for (String zone : List.of("arequipa", "moquegua", "tacna")) {
                fleet.engine("i-app-" + zone, "app", zone);
            }
            for (int i = 1; i <= ROUTERS; i++) {
                fleet.router(i).start();
            }
            if (fleet.awaitReady(30_000)) {
                result = play(fleet, trouble);
            }
            fleet.noteRuns();
            fleet.note("exit code " + result);
        } catch (Throwable e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        List<Fleet.Answer> small = Collections.synchronizedList(new ArrayList<>());
        List<Fleet.Answer> large = Collections.synchronizedList(new ArrayList<>());
        CountDownLatch opened = new CountDownLatch(CALLERS);
        CountDownLatch inForce = new CountDownLatch(1);
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int i = 0; i < CALLERS; i++) {
            Fleet.Router router = fleet.routers.get(i % ROUTERS);
            callers.execute(() -> call(fleet, router, small, large, opened, inForce));
        }
        opened.await(20, TimeUnit.SECONDS);
        if (trouble) {
            ObjectNode second = fleet.configuration(9, 2_796_385);
            Fleet.limits(second, 16_384, NEW_LIMIT_BYTES, 15_000);
            fleet.store.write("config", "main", second);
            fleet.note("the store acknowledged version 9 with max_body_bytes " + NEW_LIMIT_BYTES);
        }
        Thread.sleep(WAIT_MILLIS);
        inForce.countDown();
        callers.shutdown();
        if (!callers.awaitTermination(30, TimeUnit.SECONDS)) {
            return 2;
        }
        long served = small.stream().filter(answer -> answer.status() == 200).count();
        long denied = large.stream().filter(answer -> answer.status() == 413).count();
        int requests = small.size() + large.size();
        double allowed = 5 + requests / 500.0;
        String summary = served + " of " + small.size() + " short requests served; of " + large.size()
                + " long ones, sent later than " + APPLY_MILLIS + " ms after the acknowledgement, "
                + large.stream().filter(answer -> answer.status() == 200).count() + " served and " + denied
                + " answered 413; allowed are " + allowed;
        fleet.note(summary);
        System.out.println(summary);
        if (served < small.size() * 9 / 10) {
            return 2;
        }
        return denied > allowed ? 1 : 0;
    }

    private static void call(
            Fleet fleet,
            Fleet.Router router,
            List<Fleet.Answer> small,
            List<Fleet.Answer> large,
            CountDownLatch opened,
            CountDownLatch inForce) {
        try (Http.Connection channel = fleet.connect(router)) {
            for (int i = 0; i < SMALL_REQUESTS; i++) {
                send(fleet, router, channel, SMALL_BYTES, small);
                Thread.sleep(200);
            }
            opened.countDown();
            // The channel stays in use until the new version is in force.
            while (!inForce.await(800, TimeUnit.MILLISECONDS)) {
                send(fleet, router, channel, SMALL_BYTES, small);
            }
            send(fleet, router, channel, LARGE_BYTES, large);
        } catch (java.io.IOException | InterruptedException e) {
            fleet.note("a caller failed: " + e);
        }
    }

    private static void send(
            Fleet fleet, Fleet.Router router, Http.Connection channel, int bytes, List<Fleet.Answer> answers) {
        Fleet.Answer answer =
                fleet.exchange(channel, "POST", Fleet.SIGN + "2f", fleet.nextId(), "", new byte[bytes], 1_500);
        fleet.noteAnswer(router, answer);
        answers.add(answer);
    }
}
