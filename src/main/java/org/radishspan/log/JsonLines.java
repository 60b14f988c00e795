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

/** Writes log records to standard error as one JSON object a line. */
public final class JsonLines extends Formatter {

    /** Sends all logs of this process through this format. */
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
