package org.radishspan.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the bytes of a stream are split into complete events. */
public class EventStreamParserTest {
    private static final String TWO_EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

    private static List<EventStreamParser.Event> parse(EventStreamParser parser, String text, int chunkBytes) {
        List<EventStreamParser.Event> events = new ArrayList<>();
        byte[] bytes = text.getBytes(UTF_8);
        for (int start = 0; start < bytes.length; start += chunkBytes) {
            int end = Math.min(bytes.length, start + chunkBytes);
            events.addAll(parser.onBytes(Arrays.copyOfRange(bytes, start, end)));
        }
        return events;
    }

    /** Events that end with an empty line. */
    public static class CompleteEvents {
        @Test
        public void areTheSameHoweverTheBytesArrive() {
            for (int chunkBytes = 1; chunkBytes <= TWO_EVENTS.length(); chunkBytes++) {
                EventStreamParser parser = new EventStreamParser();
                List<EventStreamParser.Event> events = parse(parser, TWO_EVENTS, chunkBytes);
                assertEquals(events.stream().map(EventStreamParser.Event::id).toList(), List.of(1L, 2L));
                assertEquals(new String(events.get(1).bytes(), UTF_8), "id: 2\ndata: b\n\n");
                assertTrue(parser.betweenEvents());
            }
        }

        @Test
        public void mayEndTheirLinesWithCarriageReturns() {
            List<EventStreamParser.Event> events = parse(new EventStreamParser(), "id: 7\r\ndata: a\r\n\r\n", 3);
            assertEquals(events.get(0).id(), 7);
        }

        @Test
        public void mayHaveNoNumericId() {
            assertEquals(parse(new EventStreamParser(), "data: a\n\n", 4).get(0).id(), EventStreamParser.NO_ID);
            assertEquals(
                    parse(new EventStreamParser(), "id: x\ndata: a\n\n", 4)
                            .get(0)
                            .id(),
                    EventStreamParser.NO_ID);
        }
    }

    /** Events whose end has not arrived. */
    public static class IncompleteEvents {
        @Test
        public void areBufferedAndNotReturned() {
            EventStreamParser parser = new EventStreamParser();
            assertEquals(parse(parser, TWO_EVENTS + "id: 3\nda", 5).size(), 2);
            assertFalse(parser.betweenEvents());
        }

        @Test
        public void areReportedAsTooLongBeforeTheyFillTheMemory() {
            EventStreamParser parser = new EventStreamParser();
            parser.onBytes(new byte[2_000_000]);
            assertTrue(parser.tooLong());
        }
    }
}
