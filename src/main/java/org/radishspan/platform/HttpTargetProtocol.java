package org.radishspan.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.commons.lang3.math.NumberUtils;
import org.jspecify.annotations.Nullable;
import org.radishspan.http.HttpTransport;
import org.radishspan.relay.CallerRequest;
import org.radishspan.relay.TargetProtocol;

/** Builds HTTP requests to targets and decodes the heads of their responses, in the platform's header format. */
public final class HttpTargetProtocol implements TargetProtocol {
    private static final int TIMEOUT_STATUS = 408;
    private static final int MISDIRECTED_STATUS = 421;
    private static final int TOO_MANY_REQUESTS_STATUS = 429;
    private static final int UNAVAILABLE_STATUS = 503;

    /** The statuses by which callers learn that a request has not run and will not run. */
    private static final Set<Integer> NOT_RUN_STATUSES =
            Set.of(TIMEOUT_STATUS, MISDIRECTED_STATUS, TOO_MANY_REQUESTS_STATUS, UNAVAILABLE_STATUS);

    private static final double MAX_PAUSE_SECONDS = 86_400;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final String EVENT_STREAM = "text/event-stream";
    private static final String NO_CODING = "identity";
    private static final int LOAD_FIELDS = 3;
    private static final int LOAD_FIELDS_WITH_PACE = 4;
    private static final int MAX_DIGITS = 9;

    /** Added to the remaining time of a request as the client's time-out, so that the deadline of the relay expires first. */
    private static final long CLIENT_TIMEOUT_MARGIN_MILLIS = 1_000;

    @Override
    public HttpTransport.Request request(CallerRequest request, SendParameters parameters) {
        List<Map.Entry<String, String>> headers = new ArrayList<>(request.headers());
        headers.add(Map.entry(WireHeaders.DEADLINE_MILLIS, Long.toString(parameters.remainingMillis())));
        headers.add(Map.entry(WireHeaders.EXPECTED_TARGET, parameters.target().name()));
        headers.add(Map.entry(WireHeaders.URGENCY, Integer.toString(parameters.urgency())));
        parameters.workspace().ifPresent(name -> headers.add(Map.entry(WireHeaders.WORKSPACE, name)));
        parameters
                .lastEventId()
                .ifPresent(eventId -> headers.add(Map.entry(WireHeaders.LAST_EVENT_ID, Long.toString(eventId))));
        return new HttpTransport.Request(
                parameters.target().host(),
                parameters.target().port(),
                request.method(),
                request.uri(),
                headers,
                request.body(),
                parameters.remainingMillis() + CLIENT_TIMEOUT_MARGIN_MILLIS,
                (response, reusedConnection) -> isResponseTo(request.requestId(), response, reusedConnection));
    }

    /**
     * Returns whether a response belongs to a request. A response without a request id is accepted only on a new connection,
     * where it cannot belong to an earlier request.
     */
    private static boolean isResponseTo(String requestId, HttpTransport.Headers response, boolean reusedConnection) {
        String responseRequestId = response.get(WireHeaders.REQUEST_ID);
        return responseRequestId == null ? !reusedConnection : responseRequestId.equals(requestId);
    }

    @Override
    public AnswerHead answerHead(int status, HttpTransport.Headers headers) {
        String contentType = headers.get("Content-Type");
        return new AnswerHead(
                status,
                headers.get(WireHeaders.NOT_RUN) != null,
                NOT_RUN_STATUSES.contains(status),
                status == MISDIRECTED_STATUS,
                headers.get(WireHeaders.SIGNATURE) != null,
                isContentCoded(headers.get("Content-Encoding")),
                contentType != null && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM),
                load(headers.get(WireHeaders.LOAD)),
                announcesStop(headers.get(WireHeaders.STOP_ANNOUNCEMENT)),
                status == UNAVAILABLE_STATUS ? pauseMillis(headers.get(WireHeaders.RETRY_AFTER)) : OptionalLong.empty(),
                decimal(headers.get(WireHeaders.RATE_LIMIT)),
                headers.all().stream()
                        .filter(header -> WireHeaders.isForwardedToCallers(header.getKey()))
                        .toList());
    }

    private static boolean isContentCoded(@Nullable String contentEncoding) {
        return contentEncoding != null && !contentEncoding.strip().equalsIgnoreCase(NO_CODING);
    }

    private static boolean announcesStop(@Nullable String value) {
        return value != null && value.strip().equals("1");
    }

    /** Returns a pause that is given in seconds, with an optional fraction, as milliseconds. It is limited to one day. */
    private static OptionalLong pauseMillis(@Nullable String value) {
        OptionalDouble seconds = decimal(value);
        return seconds.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        (long) Math.ceil(Math.min(seconds.getAsDouble(), MAX_PAUSE_SECONDS) * MILLIS_PER_SECOND));
    }

    /** Returns a decimal number; empty if the value is not a number or is negative. */
    private static OptionalDouble decimal(@Nullable String value) {
        if (value == null || !NumberUtils.isParsable(value.strip())) {
            return OptionalDouble.empty();
        }
        double number = Double.parseDouble(value.strip());
        return number < 0 ? OptionalDouble.empty() : OptionalDouble.of(number);
    }

    /**
     * Returns the running requests, the queued requests, the slots and, on some deployments, the pace of a target, which the
     * value separates by commas.
     */
    private static Optional<Load> load(@Nullable String value) {
        String[] fields = value == null ? new String[0] : value.split(",", -1);
        if (fields.length != LOAD_FIELDS && fields.length != LOAD_FIELDS_WITH_PACE) {
            return Optional.empty();
        }
        int[] numbers = new int[fields.length];
        for (int i = 0; i < fields.length; i++) {
            OptionalLong number = WireHeaders.wholeNumber(fields[i], MAX_DIGITS);
            if (number.isEmpty()) {
                return Optional.empty();
            }
            numbers[i] = (int) number.getAsLong();
        }
        OptionalInt pacePercent =
                fields.length == LOAD_FIELDS_WITH_PACE ? OptionalInt.of(numbers[LOAD_FIELDS]) : OptionalInt.empty();
        return Optional.of(new Load(numbers[0], numbers[1], numbers[2], pacePercent));
    }
}
