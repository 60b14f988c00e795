package org.radishspan.log;

import java.util.logging.LogManager;

/**
 * A log manager that goes on writing while the process shuts down, so that a drain can be followed to its end.
 *
 * <p>The JDK's own manager closes all handlers as soon as a signal arrives. The system property
 * {@code java.util.logging.manager} must name this class before anything is logged.
 */
public final class UntilExitLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers stay open until the process has ended.
    }
}
