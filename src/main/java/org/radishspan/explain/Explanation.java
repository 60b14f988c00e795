package org.radishspan.explain;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What became of one request, and why.
 *
 * <p>Lines of one log keep their order. Lines of several logs are joined by their times, which may differ by the error of the
 * VMs' clocks; the account says so where it rests on them.
 */
public final class Explanation {
    /** Beliefs that changed so shortly before or during a request may have decided it. */
    private static final long CONTEXT_MILLIS = 10_000;

    private static final Set<String> TARGET_EVENTS =
            Set.of("target_ready", "target_draining", "target_gone", "target_lapsed", "attempt_failed");
    private static final Set<String> ROUTER_EVENTS = Set.of(
            "configuration_adopted",
            "dependency_lost",
            "dependency_regained",
            "stop_requested",
            "not_ready",
            "reload",
            "log_dropped");
    private static final Set<String> FINAL_EVENTS =
            Set.of("request_answered", "request_failed", "request_refused", "stream_broken_off", "caller_gone");

    private final String requestId;
    private final List<LogLine> requestLines = new ArrayList<>();
    private final List<LogLine> contextLines = new ArrayList<>();

    private Explanation(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Reads logs.
     *
     * @param logs the lines of each log by its name
     * @return empty if no line is about the request
     */
    public static Optional<Explanation> of(String requestId, Map<String, List<String>> logs) {
        Explanation explanation = new Explanation(requestId);
        List<LogLine> lines = new ArrayList<>();
        logs.forEach((source, texts) -> {
            int number = 0;
            for (String text : texts) {
                number++;
                LogLine.read(source, number, text).ifPresent(lines::add);
            }
        });
        for (LogLine line : lines) {
            if (line.isAbout(requestId)) {
                explanation.requestLines.add(line);
            }
        }
        if (explanation.requestLines.isEmpty()) {
            return Optional.empty();
        }
        explanation.collectContext(lines);
        return Optional.of(explanation);
    }

    private void collectContext(List<LogLine> lines) {
        Set<String> sources = new TreeSet<>();
        Set<String> targets = new TreeSet<>();
        long first = Long.MAX_VALUE;
        long last = Long.MIN_VALUE;
        for (LogLine line : requestLines) {
            sources.add(line.source());
            if (!line.text("target").isEmpty()) {
                targets.add(line.text("target"));
            }
            first = Math.min(first, line.timeMillis());
            last = Math.max(last, line.timeMillis());
        }
        for (LogLine line : lines) {
            boolean near = line.timeMillis() >= first - CONTEXT_MILLIS && line.timeMillis() <= last;
            boolean ofTarget = TARGET_EVENTS.contains(line.event()) && targets.contains(line.text("target"));
            boolean ofRouter = ROUTER_EVENTS.contains(line.event()) && sources.contains(line.source());
            if (near && !line.isAbout(requestId) && (ofTarget || ofRouter)) {
                contextLines.add(line);
            }
        }
    }

    /** Returns what decided the outcome, in one sentence. */
    public String cause() {
        Optional<LogLine> last = last(FINAL_EVENTS);
        if (last.isEmpty()) {
            return "no final answer is on record: the router ended first, the request is still in progress, or lines were"
                    + " left out (log_dropped)";
        }
        return switch (last.get().event()) {
            case "request_answered" -> answered(last.get());
            case "request_refused" -> "refused at the door: " + last.get().text("reason");
            case "caller_gone" ->
                "the caller left after " + last.get().number("elapsed_ms") + " ms, with "
                        + last.get().number("events") + " events delivered";
            default -> failed(last.get());
        };
    }

    private String answered(LogLine line) {
        long sends = line.number("sends");
        String how = sends > 1 ? " after " + sends + " sends; earlier: " + attempts() : "";
        return "answered in " + line.number("elapsed_ms") + " ms" + how;
    }

    private String failed(LogLine line) {
        Optional<LogLine> tokens = last(Set.of("no_tokens"));
        if (tokens.isPresent()) {
            return outOfTokens(tokens.get());
        }
        String attempts = attempts();
        String sent = attempts.isEmpty() ? "" : "; attempts: " + attempts;
        return line.text("kind") + ": " + line.text("reason") + " (ran: " + line.text("ran") + ")" + sent;
    }

    private String outOfTokens(LogLine line) {
        String need = "budget " + line.text("budget") + ": " + line.number("tokens") + " tokens needed, ";
        if (line.fields().path("used_up").asBoolean()) {
            return need + "the whole fleet has " + line.number("unspent_tokens") + "; the budget is used up";
        }
        long silentMillis = line.number("ledger_silent_ms");
        String had = need + "this router had " + line.number("share_available") + " of " + line.number("unspent_tokens")
                + " unspent ones" + lostWithRouters(line.number("forfeited_tokens"));
        if (silentMillis > 0) {
            return had + "; the ledger had not answered for " + silentMillis + " ms";
        }
        return had + "; " + line.text("reason");
    }

    private static String lostWithRouters(long tokens) {
        return tokens == 0 ? "" : ", " + tokens + " of which may have been spent by routers that ended";
    }

    private String attempts() {
        StringBuilder text = new StringBuilder();
        for (LogLine line : requestLines) {
            if (line.event().equals("attempt_failed")) {
                text.append(text.length() == 0 ? "" : "; ")
                        .append(line.text("target"))
                        .append(": ")
                        .append(line.text("reason"));
            }
        }
        return text.toString();
    }

    private Optional<LogLine> last(Set<String> events) {
        return requestLines.stream()
                .filter(line -> events.contains(line.event()))
                .reduce((earlier, later) -> later);
    }

    /** Prints the cause and the time line. */
    public void print(PrintWriter out) {
        out.println("request " + requestId + ": " + cause());
        long start = requestLines.stream().mapToLong(LogLine::timeMillis).min().orElse(0);
        List<LogLine> timeLine = timeLine();
        if (timeLine.stream().map(LogLine::source).distinct().count() > 1) {
            out.println("times of several VMs: their clocks may differ");
        }
        for (LogLine line : timeLine) {
            String mark = line.isAbout(requestId) ? "*" : " ";
            out.printf(
                    "%s %+8d ms  %s:%d  %s%s%n",
                    mark, line.timeMillis() - start, line.source(), line.number(), line.event(), details(line));
        }
    }

    /** Merges the logs by time without changing the order within one, as a VM's time of day may step. */
    private List<LogLine> timeLine() {
        Map<String, List<LogLine>> bySource = new TreeMap<>();
        for (List<LogLine> lines : List.of(requestLines, contextLines)) {
            lines.forEach(line -> bySource.computeIfAbsent(line.source(), ignored -> new ArrayList<>())
                    .add(line));
        }
        bySource.values().forEach(lines -> lines.sort(Comparator.comparingInt(LogLine::number)));
        List<LogLine> merged = new ArrayList<>();
        while (true) {
            Optional<List<LogLine>> next = bySource.values().stream()
                    .filter(lines -> !lines.isEmpty())
                    .min(Comparator.comparingLong(lines -> lines.get(0).timeMillis()));
            if (next.isEmpty()) {
                return merged;
            }
            merged.add(next.get().remove(0));
        }
    }

    private static String details(LogLine line) {
        StringBuilder text = new StringBuilder();
        Iterator<Map.Entry<String, JsonNode>> fields = line.fields().fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!Set.of("time_ms", "event", "request").contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return text.toString();
    }
}
