package org.radishspan.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Splits the bytes of an event stream into the data of its events. */
final class ServerSentEvents {
    /** The media type of an event stream. */
    static final String CONTENT_TYPE = "text/event-stream";

    /** The data of the last event of a chat completion. */
    static final String DONE = "[DONE]";

    private static final String DATA_PREFIX = "data:";
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /** Returns the data of the events that these bytes complete. */
    List<String> feed(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte b : bytes) {
            if (b != '\n') {
                line.write(b);
                continue;
            }
            takeLine(line.toString(UTF_8).stripTrailing(), events);
            line.reset();
        }
        if (line.size() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    private void takeLine(String text, List<String> events) {
        if (text.startsWith(DATA_PREFIX)) {
            data.append(text.substring(DATA_PREFIX.length()).strip());
            return;
        }
        if (text.isEmpty() && data.length() > 0) {
            events.add(data.toString());
            data.setLength(0);
        }
    }

    /** Returns the bytes of one event. */
    static byte[] encode(String data) {
        return ("data: " + data + "\n\n").getBytes(UTF_8);
    }
}
