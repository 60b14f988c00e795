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
 * Structured event log. It writes one line with a JSON object for each decision, normally to standard output.
 *
 * <p>Writing a line never blocks. Lines are put into a bounded queue that a separate thread writes to the stream. Lines that
 * do not fit, or that exceed the rate limit of their event, are dropped and counted in a {@code log_dropped} line. Part of
 * the queue is reserved for lines about failures and process state, so that routine lines cannot fill it.
 *
 * <pre>{@code
 * log.request("refused", requestId).with("kind", "no_target").with("service", service).write();
 * }</pre>
 */
public final class EventLog {

    /** Decides which lines are dropped first when there are too many. */
    private enum Priority {
        /** Dropped first: decisions about requests that proceed normally. */
        ROUTINE,
        /** Kept as long as the queue has capacity. */
        IMPORTANT
    }

    /** Routine lines per second and event: twice the 20 requests per second of a VM at the users' size. */
    private static final int ROUTINE_LINES_PER_SECOND = 40;

    /** Important lines per second and event: enough if all requests of a VM at the users' size fail. */
    private static final int IMPORTANT_LINES_PER_SECOND = 400;

    /** Capacity of the queue: about 1 MB at 250 bytes per line, compared to 430 MB of memory of a VM. */
    private static final int QUEUE_CAPACITY = 4_096;

    /** The part of the queue that is reserved for important lines. */
    private static final int RESERVED_CAPACITY = 1_024;

    private static final long POLL_TIMEOUT_MILLIS = 1_000;

    /** Time for which lines are collected into one write. A process that is killed loses the lines of this time. */
    private static final long BATCH_DELAY_MILLIS = 50;

    /** Lines written at once: about 60 KB at 250 bytes per line. */
    private static final int MAX_BATCH_LINES = 256;

    private static final long SECOND_MILLIS = 1_000;

    /** Counts the lines of one event within the current second. */
    private static final class Rate {
        private long secondStartMillis;
        private int lines;
    }

    /** How long a close waits for the writer thread, whose stream may be blocked. */
    private static final long CLOSE_TIMEOUT_MILLIS = 200;

    /** Wakes up the writer thread when the log is closed. */
    private static final byte[] NO_LINE = new byte[0];

    private final LongSupplier clockMillis;
    private final @Nullable BlockingQueue<byte[]> queue;
    private @Nullable Thread writer;
    private final Map<String, Rate> rates = new HashMap<>();
    private long droppedLines;
    private long reportedDroppedLines;
    private long nextReportAtMillis;
    private volatile boolean closed;

    private EventLog(LongSupplier clockMillis, @Nullable BlockingQueue<byte[]> queue) {
        this.clockMillis = clockMillis;
        this.queue = queue;
    }

    /** Returns a log that discards all lines. */
    public static EventLog silent() {
        return new EventLog(() -> 0, null);
    }

    /** Returns a log that writes to a stream from a new daemon thread, which may block on the stream. */
    public static EventLog start(OutputStream out, LongSupplier clockMillis) {
        BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
        EventLog log = new EventLog(clockMillis, queue);
        Thread writer = new Thread(() -> log.writeQueuedLines(queue, out), "log-writer");
        writer.setDaemon(true);
        log.writer = writer;
        writer.start();
        return log;
    }

    private void writeQueuedLines(BlockingQueue<byte[]> lines, OutputStream out) {
        try {
            while (!closed || !lines.isEmpty()) {
                byte[] line = lines.poll(POLL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    writeWithFollowing(line, lines, out);
                }
            }
        } catch (IOException e) {
            // The stream cannot be written, so the failure cannot be logged. The router continues without a log.
            closed = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a line together with those that follow shortly, because each separate write costs a wake-up and a system call. */
    private void writeWithFollowing(byte[] first, BlockingQueue<byte[]> lines, OutputStream out)
            throws IOException, InterruptedException {
        if (!closed) {
            Thread.sleep(BATCH_DELAY_MILLIS);
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

    /** Stops the writer thread after it has written the queued lines, and waits for that for a short time. */
    public void close() {
        closed = true;
        BlockingQueue<byte[]> lines = queue;
        Thread running = writer;
        if (lines == null || running == null) {
            return;
        }
        // If the queue is full, the writer thread is awake.
        lines.offer(NO_LINE);
        try {
            running.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedLines() {
        return droppedLines;
    }

    /** Starts a routine line about a decision on a request that proceeds normally. */
    public Line request(String event, String requestId) {
        return new Line(Priority.ROUTINE, event).with("request", requestId);
    }

    /** Starts an important line about a request that fails, is refused or is retried. */
    public Line trouble(String event, String requestId) {
        return new Line(Priority.IMPORTANT, event).with("request", requestId);
    }

    /** Starts an important line about a change in what this process records of the rest of the system. */
    public Line belief(String event) {
        return new Line(Priority.IMPORTANT, event);
    }

    /** Starts an important line about the start, stop or reload of this process. */
    public Line process(String event) {
        return new Line(Priority.IMPORTANT, event);
    }

    /** Starts an important line about a dependency that became unavailable or available again. */
    public Line dependency(String name, boolean available) {
        return new Line(Priority.IMPORTANT, available ? "dependency_regained" : "dependency_lost")
                .with("dependency", name);
    }

    private boolean withinRate(Priority priority, String event, long nowMillis) {
        Rate rate = rates.computeIfAbsent(event, ignored -> new Rate());
        if (nowMillis - rate.secondStartMillis >= SECOND_MILLIS || nowMillis < rate.secondStartMillis) {
            rate.secondStartMillis = nowMillis;
            rate.lines = 0;
        }
        rate.lines++;
        return rate.lines <= (priority == Priority.ROUTINE ? ROUTINE_LINES_PER_SECOND : IMPORTANT_LINES_PER_SECOND);
    }

    private void enqueue(Priority priority, String event, StringBuilder text, long nowMillis) {
        BlockingQueue<byte[]> lines = queue;
        if (lines == null) {
            return;
        }
        int availableCapacity = lines.remainingCapacity() - (priority == Priority.ROUTINE ? RESERVED_CAPACITY : 0);
        if (!withinRate(priority, event, nowMillis) || availableCapacity <= 0) {
            droppedLines++;
            return;
        }
        lines.offer(text.append("}\n").toString().getBytes(UTF_8));
        if (droppedLines > reportedDroppedLines && nowMillis >= nextReportAtMillis) {
            nextReportAtMillis = nowMillis + SECOND_MILLIS;
            long unreportedLines = droppedLines - reportedDroppedLines;
            reportedDroppedLines = droppedLines;
            process("log_dropped")
                    .with("lines", unreportedLines)
                    .with("lines_total", droppedLines)
                    .write();
        }
    }

    /** A log line under construction. It is written to the log by {@link #write}. */
    public final class Line {
        private final Priority priority;
        private final String event;
        private final long atMillis;
        private final StringBuilder text = new StringBuilder(200);

        private Line(Priority priority, String event) {
            this.priority = priority;
            this.event = event;
            this.atMillis = clockMillis.getAsLong();
            text.append("{\"time_ms\":")
                    .append(atMillis)
                    .append(",\"event\":\"")
                    .append(event)
                    .append('"');
        }

        /** Adds a text value, which is escaped. The key is not escaped. */
        public Line with(String key, String value) {
            text.append(",\"").append(key).append("\":\"");
            JsonStringEncoder.getInstance().quoteAsString(value, text);
            text.append('"');
            return this;
        }

        /** Adds an integer value. */
        public Line with(String key, long value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Adds a boolean value. */
        public Line with(String key, boolean value) {
            text.append(",\"").append(key).append("\":").append(value);
            return this;
        }

        /** Queues the line for writing without blocking. The line is dropped if the queue or the rate limit is exhausted. */
        public void write() {
            enqueue(priority, event, text, atMillis);
        }
    }
}
