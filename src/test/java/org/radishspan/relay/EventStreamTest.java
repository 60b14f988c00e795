package org.radishspan.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Cutting bytes into events. */
public class EventStreamTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static List<EventStream.Event> feed(EventStream stream, String text, int chunkBytes) {
        List<EventStream.Event> events = new ArrayList<>();
        byte[] bytes = text.getBytes(UTF_8);
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            int end = Math.min(bytes.length, start + chunkBytes);
            events.addAll(stream.onBytes(Arrays.copyOfRange(bytes, start, end)));
        }
        return events;
    }

    /** Whole events. */
    public static class Whole {
        @Test
        public void areTheSameHoweverTheBytesArrive() {
            for (int chunkBytes = 1; chunkBytes <= TWO_EVENTS.length(); chunkBytes++) {
                EventStream stream = new EventStream();
                List<EventStream.Event> events = feed(stream, TWO_EVENTS, chunkBytes);
                assertEquals(events.stream().map(EventStream.Event::id).toList(), List.of(1L, 2L));
                assertEquals(new String(events.get(1).bytes(), UTF_8), "id: 2\ndata: b\n\n");
                assertTrue(stream.betweenEvents());
            }
        }

        @Test
        public void mayEndTheirLinesWithCarriageReturns() {
            List<EventStream.Event> events = feed(new EventStream(), "id: 7\r\ndata: a\r\n\r\n", 3);
            assertEquals(events.get(0).id(), 7);
        }

        @Test
        public void mayComeWithoutANumber() {
            assertEquals(feed(new EventStream(), "data: a\n\n", 4).get(0).id(), EventStream.NO_ID);
            assertEquals(feed(new EventStream(), "id: x\ndata: a\n\n", 4).get(0).id(), EventStream.NO_ID);
        }
    }

    /** A stream that breaks off. */
    public static class Broken {
        @Test
        public void showsThatAnEventIsOpen() {
            EventStream stream = new EventStream();
            assertEquals(feed(stream, TWO_EVENTS + "id: 3\nda", 5).size(), 2);
            assertFalse(stream.betweenEvents());
        }

        @Test
        public void doesNotFillTheMemory() {
            EventStream stream = new EventStream();
            stream.onBytes(new byte[2_000_000]);
            assertTrue(stream.tooLong());
        }
    }
}
