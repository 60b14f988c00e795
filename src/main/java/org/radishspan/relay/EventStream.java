package org.radishspan.relay;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Cuts the bytes of a stream into whole events; an event ends with an empty line. */
public final class EventStream {

    /**
     * A whole event.
     *
     * @param id its number; {@link #NO_ID} if it has none
     * @param bytes the event with its closing empty line
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Event(long id, byte[] bytes) {}

    /** Stands for the number of an event without one. */
    public static final long NO_ID = -1;

    /** The longest event: far above the longest that targets send, so that a broken one cannot fill the memory. */
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private static final String ID_FIELD = "id:";
    private static final int MAX_ID_DIGITS = 18;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private int lineBytes;
    private boolean eventStarted;

    /** Takes bytes as they come; returns the events that they complete. */
    public List<Event> onBytes(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte next : bytes) {
            pending.write(next);
            if (next == '\r') {
                continue;
            }
            if (next != '\n') {
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
                byte[] event = pending.toByteArray();
                events.add(new Event(id(event), event));
            }
            pending.reset();
            eventStarted = false;
        }
        return events;
    }

    /** Returns whether the stream stands between two events. */
    public boolean betweenEvents() {
        return pending.size() == 0;
    }

    /** Returns whether an event grows beyond all bounds. */
    public boolean tooLong() {
        return pending.size() > MAX_EVENT_BYTES;
    }

    private static long id(byte[] event) {
        for (String line : new String(event, UTF_8).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                String digits = line.substring(ID_FIELD.length()).strip();
                boolean number = !digits.isEmpty()
                        && digits.length() <= MAX_ID_DIGITS
                        && digits.chars().allMatch(Character::isDigit);
                return number ? Long.parseLong(digits) : NO_ID;
            }
        }
        return NO_ID;
    }
}
