package org.radishspan.virtual;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Engines and services on virtual time, addressed by port.
 *
 * <p>An engine answers with {@code max_tokens} words derived from the request id, so that a test can tell whose answer
 * came back. A service runs whatever it is sent and keeps a record.
 */
public final class VirtualTargets {
    /** A request that contains this crashes the target that it is sent to. */
    public static final String CRASH_MARKER = "crash-the-engine";

    /** The tokens that an engine counts for each prompt. */
    public static final int PROMPT_TOKENS = 3;

    private static final long LATENCY_MILLIS = 1;
    private static final long RESTART_MILLIS = 3_000;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final long tokenMillis;
    private double strayFrames;
    private int crashes;
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private final Map<String, Integer> tokensByRequest = new HashMap<>();
    private final Set<Integer> silentPorts = new HashSet<>();
    private final Set<Integer> downPorts = new HashSet<>();
    private final Map<Integer, Integer> dispatchesByPort = new HashMap<>();
    private final List<Exchange> open = new ArrayList<>();

    VirtualTargets(VirtualTime time, UniformRandomProvider random, long tokenMillis) {
        this.time = time;
        this.random = random;
        this.tokenMillis = tokenMillis;
    }

    /** Returns how often each idempotency key ran at services. */
    public Map<String, Integer> runsByKey() {
        return runsByKey;
    }

    /** Returns how often each request id was generated or run. */
    public Map<String, Integer> runsByRequest() {
        return runsByRequest;
    }

    /** Returns how many requests were sent to a port. */
    public int dispatches(int port) {
        return dispatchesByPort.getOrDefault(port, 0);
    }

    /** Lets a target's connections go silent, the open ones included. */
    public void silence(int port, boolean silent) {
        if (silent) {
            silentPorts.add(port);
        } else {
            silentPorts.remove(port);
        }
    }

    /** Sends a part of the engines' frames twice, and once more on the connection of another request. */
    public void strayFrames(double fraction) {
        strayFrames = fraction;
    }

    /** Crashes a target: open connections close, and new ones are refused until it is up again. */
    public void crash(int port) {
        downPorts.add(port);
        for (Exchange exchange : List.copyOf(open)) {
            if (exchange.request.port() == port) {
                exchange.fail("the connection was closed", true);
            }
        }
    }

    private void crashFor(int port) {
        crashes++;
        crash(port);
        time.schedule(RESTART_MILLIS, () -> start(port));
    }

    /** Returns how often a request crashed a target. */
    public int crashes() {
        return crashes;
    }

    /** Starts a crashed target again. */
    public void start(int port) {
        downPorts.remove(port);
    }

    /** Returns the words that an engine answers a request with. */
    public static String answerOf(String requestId, int tokens) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            text.append(word(requestId, i));
        }
        return text.toString();
    }

    private static String word(String requestId, int index) {
        return requestId + "/" + index + " ";
    }

    HttpTransport transportOf(Supplier<VirtualNode> node) {
        return (request, listener) -> {
            Exchange exchange = new Exchange(node.get(), request, listener);
            time.schedule(LATENCY_MILLIS, exchange::arrive);
            return exchange;
        };
    }

    private final class Exchange implements HttpTransport.Call {
        private final VirtualNode caller;
        private final long process;
        private final HttpTransport.Request request;
        private final HttpTransport.Listener listener;
        private boolean finished;
        private long progressAtMillis;

        Exchange(VirtualNode caller, HttpTransport.Request request, HttpTransport.Listener listener) {
            this.caller = caller;
            this.process = caller.generation();
            this.request = request;
            this.listener = listener;
        }

        private String requestId() {
            return request.header("x-request-id").orElse("");
        }

        void arrive() {
            if (finished) {
                return;
            }
            if (downPorts.contains(request.port())) {
                fail("connection refused", false);
                return;
            }
            open.add(this);
            watchProgress();
            if (request.path().equals("/load")) {
                body("{\"running\":0,\"queued\":0}");
                return;
            }
            dispatchesByPort.merge(request.port(), 1, Integer::sum);
            if (new String(request.body(), UTF_8).contains(CRASH_MARKER)) {
                crashFor(request.port());
                return;
            }
            if (request.path().startsWith("/v1/chat/")) {
                runsByRequest.merge(requestId(), 1, Integer::sum);
                int tokens = Json.parseObject(request.body())
                        .map(body -> body.path("max_tokens").asInt())
                        .orElse(1);
                tokensByRequest.put(requestId(), tokens);
                head("text/event-stream");
                stream(tokens, 0);
                return;
            }
            if (request.path().startsWith("/v1/requests/")) {
                int from =
                        Integer.parseInt(request.path().substring(request.path().indexOf('=') + 1));
                head("text/event-stream");
                stream(tokensByRequest.getOrDefault(requestId(), 0), from);
                return;
            }
            runsByKey.merge(request.header("idempotency-key").orElse(""), 1, Integer::sum);
            runsByRequest.merge(requestId(), 1, Integer::sum);
            time.schedule(tokenMillis, () -> body("{\"done\":\"" + requestId() + "\"}"));
        }

        private void watchProgress() {
            progressAtMillis = time.nowMillis();
            time.schedule(request.progressTimeoutMillis(), this::checkProgress);
        }

        private void checkProgress() {
            if (finished) {
                return;
            }
            long silentMillis = time.nowMillis() - progressAtMillis;
            if (silentMillis >= request.progressTimeoutMillis()) {
                fail("nothing came", true);
                return;
            }
            time.schedule(request.progressTimeoutMillis() - silentMillis, this::checkProgress);
        }

        private void body(String text) {
            head("application/json");
            send(text.getBytes(UTF_8));
            end();
        }

        private void head(String contentType) {
            say(() -> listener.onHead(200, name -> switch (name) {
                case "x-request-id" -> requestId();
                case "content-type" -> contentType;
                default -> null;
            }));
        }

        private void stream(int tokens, int index) {
            if (finished) {
                return;
            }
            send(("data: " + event(tokens, index) + "\n\n").getBytes(UTF_8));
            if (index == tokens) {
                send("data: [DONE]\n\n".getBytes(UTF_8));
                end();
                return;
            }
            time.schedule(tokenMillis, () -> stream(tokens, index + 1));
        }

        private String event(int tokens, int index) {
            ObjectNode event = Json.object();
            event.put("id", requestId());
            event.put("index", index);
            ObjectNode choice = Json.object();
            ObjectNode delta = choice.putObject("delta");
            event.putArray("choices").add(choice);
            if (index < tokens) {
                delta.put("content", word(requestId(), index));
                return event.toString();
            }
            choice.put("finish_reason", "stop");
            event.putObject("usage").put("prompt_tokens", PROMPT_TOKENS).put("completion_tokens", tokens);
            return event.toString();
        }

        private void send(byte[] bytes) {
            say(() -> listener.onBody(bytes));
            if (streaming() && random.nextDouble() < strayFrames) {
                say(() -> listener.onBody(bytes));
                Exchange other = open.get(random.nextInt(open.size()));
                if (other.streaming()) {
                    other.say(() -> other.listener.onBody(bytes));
                }
            }
        }

        private boolean streaming() {
            return request.path().startsWith("/v1/");
        }

        private void end() {
            say(() -> {
                finished = true;
                open.remove(this);
                listener.onEnd();
            });
        }

        private void say(Runnable words) {
            if (finished || silentPorts.contains(request.port())) {
                return;
            }
            progressAtMillis = time.nowMillis();
            caller.deliverTo(process, LATENCY_MILLIS, () -> {
                if (!finished && !silentPorts.contains(request.port())) {
                    words.run();
                }
            });
        }

        void fail(String message, boolean sent) {
            if (finished) {
                return;
            }
            finished = true;
            open.remove(this);
            caller.deliverTo(process, LATENCY_MILLIS, () -> listener.onFailure(message, sent));
        }

        @Override
        public void cancel() {
            finished = true;
            open.remove(this);
        }

        @Override
        public void setPaused(boolean paused) {}
    }
}
