package org.radishspan.request;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Decodes a stream of server-sent events incrementally, and encodes single events. */
final class ServerSentEvents {
    /** The media type of an event stream. */
    static final String CONTENT_TYPE = "text/event-stream";

    /** The data of the event that marks the end of a chat completion stream. */
    static final String DONE = "[DONE]";

    private static final String DATA_PREFIX = "data:";
    private static final int MAX_EVENT_BYTES = 1_048_576;

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    /**
     * Appends received bytes and returns the data of all events that they complete.
     *
     * @throws IllegalStateException if an incomplete line or an incomplete event exceeds {@value #MAX_EVENT_BYTES} bytes
     */
    List<String> feed(byte[] bytes) {
        List<String> events = new ArrayList<>();
        for (byte b : bytes) {
            if (b != '\n') {
                line.write(b);
                continue;
            }
            decodeLine(line.toString(UTF_8).stripTrailing(), events);
            line.reset();
        }
        if (line.size() > MAX_EVENT_BYTES || data.length() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("server-sent event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        return events;
    }

    private void decodeLine(String text, List<String> events) {
        if (text.startsWith(DATA_PREFIX)) {
            data.append(text.substring(DATA_PREFIX.length()).strip());
            return;
        }
        if (text.isEmpty() && data.length() > 0) {
            events.add(data.toString());
            data.setLength(0);
        }
    }

    /** Returns the encoded bytes of one event. */
    static byte[] encode(String data) {
        return ("data: " + data + "\n\n").getBytes(UTF_8);
    }
}
