import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import static java.nio.charset.StandardCharsets.UTF_8;

/** CONFIG: requests at a router to which other clients send bodies well below max_body_bytes at the same time. */
final class LargeBodies {
    private static final String KEY = "xd9dnn2ctnfzs989anu6";
    private static final int LARGE_CLIENTS = 60;
    private static final int LARGE_BYTES = 2_000_000;
    private static final long LARGE_PAUSE_MILLIS = 5_000;
    private static final int LARGE_ROUNDS = 2;
    private static final int SMALL_CLIENTS = 12;
    private static final long SMALL_PAUSE_MILLIS = 600;
    private static final long TIMEOUT_MILLIS = 1_500;
    private static final long SLACK_MILLIS = 500;
    private static final long WAIT_MILLIS = 6_000;

    private final Fleet fleet;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger unansweredAtTimeout = new AtomicInteger();
    private final AtomicInteger unansweredLater = new AtomicInteger();
    private final AtomicInteger ranUnanswered = new AtomicInteger();
    private volatile long endMillis;

    private LargeBodies(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        int result = 2;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), 3)) {
            result = new LargeBodies(fleet).play(!"0".equals(System.getenv("TROUBLE")));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private int play(boolean withTrouble) throws Exception {
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
        Fleet.Router router = fleet.routers.get(0);
        endMillis = fleet.millis() + 2_000 + LARGE_ROUNDS * LARGE_PAUSE_MILLIS + 4_000;
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            clients.add(Http.THREADS.submit(() -> sendSmall(router)));
        }
        Fleet.sleep(2_000);
        byte[] body = new byte[withTrouble ? LARGE_BYTES : 600];
        fleet.note(LARGE_CLIENTS + " clients begin to send bodies of " + body.length + " bytes");
        for (int i = 0; i < LARGE_CLIENTS; i++) {
            clients.add(Http.THREADS.submit(() -> sendLarge(router, body)));
        }
        for (Future<?> client : clients) {
            client.get();
        }
        boolean ready = router.ready();
        String summary = "small unsafe requests: " + answered + " answered in time, " + unansweredAtTimeout
                + " unanswered at timeout_ms, " + unansweredLater + " of them also " + SLACK_MILLIS + " ms later, "
                + ranUnanswered + " of these had been run by an engine; at the end the process is "
                + (router.alive() ? "running" : "not running") + " and " + (ready ? "ready" : "does not answer readiness checks");
        fleet.note(summary);
        System.out.println("CONFIG: " + summary);
        if (answered.get() < 50) {
            return 2;
        }
        return unansweredAtTimeout.get() >= 8 && 2 * unansweredLater.get() > unansweredAtTimeout.get() ? 1 : 0;
    }

    private void sendSmall(Fleet.Router router) {
        while (fleet.millis() < endMillis) {
            Fleet.Answer answer = send(router, "entry".getBytes(UTF_8));
            if (answer.status != 0 && answer.millis < TIMEOUT_MILLIS) {
                answered.incrementAndGet();
            } else if (answer.millis >= TIMEOUT_MILLIS) {
                boolean later = answer.millis > TIMEOUT_MILLIS + SLACK_MILLIS;
                boolean ran = fleet.engines.stream().anyMatch(engine -> engine.runs.containsKey(answer.id));
                unansweredAtTimeout.incrementAndGet();
                unansweredLater.addAndGet(later ? 1 : 0);
                ranUnanswered.addAndGet(later && ran ? 1 : 0);
            }
            Fleet.sleep(SMALL_PAUSE_MILLIS);
        }
    }

    private void sendLarge(Fleet.Router router, byte[] body) {
        for (int i = 0; i < LARGE_ROUNDS; i++) {
            long start = fleet.millis();
            send(router, body);
            Fleet.sleep(Math.max(0, start + LARGE_PAUSE_MILLIS - fleet.millis()));
        }
    }

    /** Sends an unsafe request on a new channel, and waits for its answer for longer than the route allows. */
    private Fleet.Answer send(Fleet.Router router, byte[] body) {
        Fleet.Answer answer = new Fleet.Answer();
        answer.id = fleet.newId();
        long start = fleet.millis();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(router.ip), router.port()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) WAIT_MILLIS);
            byte[] request = Fleet.requestBytes("POST", "/sign/2f", answer.id, KEY, WAIT_MILLIS, "", body);
            socket.getOutputStream().write(request);
            start = fleet.millis();
            Fleet.readAnswer(new BufferedInputStream(socket.getInputStream()), answer);
        } catch (IOException e) {
            answer.failure = e.toString();
        }
        answer.millis = fleet.millis() - start;
        fleet.note("client with " + body.length + " bytes got " + answer);
        return answer;
    }
}
