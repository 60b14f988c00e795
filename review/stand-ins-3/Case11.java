import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * One of three application engines is in trouble: it runs requests and answers a part of them with 503, without the header that
 * says that it has not run them. Callers file log entries, and file an entry once more only after a promise that it has not run.
 */
final class Case11 {
    private static final int ROUTERS = 2;
    private static final int ENTRIES = 240;
    private static final int GAP_MILLIS = 50;
    private static final double FAILED_SHARE = 0.4;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private record Filed(int entry, List<Fleet.Answer> answers) {}

    private Case11() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            fleet.store.write("config", "main", fleet.configuration(7, 2_796_385));
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
        ExecutorService callers = Executors.newCachedThreadPool();
        List<Filed> filed = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            if (trouble && i == ENTRIES / 4) {
                fleet.note("engine i-app-arequipa begins to fail " + FAILED_SHARE + " of its requests with 503 after it ran them");
                fleet.engines.get(0).failedShare = FAILED_SHARE;
            }
            int entry = i;
            Filed one = new Filed(entry, new ArrayList<>());
            filed.add(one);
            callers.execute(() -> file(fleet, one));
            Thread.sleep(GAP_MILLIS);
        }
        callers.shutdown();
        if (!callers.awaitTermination(20, TimeUnit.SECONDS)) {
            return 2;
        }
        return judge(fleet, filed);
    }

    /** Files an entry as a caller does: at most one retry, and only after a promise that the first request has not run. */
    private static void file(Fleet fleet, Filed filed) {
        for (int attempt = 0; attempt < 2; attempt++) {
            Fleet.Router router = fleet.routers.get((filed.entry() + attempt) % ROUTERS);
            Fleet.Answer answer =
                    fleet.call(router, "POST", Fleet.SIGN + "entry-" + filed.entry(), "", new byte[600], 1_500);
            fleet.noteAnswer(router, answer);
            filed.answers().add(answer);
            if (!PROMISES.contains(answer.status())) {
                return;
            }
        }
    }

    private static int judge(Fleet fleet, List<Filed> filed) {
        Set<String> ran = new HashSet<>();
        for (Engine engine : fleet.engines) {
            engine.runs().stream().filter(Engine.Run::ran).forEach(run -> ran.add(run.id()));
        }
        int answered = 0;
        int broken = 0;
        int twice = 0;
        for (Filed one : filed) {
            long runs = one.answers().stream().filter(answer -> ran.contains(answer.id())).count();
            for (Fleet.Answer answer : one.answers()) {
                answered += answer.status() == 200 ? 1 : 0;
                if (PROMISES.contains(answer.status()) && ran.contains(answer.id())) {
                    broken++;
                    fleet.note("REFUSED: " + answer.id() + " was answered " + answer.status() + " and has run");
                }
            }
            if (runs > 1) {
                twice++;
                fleet.note("entry " + one.entry() + " was filed " + runs + " times");
            }
        }
        String summary = ENTRIES + " entries, " + answered + " answered 200, " + broken
                + " requests answered as not run that have run, " + twice + " entries filed twice";
        fleet.note(summary);
        System.out.println(summary);
        if (answered < ENTRIES / 2) {
            return 2;
        }
        return broken > 0 ? 1 : 0;
    }
}
