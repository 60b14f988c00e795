package org.radishspan.front;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jspecify.annotations.Nullable;
import org.radishspan.error.Failure;
import org.radishspan.relay.CallerExchange;

import static java.nio.charset.StandardCharsets.UTF_8;

/** A stream of a simulated caller, over all of the caller's requests. Each event names the software version of its target. */
final class FleetStream {
    /** The number of events of a whole stream. */
    static final int EVENTS = 20;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (.*)\n\n");

    private final String id;
    private final List<Failure> failures = new ArrayList<>();
    private final Set<String> versions = new TreeSet<>();
    private long lastEventId;
    private boolean complete;
    private boolean aborted;
    private @Nullable CallerExchange current;

    FleetStream(String id) {
        this.id = id;
    }

    /** Returns the id of the first request. */
    String id() {
        return id;
    }

    OptionalLong lastEventId() {
        return lastEventId == 0 ? OptionalLong.empty() : OptionalLong.of(lastEventId);
    }

    boolean begun() {
        return lastEventId > 0;
    }

    boolean complete() {
        return complete;
    }

    boolean aborted() {
        return aborted;
    }

    /** Returns the software versions of the targets whose events the caller has received. */
    Set<String> versions() {
        return versions;
    }

    /** Returns the failures with which requests of this stream were answered. */
    List<Failure> failures() {
        return failures;
    }

    /** Ends the connection of the current request, as happens when its router ends. */
    void disconnect() {
        current = null;
    }

    CallerExchange nextExchange() {
        CallerExchange next = new Exchange();
        current = next;
        aborted = false;
        return next;
    }

    private final class Exchange implements CallerExchange {
        private boolean isCurrent() {
            return current == this;
        }

        @Override
        public void respond(int status, List<Map.Entry<String, String>> headers, byte[] body) {
            throw new IllegalStateException("status " + status + " instead of a stream");
        }

        @Override
        public void fail(Failure failure) {
            if (isCurrent()) {
                failures.add(failure);
            }
        }

        @Override
        public void start(int status, List<Map.Entry<String, String>> headers) {}

        @Override
        public void write(byte[] bytes) {
            if (!isCurrent()) {
                return;
            }
            Matcher matcher = EVENT.matcher(new String(bytes, UTF_8));
            while (matcher.find()) {
                lastEventId = Long.parseLong(matcher.group(1));
                versions.add(matcher.group(2));
            }
        }

        @Override
        public void end() {
            complete |= isCurrent();
        }

        @Override
        public void abort() {
            aborted |= isCurrent();
        }

        @Override
        public boolean writable() {
            return true;
        }

        @Override
        public void onClosed(Runnable action) {}

        @Override
        public void onWritable(Runnable action) {}
    }
}
