package org.radishspan.log;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open while the process shuts down, so that the whole drain is logged.
 *
 * <p>The default log manager of the JDK closes all handlers as soon as a signal is received. The system property
 * {@code java.util.logging.manager} must name this class before anything is logged.
 */
public final class UntilExitLogManager extends LogManager {
    @Override
    public void reset() {
        // Resetting would close the handlers, which must stay open until the process has ended.
    }
}
