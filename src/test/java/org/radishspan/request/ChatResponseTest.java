package org.radishspan.request;

import java.io.ByteArrayOutputStream;
import java.util.function.IntFunction;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the event stream of a model engine is validated, relayed and turned into a response to store. */
public class ChatResponseTest {
    private static final String ID = "mine-1";

    private static byte[] wordEvent(String id, int index, String word) {
        return event("{\"id\":\"" + id + "\",\"index\":" + index + ",\"choices\":[{\"delta\":{\"content\":\"" + word
                + "\"}}]}");
    }

    private static byte[] usageEvent(int index) {
        return event(
                "{\"id\":\"" + ID + "\",\"index\":" + index
                        + ",\"choices\":[{\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3}}");
    }

    private static byte[] event(String data) {
        return ServerSentEvents.encode(data);
    }

    private static byte[] doneEvent() {
        return event(ServerSentEvents.DONE);
    }

    /** A response, together with the bytes that were relayed from it. */
    private static final class Stream {
        private final ByteArrayOutputStream relayed = new ByteArrayOutputStream();
        private final ChatResponse response = new ChatResponse(ID, "m", relayed::writeBytes);

        private TargetResponse.Verdict feed(byte[] bytes) {
            return response.onBody(bytes);
        }

        private String text() {
            return relayed.toString(UTF_8);
        }
    }

    /** Streams of targets in trouble, which send until the connection is closed. */
    public static class Endless {
        private static final int MAX_BYTES = 67_108_864;

        /** Sends bytes until the response is rejected or the limit is reached; returns how many were sent. */
        private static long feedUntilRejected(Stream stream, IntFunction<byte[]> parts) {
            long bytes = 0;
            for (int i = 0; bytes < MAX_BYTES; i++) {
                byte[] part = parts.apply(i);
                bytes += part.length;
                try {
                    if (stream.feed(part) == TargetResponse.Verdict.MALFORMED) {
                        return bytes;
                    }
                } catch (IllegalStateException e) {
                    // The call fails.
                    return bytes;
                }
            }
            return bytes;
        }

        @Test
        public void areRejectedIfAnEventDoesNotEnd() {
            byte[] lines = "data: abcdefgh\n".repeat(1_000).getBytes(UTF_8);
            assertTrue(feedUntilRejected(new Stream(), i -> lines) < MAX_BYTES);
            byte[] part = "x".repeat(10_000).getBytes(UTF_8);
            assertTrue(feedUntilRejected(new Stream(), i -> part) < MAX_BYTES, "a line that does not end");
        }

        @Test
        public void areRejectedIfTheEventsDoNotEnd() {
            String word = "w".repeat(1_000);
            assertTrue(feedUntilRejected(new Stream(), i -> wordEvent(ID, i, word)) < MAX_BYTES);
        }
    }

    /** Complete streams. */
    public static class Complete {
        @Test
        public void areRelayedExceptForTheWithheldUsage() {
            Stream stream = new Stream();
            stream.feed(wordEvent(ID, 0, "a"));
            stream.feed(usageEvent(1));
            assertFalse(stream.text().contains("usage"));
            assertFalse(stream.response.isComplete());
            stream.feed(doneEvent());
            assertTrue(stream.response.isComplete());
            assertEquals(stream.response.billedTokens(), 5);
            assertTrue(new String(stream.response.withheldEvents(), UTF_8).contains("usage"));
        }

        @Test
        public void mayArriveInAnyPieces() {
            Stream stream = new Stream();
            byte[] bytes = wordEvent(ID, 0, "größe");
            for (byte singleByte : bytes) {
                stream.feed(new byte[] {singleByte});
            }
            assertEquals(stream.text(), new String(bytes, UTF_8));
        }
    }

    /** Frames that do not belong to the expected response. */
    public static class UnexpectedFrames {
        @Test
        public void ofAnotherRequestAreDropped() {
            Stream stream = new Stream();
            assertEquals(stream.feed(wordEvent("other-1", 0, "x")), TargetResponse.Verdict.DROPPED);
            assertEquals(stream.text(), "");
        }

        @Test
        public void withAnEarlierIndexAreDropped() {
            Stream stream = new Stream();
            stream.feed(wordEvent(ID, 0, "a"));
            assertEquals(stream.feed(wordEvent(ID, 0, "b")), TargetResponse.Verdict.DROPPED);
            assertFalse(stream.text().contains("\"b\""));
        }

        @Test
        public void afterTheEndAreDropped() {
            Stream stream = new Stream();
            stream.feed(usageEvent(0));
            stream.feed(doneEvent());
            assertEquals(stream.feed(wordEvent(ID, 1, "late")), TargetResponse.Verdict.DROPPED);
        }
    }

    /** Streams that violate the protocol. */
    public static class Malformed {
        @Test
        public void haveAGapInTheIndexes() {
            Stream stream = new Stream();
            assertEquals(stream.feed(wordEvent(ID, 1, "b")), TargetResponse.Verdict.MALFORMED);
        }

        @Test
        public void endWithoutUsage() {
            assertEquals(new Stream().feed(doneEvent()), TargetResponse.Verdict.MALFORMED);
        }

        @Test
        public void areNotJson() {
            assertEquals(new Stream().feed(event("{\"id\":")), TargetResponse.Verdict.MALFORMED);
        }
    }

    @Test
    public void aStoredResponseIsReplayedAsAStream() {
        Stream stream = new Stream();
        stream.feed(wordEvent(ID, 0, "a"));
        stream.feed(usageEvent(1));
        stream.feed(doneEvent());
        byte[] stored = stream.response.outcome().body().toByteArray();
        String events = new String(ChatResponse.asEvents(stored), UTF_8);
        assertTrue(events.contains("\"content\":\"a\"") && events.endsWith("data: [DONE]\n\n"), events);
    }
}
