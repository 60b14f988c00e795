package org.radishspan.request;

import java.io.ByteArrayOutputStream;

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
