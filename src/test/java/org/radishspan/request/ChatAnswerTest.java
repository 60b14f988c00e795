package org.radishspan.request;

import java.io.ByteArrayOutputStream;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** The checks on an engine's stream. */
public class ChatAnswerTest {
    private static final String ID = "mine-1";

    private static byte[] word(String id, int index, String word) {
        return event("{\"id\":\"" + id + "\",\"index\":" + index + ",\"choices\":[{\"delta\":{\"content\":\"" + word
                + "\"}}]}");
    }

    private static byte[] usage(int index) {
        return event(
                "{\"id\":\"" + ID + "\",\"index\":" + index
                        + ",\"choices\":[{\"finish_reason\":\"length\"}],\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":3}}");
    }

    private static byte[] event(String data) {
        return ServerSentEvents.encode(data);
    }

    private static byte[] done() {
        return event(ServerSentEvents.DONE);
    }

    /** An answer, and what of it was relayed. */
    private static final class Stream {
        private final ByteArrayOutputStream relayed = new ByteArrayOutputStream();
        private final ChatAnswer answer = new ChatAnswer(ID, "m", relayed::writeBytes);

        private TargetAnswer.Verdict feed(byte[] bytes) {
            return answer.onBody(bytes);
        }

        private String text() {
            return relayed.toString(UTF_8);
        }
    }

    /** Whole streams. */
    public static class Whole {
        @Test
        public void areRelayedUpToTheUsageWhichIsKeptBack() {
            Stream stream = new Stream();
            stream.feed(word(ID, 0, "a"));
            stream.feed(usage(1));
            assertFalse(stream.text().contains("usage"));
            assertFalse(stream.answer.whole());
            stream.feed(done());
            assertTrue(stream.answer.whole());
            assertEquals(stream.answer.billedTokens(), 5);
            assertTrue(new String(stream.answer.heldEvents(), UTF_8).contains("usage"));
        }

        @Test
        public void mayComeInAnyPieces() {
            Stream stream = new Stream();
            byte[] bytes = word(ID, 0, "größe");
            for (byte one : bytes) {
                stream.feed(new byte[] {one});
            }
            assertEquals(stream.text(), new String(bytes, UTF_8));
        }
    }

    /** Frames that do not belong there. */
    public static class Strays {
        @Test
        public void ofAnotherRequestAreDropped() {
            Stream stream = new Stream();
            assertEquals(stream.feed(word("other-1", 0, "x")), TargetAnswer.Verdict.DROPPED);
            assertEquals(stream.text(), "");
        }

        @Test
        public void thatCameBeforeAreDropped() {
            Stream stream = new Stream();
            stream.feed(word(ID, 0, "a"));
            assertEquals(stream.feed(word(ID, 0, "b")), TargetAnswer.Verdict.DROPPED);
            assertFalse(stream.text().contains("\"b\""));
        }

        @Test
        public void afterTheEndAreDropped() {
            Stream stream = new Stream();
            stream.feed(usage(0));
            stream.feed(done());
            assertEquals(stream.feed(word(ID, 1, "late")), TargetAnswer.Verdict.DROPPED);
        }
    }

    /** Streams that cannot be used. */
    public static class Broken {
        @Test
        public void haveAGap() {
            Stream stream = new Stream();
            assertEquals(stream.feed(word(ID, 1, "b")), TargetAnswer.Verdict.BROKEN);
        }

        @Test
        public void endWithoutTheirUsage() {
            assertEquals(new Stream().feed(done()), TargetAnswer.Verdict.BROKEN);
        }

        @Test
        public void areNotJson() {
            assertEquals(new Stream().feed(event("{\"id\":")), TargetAnswer.Verdict.BROKEN);
        }
    }

    @Test
    public void aKeptAnswerReadsAsAStream() {
        Stream stream = new Stream();
        stream.feed(word(ID, 0, "a"));
        stream.feed(usage(1));
        stream.feed(done());
        byte[] kept = stream.answer.outcome().body().toByteArray();
        String events = new String(ChatAnswer.asEvents(kept), UTF_8);
        assertTrue(events.contains("\"content\":\"a\"") && events.endsWith("data: [DONE]\n\n"), events);
    }
}
