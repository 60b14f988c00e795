package org.radishspan.cli;

import org.radishspan.router.RouterProcess;

/** The exit codes of the command line, for scripts and service managers. */
public final class ExitCode {
    /** The command was carried out. */
    public static final int OK = 0;
    /** A check failed, a benchmark did not meet its objective, or no log line mentions the request to explain. */
    public static final int CHECK_FAILED = 1;
    /** The command line or a settings file is wrong. */
    public static final int USAGE = 2;
    /** The router refused the command. */
    public static final int REFUSED = 3;
    /** The router could not be reached; the command may or may not have been carried out. */
    public static final int UNREACHABLE = 4;
    /** A router stopped before all requests had ended and all bills were settled. */
    public static final int DRAIN_INCOMPLETE = RouterProcess.EXIT_DRAIN_INCOMPLETE;
    /** A router stopped because another router closed one of its escrow shares; it must be started again. */
    public static final int FENCED = RouterProcess.EXIT_FENCED;

    /** The list of exit codes that the help prints. */
    public static final String HELP = String.join(
            System.lineSeparator(),
            "Exit codes:",
            "  0  the command was carried out",
            "  1  a check failed, a benchmark did not meet its objective, or no log line mentions the request",
            "  2  the command line or a settings file is wrong",
            "  3  the router refused the command",
            "  4  the router could not be reached; the command may or may not have been carried out",
            "  5  a router stopped before all requests had ended and all bills were settled",
            "  6  a router stopped because another router closed its escrow share; start it again");

    private ExitCode() {}
}
