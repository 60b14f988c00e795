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
 * Explains the outcome of one request from the structured logs of one or more routers: its cause in one sentence, and a time
 * line of the log lines that concern it.
 *
 * <p>Lines of one log keep their order. Lines of several logs are merged by their times, which may be wrong by the difference
 * between the VMs' clocks. The printed time line says so if it contains lines of more than one log.
 */
public final class Explanation {
    /**
     * Target and router events are shown with a request if they were logged during it or at most this long before its earliest
     * line, as they may have decided its outcome.
     */
    private static final long CONTEXT_MILLIS = 10_000;

    /** How long after the last crash requests are refused because of it. */
    private static final long QUARANTINE_MILLIS = 300_000;

    private static final Set<String> TARGET_EVENTS = Set.of(
            "target_ready",
            "target_draining",
            "target_gone",
            "target_lapsed",
            "target_cold",
            "target_warm",
            "attempt_failed");
    private static final Set<String> ROUTER_EVENTS = Set.of(
            "configuration_adopted",
            "failure_domain_evacuated",
            "failure_domain_evacuation_ended",
            "dependency_lost",
            "dependency_regained",
            "stop_requested",
            "not_ready",
            "reload",
            "log_dropped");
    private static final Set<String> FINAL_EVENTS =
            Set.of("request_answered", "request_failed", "request_refused", "stream_broken_off", "caller_gone");

    /** The reason with which requests are refused because of evacuations, up to the failure domains. */
    private static final String EVACUATED_REASON =
            "all targets that may serve the request are in evacuated failure domains: ";

    private final String requestId;
    private final List<LogLine> requestLines = new ArrayList<>();
    private final List<LogLine> contextLines = new ArrayList<>();

    private Explanation(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Finds the lines about a request in the given logs, and the events of its targets and routers shortly before or during
     * it. Lines that contain no complete log event are skipped.
     *
     * @param logs the lines of each log in the order in which they were written, by the name of the log
     * @return the explanation, or empty if no line is about the request
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
            boolean inContextPeriod = line.timeMillis() >= first - CONTEXT_MILLIS && line.timeMillis() <= last;
            boolean aboutUsedTarget = TARGET_EVENTS.contains(line.event()) && targets.contains(line.text("target"));
            boolean aboutInvolvedRouter = ROUTER_EVENTS.contains(line.event()) && sources.contains(line.source());
            boolean relevant = inContextPeriod && (aboutUsedTarget || aboutInvolvedRouter);
            boolean behindRefusal = isCrashBehindRefusal(line, first, last) || isEvacuationBehindRefusal(line, last);
            if (!line.isAbout(requestId) && (relevant || behindRefusal)) {
                contextLines.add(line);
            }
        }
    }

    /**
     * Returns whether a line of a router that refused the request reports the evacuation of a failure domain that the refusal
     * names. An evacuation may have begun long before.
     */
    private boolean isEvacuationBehindRefusal(LogLine line, long lastMillis) {
        if (!line.event().equals("failure_domain_evacuated") || line.timeMillis() > lastMillis) {
            return false;
        }
        return requestLines.stream()
                .filter(refusal -> refusal.source().equals(line.source()))
                .map(refusal -> refusal.text("reason"))
                .filter(reason -> reason.startsWith(EVACUATED_REASON))
                .map(reason -> reason.substring(EVACUATED_REASON.length()).split(", "))
                .anyMatch(domains -> List.of(domains).contains(line.text("failure_domain")));
    }

    /** Returns whether a line records a crash for a fingerprint that the request was refused for. */
    private boolean isCrashBehindRefusal(LogLine line, long firstMillis, long lastMillis) {
        boolean inPeriod = line.timeMillis() >= firstMillis - QUARANTINE_MILLIS && line.timeMillis() <= lastMillis;
        if (!inPeriod || !line.event().equals("crash_recorded")) {
            return false;
        }
        List<String> fingerprints = List.of(line.text("fingerprints").split(","));
        return requestLines.stream()
                .filter(refusal -> refusal.text("kind").equals("quarantined"))
                .anyMatch(refusal -> fingerprints.stream().anyMatch(refusal.text("reason")::contains));
    }

    /**
     * Returns what decided the outcome, in one sentence. It is taken from the last line that reports the end of the request. If
     * there is none, the sentence names the possible reasons.
     */
    public String cause() {
        Optional<LogLine> last = lastLineOf(FINAL_EVENTS);
        if (last.isEmpty()) {
            return "the logs do not show how the request ended: the router ended first, the request is still in progress, or"
                    + " lines were dropped (log_dropped)";
        }
        return switch (last.get().event()) {
            case "request_answered" -> describeAnswer(last.get());
            case "request_refused" -> "rejected at admission: " + last.get().text("reason");
            case "caller_gone" ->
                "the caller disconnected after " + last.get().number("elapsed_ms") + " ms, with "
                        + last.get().number("events") + " events delivered";
            default -> describeFailure(last.get());
        };
    }

    private String describeAnswer(LogLine line) {
        long sends = line.number("sends");
        String resends = sends > 1 ? " after " + sends + " sends; failed attempts: " + failedAttempts() : "";
        return "answered in " + line.number("elapsed_ms") + " ms" + resends;
    }

    private String describeFailure(LogLine line) {
        Optional<LogLine> tokens = lastLineOf(Set.of("no_tokens"));
        if (tokens.isPresent()) {
            return describeTokenShortage(tokens.get());
        }
        Optional<LogLine> shed = lastLineOf(Set.of("request_shed"));
        if (shed.isPresent()) {
            return describeRefusalByQueue(shed.get(), line.text("ran"));
        }
        String failedAttempts = failedAttempts();
        String attemptDetails = failedAttempts.isEmpty() ? "" : "; failed attempts: " + failedAttempts;
        return line.text("kind") + ": " + line.text("reason") + " (ran: " + line.text("ran") + ")" + attemptDetails;
    }

    private static String describeRefusalByQueue(LogLine line, String ran) {
        return "no target of " + line.text("service") + " had room (" + line.text("cause") + "): waited "
                + line.number("waited_ms") + " ms, " + line.number("expected_wait_ms") + " ms more were expected and "
                + line.number("slack_ms") + " ms left; " + line.number("waiting") + " other requests waited (ran: "
                + ran + ")";
    }

    private String describeTokenShortage(LogLine line) {
        String needed = "budget " + line.text("budget") + ": " + line.number("tokens") + " tokens needed, ";
        if (line.fields().path("used_up").asBoolean()) {
            return needed + "the whole fleet has " + line.number("unspent_tokens")
                    + " unspent tokens; the budget is used up";
        }
        long ledgerUnansweredMillis = line.number("ledger_silent_ms");
        String shortage =
                needed + "this router had " + line.number("share_available") + " of " + line.number("unspent_tokens")
                        + " unspent tokens" + describeForfeitedTokens(line.number("forfeited_tokens"));
        if (ledgerUnansweredMillis > 0) {
            return shortage + "; the ledger had not answered for " + ledgerUnansweredMillis + " ms";
        }
        return shortage + "; " + line.text("reason");
    }

    private static String describeForfeitedTokens(long tokens) {
        return tokens == 0 ? "" : ", " + tokens + " of which may have been spent by routers that ended";
    }

    private String failedAttempts() {
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

    private Optional<LogLine> lastLineOf(Set<String> events) {
        return requestLines.stream()
                .filter(line -> events.contains(line.event()))
                .reduce((earlier, later) -> later);
    }

    /**
     * Prints the cause and the time line. Times are in milliseconds relative to the earliest line about the request. Lines about
     * the request itself are marked with an asterisk.
     */
    public void print(PrintWriter out) {
        out.println("request " + requestId + ": " + cause());
        long start = requestLines.stream().mapToLong(LogLine::timeMillis).min().orElse(0);
        List<LogLine> timeLine = mergeLogs();
        if (timeLine.stream().map(LogLine::source).distinct().count() > 1) {
            out.println("the times come from several VMs, and their clocks may differ");
        }
        for (LogLine line : timeLine) {
            String mark = line.isAbout(requestId) ? "*" : " ";
            out.printf(
                    "%s %+8d ms  %s:%d  %s%s%n",
                    mark, line.timeMillis() - start, line.source(), line.number(), line.event(), formatFields(line));
        }
    }

    /**
     * Merges the lines of all logs by time. The order within one log does not change, even if its times decrease, as a VM's
     * clock may be set back.
     */
    private List<LogLine> mergeLogs() {
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

    private static String formatFields(LogLine line) {
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
