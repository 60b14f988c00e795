import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A router is killed and starts again. The store lists more engines than fit on one page, most of them of other services. An engine
 * reports that it drains after the router has got the first page and before it has got the last one.
 */
final class Case14 {
    private static final int ROUTERS = 2;
    private static final int OTHER_ENGINES = 1_200;
    private static final int OTHER_SERVICES = 40;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long CONTACT_MILLIS = 3_000;
    private static final long QUIET_MILLIS = 5_000;
    private static final long EXIT_MILLIS = 6_000;
    private static final int DIGESTS = 12;

    private Case14() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            fleet.store.write("config", "main", fleet.configuration(7, 2_796_385));
            for (String zone : List.of("arequipa", "moquegua", "tacna")) {
                fleet.engine("i-llm-" + zone, "llm", zone);
            }
            for (int i = 0; i < OTHER_ENGINES; i++) {
                fleet.store.write("servers", String.format("j-%05d", i), otherEngine(i));
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

    private static ObjectNode otherEngine(int number) {
        return Store.JSON
                .createObjectNode()
                .put("service", "other-" + number % OTHER_SERVICES)
                .put("address", "127.0.64." + (1 + number % 200) + ":" + (3_000 + number))
                .put("zone", "tacna")
                .put("version", "v1")
                .put("slots", 6)
                .put("state", "ready")
                .put("cold_left_ms", 0)
                .put("born", 1_796_000_000_000L + number)
                .put("sequence", 1);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        List<Fleet.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        ExecutorService callers = Executors.newCachedThreadPool();
        // The shares of the budget are granted meanwhile.
        Thread.sleep(4_000);
        for (int i = 0; i < 2 * DIGESTS; i++) {
            digest(fleet, callers, answers, i % ROUTERS);
            Thread.sleep(150);
        }
        Thread.sleep(3_000);
        Engine engine = fleet.engines.stream()
                .max(Comparator.comparingInt(candidate -> candidate.runs().size()))
                .orElseThrow();
        AtomicLong acknowledgedNanos = new AtomicLong();
        Fleet.Router restarted = fleet.routers.get(0);
        restarted.kill();
        fleet.store.pageListener = kind -> {
            if (trouble && kind.equals("servers") && acknowledgedNanos.compareAndSet(0, 1)) {
                acknowledgedNanos.set(engine.drain());
                fleet.note("the store acknowledged that " + engine.id + " drains, between two pages of the list");
            }
        };
        Thread.sleep(500);
        restarted.start();
        long startedNanos = System.nanoTime();
        if (!fleet.awaitReady(10_000)) {
            return 2;
        }
        if (!trouble) {
            acknowledgedNanos.set(engine.drain());
            fleet.note("the store acknowledged that " + engine.id + " drains, after the list");
        }
        if (acknowledgedNanos.get() < 2) {
            return 2;
        }
        sleepUntil(Math.max(
                startedNanos + (CONTACT_MILLIS + 500) * 1_000_000, acknowledgedNanos.get() + QUIET_MILLIS * 1_000_000));
        int first = answers.size();
        for (int i = 0; i < DIGESTS; i++) {
            digest(fleet, callers, answers, 0);
        }
        sleepUntil(acknowledgedNanos.get() + EXIT_MILLIS * 1_000_000);
        engine.exit();
        fleet.note(engine.id + " exits");
        callers.shutdown();
        if (!callers.awaitTermination(20, TimeUnit.SECONDS)) {
            return 2;
        }
        return judge(fleet, engine, acknowledgedNanos.get(), answers, first);
    }

    private static void sleepUntil(long atNanos) throws InterruptedException {
        Thread.sleep(Math.max(0, (atNanos - System.nanoTime()) / 1_000_000));
    }

    private static void digest(Fleet fleet, ExecutorService callers, List<Fleet.Answer> answers, int number) {
        Fleet.Router router = fleet.routers.get(number);
        callers.execute(() -> {
            Fleet.Answer answer =
                    fleet.call(router, "POST", Fleet.DIGEST + "2f", "2890,75", new byte[18_000], 6_000);
            fleet.noteAnswer(router, answer);
            answers.add(answer);
        });
    }

    private static int judge(
            Fleet fleet, Engine engine, long acknowledgedNanos, List<Fleet.Answer> answers, int first) {
        long late = engine.runs().stream()
                .filter(Engine.Run::ran)
                .filter(run -> run.atNanos() > acknowledgedNanos + DRAIN_MILLIS * 1_000_000)
                .peek(run -> fleet.note("DRAIN: " + run.id() + " reached " + run.engine() + " "
                        + (run.atNanos() - acknowledgedNanos) / 1_000_000 + " ms after the acknowledgement"))
                .count();
        long served = answers.stream()
                .limit(first)
                .filter(answer -> answer.status() == 200 && answer.complete())
                .count();
        long lost = answers.stream()
                .skip(first)
                .filter(answer -> answer.status() == 200 && !answer.complete())
                .count();
        String summary = served + " of " + first + " requests served before, " + late + " of " + DIGESTS
                + " requests reached the engine later than " + DRAIN_MILLIS + " ms after the acknowledgement, " + lost
                + " were cut off when it exited";
        fleet.note(summary);
        System.out.println(summary);
        if (served < first * 9 / 10) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
