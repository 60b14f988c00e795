package org.radishspan.cli;

import java.io.PrintWriter;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * A subcommand of the command line.
 *
 * @param name the first word of the command line, which selects this command
 * @param arguments the synopsis of options and arguments that the usage line shows after the name
 * @param summary the one-line description in the list of commands
 * @param options the options that the command accepts, without {@code --help}
 * @param action the code that runs the command
 */
record Command(String name, String arguments, String summary, Options options, Action action) {

    /** The code that runs a command. */
    @FunctionalInterface
    interface Action {
        /**
         * Runs the command and returns its exit code.
         *
         * @param line the parsed options and arguments
         * @param out receives the output of the command
         * @throws UsageException if an option, an argument or a settings file is wrong
         */
        int run(CommandLine line, PrintWriter out) throws UsageException;
    }

    /** Thrown if the command line or a settings file is wrong; the message names the fault and what is allowed. */
    static final class UsageException extends Exception {
        private static final long serialVersionUID = 1L;

        UsageException(String message) {
            super(message);
        }
    }
}
