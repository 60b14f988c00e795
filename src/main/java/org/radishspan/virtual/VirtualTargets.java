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
 * Simulates engines and services on virtual time, each identified by its port.
 *
 * <p>The answer of an engine has {@code max_tokens} words, each derived from the request id, so that a test can detect
 * an answer that belongs to another request. A service runs every call that it receives and counts the runs by
 * idempotency key and by request id.
 */
public final class VirtualTargets {
    /** A target that receives a request with this text in its body crashes. */
    public static final String CRASH_MARKER = "crash-the-engine";

    /** The number of prompt tokens that an engine reports for every request. */
    public static final int PROMPT_TOKENS = 3;

    private static final long LATENCY_MILLIS = 1;
    private static final long RESTART_MILLIS = 3_000;

    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final long tokenMillis;
    private double strayFrameFraction;
    private boolean repeatedRefusals;
    private int crashCount;
    private final Map<String, Integer> runsByKey = new HashMap<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private final Map<String, Integer> tokensByRequest = new HashMap<>();
    private final Set<Integer> silentPorts = new HashSet<>();
    private final Set<Integer> downPorts = new HashSet<>();
    private final Map<Integer, Integer> dispatchesByPort = new HashMap<>();
    private final List<Exchange> openExchanges = new ArrayList<>();

    VirtualTargets(VirtualTime time, UniformRandomProvider random, long tokenMillis) {
        this.time = time;
        this.random = random;
        this.tokenMillis = tokenMillis;
    }

    /** Returns the number of runs at services by idempotency key. */
    public Map<String, Integer> runsByKey() {
        return runsByKey;
    }

    /** Returns the number of runs at engines and services by request id. */
    public Map<String, Integer> runsByRequest() {
        return runsByRequest;
    }

    /** Returns the number of requests that a target received, without requests for its load. */
    public int dispatches(int port) {
        return dispatchesByPort.getOrDefault(port, 0);
    }

    /** Sets whether a target stops sending; its connections stay open, and it still runs the requests that it receives. */
    public void setUnresponsive(int port, boolean silent) {
        if (silent) {
            silentPorts.add(port);
        } else {
            silentPorts.remove(port);
        }
    }

    /**
     * Sets the fraction of body frames that are duplicated, from 0 to 1.
     *
     * <p>Such a frame is sent twice on its own connection and once on that of an open exchange chosen at random, which may
     * belong to another request.
     */
    public void setStrayFrames(double fraction) {
        strayFrameFraction = fraction;
    }

    /** Sets whether services write the refusal of an earlier request once more before they answer a request. */
    public void setRepeatedRefusals(boolean repeated) {
        repeatedRefusals = repeated;
    }

    /** Crashes a target: its open connections fail, and new ones are refused until {@link #start} is called for it. */
    public void crash(int port) {
        downPorts.add(port);
        for (Exchange exchange : List.copyOf(openExchanges)) {
            if (exchange.request.port() == port) {
                exchange.fail("connection closed by the target", true);
            }
        }
    }

    private void crashAndRestart(int port) {
        crashCount++;
        crash(port);
        time.schedule(RESTART_MILLIS, () -> start(port));
    }

    /** Returns how many crashes of targets were caused by requests with {@link #CRASH_MARKER}. */
    public int crashCount() {
        return crashCount;
    }

    /** Starts a crashed target again; has no effect if it is running. */
    public void start(int port) {
        downPorts.remove(port);
    }

    /** Returns the full text that an engine generates for a request. */
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

    /** Returns a transport from a node to the targets; responses are delivered to the process that sent the request. */
    HttpTransport transportFor(Supplier<VirtualNode> node) {
        return (request, listener) -> {
            Exchange exchange = new Exchange(node.get(), request, listener);
            time.schedule(LATENCY_MILLIS, exchange::onRequest);
            return exchange;
        };
    }

    private final class Exchange implements HttpTransport.Call {
        private final VirtualNode caller;
        private final long generation;
        private final HttpTransport.Request request;
        private final HttpTransport.Listener listener;
        private boolean finished;
        private long progressAtMillis;

        Exchange(VirtualNode caller, HttpTransport.Request request, HttpTransport.Listener listener) {
            this.caller = caller;
            this.generation = caller.generation();
            this.request = request;
            this.listener = listener;
        }

        private String requestId() {
            return request.header("x-request-id").orElse("");
        }

        void onRequest() {
            if (finished) {
                return;
            }
            if (downPorts.contains(request.port())) {
                fail("connection refused", false);
                return;
            }
            openExchanges.add(this);
            watchProgress();
            if (request.path().equals("/load")) {
                respond("{\"running\":0,\"queued\":0}");
                return;
            }
            dispatchesByPort.merge(request.port(), 1, Integer::sum);
            if (new String(request.body(), UTF_8).contains(CRASH_MARKER)) {
                crashAndRestart(request.port());
                return;
            }
            if (request.path().startsWith("/v1/chat/")) {
                runsByRequest.merge(requestId(), 1, Integer::sum);
                int tokens = Json.parseObject(request.body())
                        .map(body -> body.path("max_tokens").asInt())
                        .orElse(1);
                tokensByRequest.put(requestId(), tokens);
                sendHead("text/event-stream");
                streamTokens(tokens, 0);
                return;
            }
            if (request.path().startsWith("/v1/requests/")) {
                int from =
                        Integer.parseInt(request.path().substring(request.path().indexOf('=') + 1));
                sendHead("text/event-stream");
                streamTokens(tokensByRequest.getOrDefault(requestId(), 0), from);
                return;
            }
            runsByKey.merge(request.header("idempotency-key").orElse(""), 1, Integer::sum);
            runsByRequest.merge(requestId(), 1, Integer::sum);
            if (repeatedRefusals) {
                deliver(() -> listener.onHead(503, name -> switch (name) {
                    case "x-request-id" -> "an-earlier-request";
                    case "x-not-run" -> "true";
                    default -> null;
                }));
            }
            time.schedule(tokenMillis, () -> respond("{\"done\":\"" + requestId() + "\"}"));
        }

        private void watchProgress() {
            progressAtMillis = time.nowMillis();
            time.schedule(request.progressTimeoutMillis(), this::checkProgress);
        }

        private void checkProgress() {
            if (finished) {
                return;
            }
            long idleMillis = time.nowMillis() - progressAtMillis;
            if (idleMillis >= request.progressTimeoutMillis()) {
                fail("no data received within the progress timeout", true);
                return;
            }
            time.schedule(request.progressTimeoutMillis() - idleMillis, this::checkProgress);
        }

        private void respond(String text) {
            sendHead("application/json");
            send(text.getBytes(UTF_8));
            end();
        }

        private void sendHead(String contentType) {
            deliver(() -> listener.onHead(200, name -> switch (name) {
                case "x-request-id" -> requestId();
                case "content-type" -> contentType;
                default -> null;
            }));
        }

        private void streamTokens(int tokens, int index) {
            if (finished) {
                return;
            }
            send(("data: " + event(tokens, index) + "\n\n").getBytes(UTF_8));
            if (index == tokens) {
                send("data: [DONE]\n\n".getBytes(UTF_8));
                end();
                return;
            }
            time.schedule(tokenMillis, () -> streamTokens(tokens, index + 1));
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
            deliver(() -> listener.onBody(bytes));
            if (streaming() && random.nextDouble() < strayFrameFraction) {
                deliver(() -> listener.onBody(bytes));
                Exchange other = openExchanges.get(random.nextInt(openExchanges.size()));
                if (other.streaming()) {
                    other.deliver(() -> other.listener.onBody(bytes));
                }
            }
        }

        private boolean streaming() {
            return request.path().startsWith("/v1/");
        }

        private void end() {
            deliver(() -> {
                finished = true;
                openExchanges.remove(this);
                listener.onEnd();
            });
        }

        private void deliver(Runnable event) {
            if (finished || silentPorts.contains(request.port())) {
                return;
            }
            progressAtMillis = time.nowMillis();
            caller.deliverTo(generation, LATENCY_MILLIS, () -> {
                if (!finished && !silentPorts.contains(request.port())) {
                    event.run();
                }
            });
        }

        void fail(String message, boolean sent) {
            if (finished) {
                return;
            }
            finished = true;
            openExchanges.remove(this);
            caller.deliverTo(generation, LATENCY_MILLIS, () -> listener.onFailure(message, sent));
        }

        @Override
        public void cancel() {
            finished = true;
            openExchanges.remove(this);
        }

        @Override
        public void setPaused(boolean paused) {}
    }
}
