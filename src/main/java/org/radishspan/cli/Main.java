package org.radishspan.cli;

import java.io.OutputStreamWriter;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.radishspan.log.JsonLines;
import org.radishspan.settings.SettingsReader;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * The command line of radishspan: selects a subcommand, parses its options, prints help, and returns its exit code.
 *
 * <pre>{@code
 * int exitCode = new Main(new PrintWriter(System.out, true), new PrintWriter(System.err, true)).run("demo", "--check");
 * }</pre>
 */
public final class Main {
    private static final int HELP_WIDTH = 110;
    private static final int MAX_SUGGESTION_DISTANCE = 4;
    // A name and not a class literal: loading the class would load the JDK's own manager before the property is set.
    private static final String LOG_MANAGER = "org.radishspan.log.UntilExitLogManager";
    private static final String PROGRAM = "radishspan";

    private final PrintWriter out;
    private final PrintWriter err;
    private final Map<String, Command> commands = new LinkedHashMap<>();

    /** Creates a command line that writes results to {@code out} and error messages to {@code err}. */
    public Main(PrintWriter out, PrintWriter err) {
        this.out = out;
        this.err = err;
        for (Command command : Commands.all()) {
            commands.put(command.name(), command);
        }
    }

    /** Installs logging, runs the command that the arguments select, and exits with its exit code. */
    public static void main(String[] arguments) {
        System.setProperty("java.util.logging.manager", LOG_MANAGER);
        JsonLines.install(Level.INFO);
        PrintWriter out = new PrintWriter(new OutputStreamWriter(System.out, UTF_8), true);
        PrintWriter err = new PrintWriter(new OutputStreamWriter(System.err, UTF_8), true);
        System.exit(new Main(out, err).run(arguments));
    }

    /**
     * Runs the command that the first argument selects and returns its exit code.
     *
     * @return one of the codes of {@link ExitCode}; {@link ExitCode#USAGE} if the command is missing or unknown
     */
    public int run(String... arguments) {
        if (arguments.length == 0 || arguments[0].equals("--help") || arguments[0].equals("help")) {
            printCommands(out);
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Command command = commands.get(arguments[0]);
        if (command == null) {
            err.println("unknown command: " + arguments[0] + suggestion(arguments[0]));
            return ExitCode.USAGE;
        }
        return run(command, Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private String suggestion(String name) {
        return SettingsReader.Nearest.to(name, commands.keySet(), MAX_SUGGESTION_DISTANCE)
                .map(nearest -> "; did you mean " + nearest + "?")
                .orElse("; the commands are " + String.join(", ", commands.keySet()));
    }

    private int run(Command command, String[] arguments) {
        Options options = new Options();
        command.options().getOptions().forEach(options::addOption);
        options.addOption(Option.builder()
                .longOpt("help")
                .desc("print this help and exit")
                .get());
        if (Arrays.asList(arguments).contains("--help")) {
            printHelp(command, options);
            return ExitCode.OK;
        }
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            return command.action().run(line, out);
        } catch (ParseException | Command.UsageException e) {
            err.println(command.name() + ": " + e.getMessage());
            err.println("for help, run: " + PROGRAM + " " + command.name() + " --help");
            return ExitCode.USAGE;
        }
    }

    private void printCommands(PrintWriter writer) {
        writer.println("usage: " + PROGRAM + " COMMAND [options]");
        writer.println();
        writer.println("A router fleet for prepaid token budgets. Commands:");
        for (Command command : commands.values()) {
            writer.printf("  %-10s %s%n", command.name(), command.summary());
        }
        writer.println();
        writer.println("For the options of a command, run: " + PROGRAM + " COMMAND --help");
        writer.println();
        writer.println(ExitCode.HELP);
    }

    @SuppressWarnings("deprecation")
    private void printHelp(Command command, Options options) {
        HelpFormatter formatter = new HelpFormatter();
        formatter.printHelp(
                out,
                HELP_WIDTH,
                PROGRAM + " " + command.name() + " " + command.arguments(),
                command.summary(),
                options,
                2,
                2,
                ExitCode.HELP);
        out.flush();
    }
}
