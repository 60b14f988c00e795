package org.radishspan.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.http.Json;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the event log: writing never blocks, lines are valid JSON, and routine lines cannot displace failures. */
public class EventLogTest {

    /** A stream whose writes block until the test releases it. */
    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch released = new CountDownLatch(1);
        private final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int next) {
            write(new byte[] {(byte) next}, 0, 1);
        }

        @Override
        public synchronized void write(byte[] bytes, int offset, int length) {
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            written.write(bytes, offset, length);
        }
    }

    @Test(timeOut = 60_000)
    public void aBlockedStreamDoesNotBlockCallers() {
        BlockedStream stream = new BlockedStream();
        long[] nowMillis = {0};
        EventLog log = EventLog.start(stream, () -> nowMillis[0]);
        for (int i = 0; i < 100_000; i++) {
            nowMillis[0] += 10;
            log.trouble("request_failed", "r" + i).with("kind", "no_target").write();
        }
        assertTrue(log.droppedLines() > 90_000, "lines beyond the queue are counted: " + log.droppedLines());
        stream.released.countDown();
        log.close();
    }

    @Test(timeOut = 60_000)
    public void linesAreJsonObjects() throws InterruptedException {
        BlockedStream stream = new BlockedStream();
        stream.released.countDown();
        EventLog log = EventLog.start(stream, () -> 17);
        log.request("request_sent", "r\"1\n").with("send", 2).with("late", true).write();
        log.close();
        for (int i = 0; i < 1_000 && stream.written.size() == 0; i++) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        ObjectNode line = Json.parseObject(stream.written.toByteArray()).orElseThrow();
        assertEquals(line.get("request").textValue(), "r\"1\n");
        assertEquals(line.get("time_ms").longValue(), 17);
        assertEquals(line.get("send").intValue(), 2);
        assertTrue(line.toString().getBytes(UTF_8).length > 0);
    }

    /** The last lines of a process were lost if lines before them had just been written. */
    @Test(timeOut = 60_000)
    public void closingWritesTheQueuedLines() throws InterruptedException {
        for (int i = 0; i < 20; i++) {
            BlockedStream stream = new BlockedStream();
            stream.released.countDown();
            EventLog log = EventLog.start(stream, () -> 17);
            log.trouble("request_failed", "r").write();
            TimeUnit.MILLISECONDS.sleep(i);
            log.process("stop").write();
            log.close();
            assertTrue(stream.written.toString(UTF_8).contains("\"stop\""), "after " + i + " ms");
        }
    }

    @Test(timeOut = 60_000)
    public void closingDoesNotWaitForABlockedStream() {
        BlockedStream stream = new BlockedStream();
        EventLog log = EventLog.start(stream, () -> 17);
        log.process("stop").write();
        log.close();
        assertEquals(stream.written.size(), 0);
        stream.released.countDown();
    }

    @Test
    public void routineLinesDoNotDisplaceLinesAboutFailures() {
        BlockedStream stream = new BlockedStream();
        long[] nowMillis = {0};
        EventLog log = EventLog.start(stream, () -> nowMillis[0]);
        for (int i = 0; i < 10_000; i++) {
            nowMillis[0] += 100;
            log.request("request_answered", "r" + i).write();
        }
        long droppedBefore = log.droppedLines();
        log.trouble("request_failed", "r").write();
        assertEquals(log.droppedLines(), droppedBefore, "a part of the queue is reserved for failures");
        stream.released.countDown();
        log.close();
    }
}
