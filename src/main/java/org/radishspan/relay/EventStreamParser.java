package org.radishspan.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Splits the bytes of a stream of server-sent events into complete events.
 *
 * <p>An event ends with an empty line. Bytes of an incomplete event are buffered until the rest of it arrives.
 */
public final class EventStreamParser {

    /**
     * A complete event.
     *
     * @param id the number in its id field; {@link #NO_ID} if it has none
     * @param bytes the event including the empty line at its end
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Event(long id, byte[] bytes) {}

    /** The id of events without a numeric id field. */
    public static final long NO_ID = -1;

    /**
     * The maximum size of an event. It is far above the longest event that targets send, and prevents a broken stream from
     * filling the memory.
     */
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private static final byte[] ID_FIELD = {'i', 'd', ':'};
    private static final int MAX_ID_DIGITS = 18;
    private static final int INITIAL_BUFFER_BYTES = 256;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int bufferedBytes;
    private int lineBytes;
    private boolean eventStarted;

    /** Parses the next bytes of the stream; returns the events that they complete. */
    public List<Event> onBytes(byte[] bytes) {
        List<Event> events = List.of();
        int start = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '\r') {
                continue;
            }
            if (bytes[i] != '\n') {
                lineBytes++;
                continue;
            }
            boolean emptyLine = lineBytes == 0;
            lineBytes = 0;
            if (!emptyLine) {
                eventStarted = true;
                continue;
            }
            if (eventStarted) {
                byte[] event = completeEvent(bytes, start, i + 1);
                events = events.isEmpty() ? new ArrayList<>() : events;
                events.add(new Event(id(event), event));
            }
            bufferedBytes = 0;
            eventStarted = false;
            start = i + 1;
        }
        bufferRemainder(bytes, start);
        return events;
    }

    private byte[] completeEvent(byte[] bytes, int start, int end) {
        byte[] event = Arrays.copyOf(buffer, bufferedBytes + end - start);
        System.arraycopy(bytes, start, event, bufferedBytes, end - start);
        return event;
    }

    private void bufferRemainder(byte[] bytes, int start) {
        int added = bytes.length - start;
        if (buffer.length < bufferedBytes + added) {
            buffer = Arrays.copyOf(buffer, Math.max(bufferedBytes + added, 2 * buffer.length));
        }
        System.arraycopy(bytes, start, buffer, bufferedBytes, added);
        bufferedBytes += added;
    }

    /** Returns whether no incomplete event is buffered. */
    public boolean betweenEvents() {
        return bufferedBytes == 0;
    }

    /** Returns whether the incomplete event exceeds the maximum size. */
    public boolean tooLong() {
        return bufferedBytes > MAX_EVENT_BYTES;
    }

    private static long id(byte[] event) {
        for (int line = 0; line < event.length; line = nextLine(event, line)) {
            int end = line + ID_FIELD.length;
            if (end <= event.length && Arrays.equals(event, line, end, ID_FIELD, 0, ID_FIELD.length)) {
                String digits = new String(event, end, nextLine(event, line) - end, UTF_8).strip();
                boolean isNumber = !digits.isEmpty()
                        && digits.length() <= MAX_ID_DIGITS
                        && digits.chars().allMatch(Character::isDigit);
                return isNumber ? Long.parseLong(digits) : NO_ID;
            }
        }
        return NO_ID;
    }

    private static int nextLine(byte[] event, int from) {
        int next = from;
        while (next < event.length && event[next] != '\n') {
            next++;
        }
        return Math.min(event.length, next + 1);
    }
}
