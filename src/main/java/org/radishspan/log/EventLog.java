package org.radishspan.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.jspecify.annotations.Nullable;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Structured log lines on standard output: one JSON object for each decision.
 *
 * <p>Writing a line never blocks. Lines wait in a bounded queue for a thread of their own; what does not fit, or passes the
 * rate of its kind, is left out and counted in a line {@code log_dropped}. Lines about failed requests have a queue part
 * that other lines cannot fill.
 *
 * <pre>{@code
 * log.request("refused", requestId).with("kind", "no_target").with("service", service).write();
 * }</pre>
 */
public final class EventLog {

    /** How much a line matters when there are too many. */
    private enum Weight {
        /** Left out first: decisions of requests that went well. */
        ROUTINE,
        /** Kept as long as the queue has room. */
        IMPORTANT
    }

    /** Lines of one kind a second; 20 requests a second a VM at the users' size, with a factor of two. */
    private static final int ROUTINE_LINES_PER_SECOND = 40;

    /** Lines of one kind a second about failures: the whole traffic of a VM at the users' size may fail. */
    private static final int IMPORTANT_LINES_PER_SECOND = 400;

    /** Waiting lines: about 1 MB at 250 bytes a line, against 430 MB of a VM. */
    private static final int QUEUE_LINES = 4_096;

    /** The part of the queue that only important lines may use. */
    private static final int RESERVED_LINES = 1_024;

    private static final long WRITER_WAIT_MILLIS = 1_000;

    /** A process that is killed takes the lines of this time with it. */
    private static final long COLLECT_MILLIS = 50;

    /** Lines written at once: about 60 KB at 250 bytes a line. */
    private static final int MAX_BATCH_LINES = 256;

    private static final long SECOND_MILLIS = 1_000;

    private static final class Rate {
        private long secondStartMillis;
        private int lines;
    }

    private final LongSupplier clockMillis;
    private final @Nullable BlockingQueue<byte[]> queue;
    private final Map<String, Rate> rates = new HashMap<>();
    private long droppedLines;
    private long reportedLines;
    private long reportAtMillis;
    private volatile boolean closed;

    private EventLog(LongSupplier clockMillis, @Nullable BlockingQueue<byte[]> queue) {
        this.clockMillis = clockMillis;
        this.queue = queue;
    }

    /** Returns a log that writes nothing. */
    public static EventLog silent() {
        return new EventLog(() -> 0, null);
    }

    /** Starts a log on a stream, with a thread that may block on it. */
    public static EventLog start(OutputStream out, LongSupplier clockMillis) {
        BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
        EventLog log = new EventLog(clockMillis, queue);
        Thread writer = new Thread(() -> log.drain(queue, out), "log-writer");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    private void drain(BlockingQueue<byte[]> lines, OutputStream out) {
        try {
            while (!closed || !lines.isEmpty()) {
                byte[] line = lines.poll(WRITER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    writeWithFollowing(line, lines, out);
                }
            }
        } catch (IOException e) {
            // Standard output is gone, so nobody can be told; the router goes on without a log.
            closed = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line and those that follow within a moment at once, as each write wakes this thread and costs a system call. */
    private void writeWithFollowing(byte[] first, BlockingQueue<byte[]> lines, OutputStream out)
            throws IOException, InterruptedException {
        if (!closed) {
            Thread.sleep(COLLECT_MILLIS);
        }
        List<byte[]> following = new ArrayList<>();
        lines.drainTo(following, MAX_BATCH_LINES);
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        batch.write(first);
        for (byte[] line : following) {
            batch.write(line);
        }
        batch.writeTo(out);
        out.flush();
    }

    /** Ends the writer once the waiting lines are written. */
    public void close() {
        closed = true;
    }

    /** Returns how many lines were left out. */
    public long droppedLines() {
        return droppedLines;
    }

    /** Starts a line about a decision of a request that is going well. */
    public Line request(String event, String requestId) {
        return new Line(Weight.ROUTINE, event).with("request", requestId);
    }

    /** Starts a line about a request that fails, is refused, or is sent again. */
    public Line trouble(String event, String requestId) {
        return new Line(Weight.IMPORTANT, event).with("request", requestId);
    }

    /** Starts a line about something that this process now believes. */
    public Line belief(String event) {
        return new Line(Weight.IMPORTANT, event);
    }

    /** Starts a line about the start, stop or reload of this process. */
    public Line process(String event) {
        return new Line(Weight.IMPORTANT, event);
    }

    /** Starts a line about a dependency that was lost or regained. */
    public Line dependency(String name, boolean available) {
        return new Line(Weight.IMPORTANT, available ? "dependency_regained" : "dependency_lost")
                .with("dependency", name);
    }

    private boolean withinRate(Weight weight, String event, long nowMillis) {
        Rate rate = rates.computeIfAbsent(event, ignored -> new Rate());
        if (nowMillis - rate.secondStartMillis >= SECOND_MILLIS || nowMillis < rate.secondStartMillis) {
            rate.secondStartMillis = nowMillis;
            rate.lines = 0;
        }
        rate.lines++;
        return rate.lines <= (weight == Weight.ROUTINE ? ROUTINE_LINES_PER_SECOND : IMPORTANT_LINES_PER_SECOND);
    }

    private void offer(Weight weight, String event, StringBuilder text, long nowMillis) {
        BlockingQueue<byte[]> lines = queue;
        if (lines == null) {
            return;
        }
        int room = lines.remainingCapacity() - (weight == Weight.ROUTINE ? RESERVED_LINES : 0);
        if (!withinRate(weight, event, nowMillis) || room <= 0) {
            droppedLines++;
            return;
        }
        lines.offer(text.append("}\n").toString().getBytes(UTF_8));
        if (droppedLines > reportedLines && nowMillis >= reportAtMillis) {
            reportAtMillis = nowMillis + SECOND_MILLIS;
            long newLines = droppedLines - reportedLines;
            reportedLines = droppedLines;
            process("log_dropped")
                    .with("lines", newLines)
                    .with("lines_total", droppedLines)
                    .write();
        }
    }

    /** A line in the making. */
    public final class Line {
        private final Weight weight;
        private final String event;
        private final long atMillis;
        private final StringBuilder text = new StringBuilder(200);

        private Line(Weight weight, String event) {
            this.weight = weight;
            this.event = event;
            this.atMillis = clockMillis.getAsLong();
            text.append("{\"time_ms\":")
                    .append(atMillis)
                    .append(",\"event\":\"")
                    .append(event)
                    .append('"');
        }

        /** Adds a text. */
        public Line with(String key, String value) {
            text.append(",\"").append(key).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
            return this;
        }

        /** Adds a whole number. */
        public Line with(String key, long value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Adds a yes or no. */
        public Line with(String key, boolean value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Hands the line to the writer; returns at once. */
        public void write() {
            offer(weight, event, text, atMillis);
        }
    }
}
