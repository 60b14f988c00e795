import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A model engine leaves without a report of draining: the store acknowledges that its entry is removed. The store cuts waiting
 * watches off now and then. Callers are few, so that no answer of the engine tells the routers that it leaves.
 */
final class Case13 {
    private static final int ROUTERS = 2;
    private static final long WATCH_CUT_MILLIS = 800;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long QUIET_MILLIS = 2_600;
    private static final long EXIT_MILLIS = 3_600;
    private static final int DIGESTS = 12;

    private Case13() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            fleet.store.write("config", "main", fleet.configuration(7, 2_796_385));
            for (String zone : List.of("arequipa", "moquegua", "tacna")) {
                fleet.engine("i-llm-" + zone, "llm", zone);
            }
            for (int i = 1; i <= ROUTERS; i++) {
                fleet.router(i).start();
            }
            if (fleet.awaitReady(30_000)) {
                result = play(fleet, trouble);
            }
            fleet.noteRuns();
            fleet.note("store: " + fleet.store.counts);
            fleet.note("exit code " + result);
        } catch (Throwable e) {
            e.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    private static int play(Fleet fleet, boolean trouble) throws Exception {
        List<Fleet.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        ExecutorService callers = Executors.newCachedThreadPool();
        // The shares of the budget are granted meanwhile.
        Thread.sleep(4_000);
        fleet.store.cutWatchesAfterMillis = trouble ? WATCH_CUT_MILLIS : 0;
        for (int i = 0; i < 2 * DIGESTS; i++) {
            digest(fleet, callers, answers, i);
            Thread.sleep(150);
        }
        // The machines and the store are undisturbed for longer than contact_ms, and the requests so far end.
        Thread.sleep(4_000);
        // The engine that holds the shared part of the prompts gets most of the requests.
        Engine engine = fleet.engines.stream()
                .max(Comparator.comparingInt(candidate -> candidate.runs().size()))
                .orElseThrow();
        long acknowledgedNanos = engine.leaveSilently();
        fleet.note("the store acknowledged that the entry of " + engine.id + " is removed");
        Thread.sleep(QUIET_MILLIS);
        int first = answers.size();
        for (int i = 0; i < DIGESTS; i++) {
            digest(fleet, callers, answers, i);
        }
        Thread.sleep(EXIT_MILLIS - QUIET_MILLIS);
        engine.exit();
        fleet.note(engine.id + " exits");
        callers.shutdown();
        if (!callers.awaitTermination(20, TimeUnit.SECONDS)) {
            return 2;
        }
        return judge(fleet, engine, acknowledgedNanos, answers, first);
    }

    private static void digest(Fleet fleet, ExecutorService callers, List<Fleet.Answer> answers, int number) {
        Fleet.Router router = fleet.routers.get(number % ROUTERS);
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
        long lost = answers.stream().skip(first).filter(answer -> !answer.complete()).count();
        String summary = served + " of " + first + " requests served before, " + late + " of " + DIGESTS
                + " requests reached the engine later than " + DRAIN_MILLIS + " ms after the acknowledgement, " + lost
                + " of them were cut off when it exited";
        fleet.note(summary);
        System.out.println(summary);
        if (served < first * 9 / 10) {
            return 2;
        }
        return late > 0 ? 1 : 0;
    }
}
