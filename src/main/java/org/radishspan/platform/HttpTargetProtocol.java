package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.apache.commons.lang3.math.NumberUtils;
import org.jspecify.annotations.Nullable;
import org.radishspan.http.HttpTransport;
import org.radishspan.relay.CallerRequest;
import org.radishspan.relay.TargetProtocol;

/** Requests to targets and their answers over HTTP. */
public final class HttpTargetProtocol implements TargetProtocol {
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final double MAX_PAUSE_SECONDS = 86_400;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final int LOAD_FIELDS = 3;
    private static final int MAX_DIGITS = 9;

    /** How much longer than the target may work this VM listens; the relay's own deadline comes first. */
    private static final long LISTEN_SLACK_MILLIS = 1_000;

    @Override
    public HttpTransport.Request request(CallerRequest request, Send send) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(request.headers());
        headers.add(Map.entry(WireHeaders.DEADLINE_MILLIS, Long.toString(send.remainingMillis())));
        headers.add(Map.entry(WireHeaders.EXPECTED_TARGET, send.target().name()));
        headers.add(Map.entry(WireHeaders.URGENCY, Integer.toString(send.urgency())));
        send.workspace().ifPresent(name -> headers.add(Map.entry(WireHeaders.WORKSPACE, name)));
        send.lastEventId().ifPresent(last -> headers.add(Map.entry(WireHeaders.LAST_EVENT_ID, Long.toString(last))));
        return new HttpTransport.Request(
                send.target().host(),
                send.target().port(),
                request.method(),
                request.uri(),
                headers,
                request.body(),
                send.remainingMillis() + LISTEN_SLACK_MILLIS,
                (answer, reusedConnection) -> belongsTo(request.requestId(), answer, reusedConnection));
    }

    /** An answer that names no request can only be another request's where the connection has carried one. */
    private static boolean belongsTo(String requestId, HttpTransport.Headers answer, boolean reusedConnection) {
        String answeredId = answer.get(WireHeaders.REQUEST_ID);
        return answeredId == null ? !reusedConnection : answeredId.equals(requestId);
    }

    @Override
    public AnswerHead answerHead(int status, HttpTransport.Headers headers) {
        String contentType = headers.get("Content-Type");
        return new AnswerHead(
                status,
                headers.get(WireHeaders.NOT_RUN) != null,
                status == MISDIRECTED,
                headers.get(WireHeaders.SIGNATURE) != null,
                contentType != null && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM),
                load(headers.get(WireHeaders.LOAD)),
                isLeaving(headers.get(WireHeaders.LEAVING)),
                status == UNAVAILABLE ? pauseMillis(headers.get(WireHeaders.RETRY_AFTER)) : OptionalLong.empty(),
                decimal(headers.get(WireHeaders.RATE_LIMIT)),
                headers.all().stream()
                        .filter(header -> WireHeaders.forCallers(header.getKey()))
                        .toList());
    }

    private static boolean isLeaving(@Nullable String value) {
        return value != null && value.strip().equals("1");
    }

    /** Reads seconds, also with a fraction; a day is the most that is obeyed. */
    private static OptionalLong pauseMillis(@Nullable String value) {
        OptionalDouble seconds = decimal(value);
        return seconds.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        (long) Math.ceil(Math.min(seconds.getAsDouble(), MAX_PAUSE_SECONDS) * MILLIS_PER_SECOND));
    }

    /** Reads a decimal number; what is none, or less than zero, counts as absent. */
    private static OptionalDouble decimal(@Nullable String value) {
        if (value == null || !NumberUtils.isParsable(value.strip())) {
            return OptionalDouble.empty();
        }
        double number = Double.parseDouble(value.strip());
        return number < 0 ? OptionalDouble.empty() : OptionalDouble.of(number);
    }

    /** Reads the requests at work, the requests waiting and the slots, separated by commas. */
    private static Optional<Load> load(@Nullable String value) {
        String[] fields = value == null ? new String[0] : value.split(",", -1);
        if (fields.length != LOAD_FIELDS) {
            return Optional.empty();
        }
        int[] numbers = new int[LOAD_FIELDS];
        for (int i = 0; i < LOAD_FIELDS; i++) {
            OptionalLong number = WireHeaders.wholeNumber(fields[i], MAX_DIGITS);
            if (number.isEmpty()) {
                return Optional.empty();
            }
            numbers[i] = (int) number.getAsLong();
        }
        return Optional.of(new Load(numbers[0], numbers[1], numbers[2]));
    }
}
