package org.radishspan.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.radishspan.deployment.VmSettings;
import org.radishspan.explain.Explanation;
import org.radishspan.platform.VmSettingsReader;
import org.radishspan.router.RouterSettings;
import org.radishspan.router.RouterSettingsReader;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

/** Defines the subcommands that only read files: they neither start a router nor connect to one. */
final class InspectionCommands {
    private static final String JSON_START = "{";

    private InspectionCommands() {}

    /** Returns the subcommands {@code explain} and {@code check-config}. */
    static List<Command> all() {
        return List.of(
                new Command(
                        "explain",
                        "--request ID LOG...",
                        "explain the outcome of a request from the logs of one or more routers",
                        new Options()
                                .addOption(Option.builder()
                                        .longOpt("request")
                                        .hasArg()
                                        .argName("ID")
                                        .desc("the id of the request; required")
                                        .get()),
                        InspectionCommands::explain),
                new Command(
                        "check-config",
                        "FILE...",
                        "check settings files: INI for 'router', JSON of the platform for 'serve'",
                        new Options(),
                        InspectionCommands::checkConfig));
    }

    private static int explain(CommandLine line, PrintWriter out) throws Command.UsageException {
        String requestId = line.getOptionValue("request");
        if (requestId == null || requestId.isBlank()) {
            throw new Command.UsageException("--request ID is missing");
        }
        if (line.getArgList().isEmpty()) {
            throw new Command.UsageException("LOG is missing; give at least one log file");
        }
        Map<String, List<String>> logs = new LinkedHashMap<>();
        for (String file : line.getArgList()) {
            // Incompletely written lines can contain any bytes. ISO 8859-1 decodes every byte without an error.
            logs.put(file, new String(readFile(file), ISO_8859_1).lines().toList());
        }
        Optional<Explanation> explanation = Explanation.of(requestId, logs);
        if (explanation.isEmpty()) {
            out.println("no log line mentions request " + requestId + "; add the logs of the other routers");
            return ExitCode.CHECK_FAILED;
        }
        explanation.get().print(out);
        return ExitCode.OK;
    }

    private static int checkConfig(CommandLine line, PrintWriter out) throws Command.UsageException {
        if (line.getArgList().isEmpty()) {
            throw new Command.UsageException("FILE is missing; give at least one settings file");
        }
        for (String file : line.getArgList()) {
            out.println(file + ": " + summary(readFile(file)));
        }
        return ExitCode.OK;
    }

    private static String summary(byte[] settingsText) throws Command.UsageException {
        if (new String(settingsText, UTF_8).strip().startsWith(JSON_START)) {
            VmSettings settings = Commands.requireValid(VmSettingsReader.read(settingsText));
            StringBuilder text = new StringBuilder("router " + settings.vm() + " in " + settings.failureDomain()
                    + ", callers at " + settings.callerAddress() + ", store at "
                    + settings.store().address());
            settings.replacements().forEach(replacement -> text.append("\n  ").append(replacement));
            return text.toString();
        }
        RouterSettings settings = Commands.requireValid(RouterSettingsReader.read(new String(settingsText, UTF_8)));
        return "router " + settings.vm() + " in " + settings.failureDomain();
    }

    /** Returns the content of a file; throws an exception that names the file if it cannot be read. */
    static byte[] readFile(String file) throws Command.UsageException {
        try {
            return Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            throw new Command.UsageException("cannot read " + file + ": " + e.getMessage());
        }
    }
}
