package org.radishspan.log;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.radishspan.http.Json;

/** Formats log records of {@code java.util.logging} as one JSON object per line. */
public final class JsonLines extends Formatter {

    /** Replaces all root handlers by one that writes records of at least this level to standard error in this format. */
    public static void install(Level level) {
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setFormatter(new JsonLines());
        console.setLevel(level);
        root.addHandler(console);
        root.setLevel(level);
    }

    @Override
    public String format(LogRecord entry) {
        ObjectNode line = Json.object();
        line.put("time", Instant.ofEpochMilli(entry.getMillis()).toString());
        line.put("level", entry.getLevel().getName());
        line.put("logger", entry.getLoggerName());
        line.put("message", formatMessage(entry));
        Throwable thrown = entry.getThrown();
        if (thrown != null) {
            line.put("thrown", thrown.toString());
        }
        return line + "\n";
    }
}
