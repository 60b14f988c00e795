import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * One of three model engines is in trouble: its streams go on without end, at the usual pace of events, until the caller closes.
 * Callers of one workspace ask short questions until its prepaid tokens are used up.
 */
final class Case12 {
    private static final int ROUTERS = 2;
    private static final long PREPAID = 200_000;
    private static final int QUESTIONS = 300;
    private static final int GAP_MILLIS = 100;
    private static final int EVENT_MILLIS = 20;
    private static final String TOKENS = "628,288";

    private Case12() {}

    public static void main(String[] args) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(args[0]))) {
            fleet.store.write("config", "main", fleet.configuration(7, PREPAID));
            for (String zone : List.of("arequipa", "moquegua", "tacna")) {
                fleet.engine("i-llm-" + zone, "llm", zone).eventMillis = EVENT_MILLIS;
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
        // The shares of the budget are granted meanwhile.
        Thread.sleep(4_000);
        List<Fleet.Answer> answers = Collections.synchronizedList(new ArrayList<>());
        ExecutorService callers = Executors.newCachedThreadPool();
        for (int i = 0; i < QUESTIONS; i++) {
            if (trouble && i == 10) {
                // The engine that holds the shared part of the prompts gets most of the requests.
                Engine engine = fleet.engines.stream()
                        .max(Comparator.comparingInt(candidate -> candidate.runs().size()))
                        .orElseThrow();
                fleet.note("the streams of " + engine.id + " go on without end from now on");
                engine.endless = true;
            }
            Fleet.Router router = fleet.routers.get(i % ROUTERS);
            callers.execute(() -> {
                Fleet.Answer answer =
                        fleet.call(router, "POST", Fleet.CHAT + "2f", TOKENS, new byte[1_700], 15_000);
                fleet.noteAnswer(router, answer);
                answers.add(answer);
            });
            Thread.sleep(GAP_MILLIS);
        }
        callers.shutdown();
        if (!callers.awaitTermination(30, TimeUnit.SECONDS)) {
            return 2;
        }
        return judge(fleet, answers);
    }

    /** Counts what the workspace got: the prompt of each request that ran, and the tokens of the events that its client received. */
    private static int judge(Fleet fleet, List<Fleet.Answer> answers) {
        Set<String> ran = new HashSet<>();
        for (Engine engine : fleet.engines) {
            engine.runs().stream().filter(Engine.Run::ran).forEach(run -> ran.add(run.id()));
        }
        long inputTokens = Long.parseLong(TOKENS.split(",")[0]);
        long got = 0;
        int served = 0;
        int mostEvents = 0;
        for (Fleet.Answer answer : answers) {
            if (ran.contains(answer.id())) {
                got += inputTokens + (long) Engine.TOKENS_PER_EVENT * answer.events();
            }
            served += answer.status() == 200 && answer.complete() ? 1 : 0;
            mostEvents = Math.max(mostEvents, answer.events());
        }
        String summary = "the workspace got " + got + " of " + PREPAID + " prepaid tokens in " + ran.size()
                + " requests that ran, " + served + " of them answered whole; the longest answer had " + mostEvents
                + " events, " + Engine.TOKENS_PER_EVENT * mostEvents + " tokens, where "
                + TOKENS.split(",")[1] + " were asked for at most";
        fleet.note(summary);
        System.out.println(summary);
        if (served < 5) {
            return 2;
        }
        return got > PREPAID ? 1 : 0;
    }
}
