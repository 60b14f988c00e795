package org.radishspan.cli;

import org.radishspan.router.RouterProcess;

/** The exit codes of the command line. */
public final class ExitCode {
    /** Done. */
    public static final int OK = 0;
    /** A check or benchmark missed its target, or no log line is about the request. */
    public static final int CHECK_FAILED = 1;
    /** The command line or a settings file is wrong. */
    public static final int USAGE = 2;
    /** The router refused the command. */
    public static final int REFUSED = 3;
    /** The router could not be reached; the command may or may not have been carried out. */
    public static final int UNREACHABLE = 4;
    /** A router stopped with requests or bills left over. */
    public static final int LEFT_OVER = RouterProcess.EXIT_LEFT_OVER;
    /** A router was closed by another one and must be started again. */
    public static final int FENCED = RouterProcess.EXIT_FENCED;

    /** The help text that lists them. */
    public static final String HELP = String.join(
            System.lineSeparator(),
            "Exit codes:",
            "  0  done",
            "  1  a check or benchmark missed its target, or no log line is about the request",
            "  2  the command line or a settings file is wrong",
            "  3  the router refused the command",
            "  4  the router could not be reached; the command may or may not have been carried out",
            "  5  a router stopped with requests or bills left over",
            "  6  a router was closed by another one and must be started again");

    private ExitCode() {}
}
