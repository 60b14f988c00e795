package org.radishspan.cli;

import java.io.PrintWriter;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * One subcommand.
 *
 * @param name the word that selects it
 * @param arguments what follows the options, for the help text
 * @param summary one line for the list of commands
 * @param options the options
 * @param action what it does
 */
record Command(String name, String arguments, String summary, Options options, Action action) {

    /** What a command does. */
    @FunctionalInterface
    interface Action {
        /** Returns the exit code. */
        int run(CommandLine line, PrintWriter out) throws UsageException;
    }

    /** The command line is wrong; the message says what is allowed. */
    static final class UsageException extends Exception {
        private static final long serialVersionUID = 1L;

        UsageException(String message) {
            super(message);
        }
    }
}
