package org.radishspan.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.radishspan.bench.BudgetBench;
import org.radishspan.bench.CapacityBench;
import org.radishspan.bench.RoutingBench;
import org.radishspan.bench.SharesBench;
import org.radishspan.demo.Demo;
import org.radishspan.front.FrontProcess;
import org.radishspan.http.Json;
import org.radishspan.platform.VmSettingsReader;
import org.radishspan.router.RouterProcess;
import org.radishspan.router.RouterSettings;
import org.radishspan.router.RouterSettingsReader;
import org.radishspan.settings.SettingFault;
import org.radishspan.settings.SettingsReader;
import org.radishspan.standin.EngineStandIn;
import org.radishspan.standin.PlatformStandIn;
import org.radishspan.standin.ServiceStandIn;
import org.radishspan.standin.TargetSettings;
import sun.misc.Signal;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Defines the subcommands: their options, their help texts and the code that runs them. */
final class Commands {

    private Commands() {}

    /** Returns all subcommands in the order in which the help lists them. */
    static List<Command> all() {
        List<Command> commands = new ArrayList<>(mainCommands());
        commands.addAll(InspectionCommands.all());
        return commands;
    }

    private static List<Command> mainCommands() {
        return List.of(
                new Command(
                        "router",
                        "--config FILE",
                        "run a router on this VM with INI settings",
                        configOptions(),
                        Commands::router),
                new Command(
                        "serve",
                        "[--settings FILE]",
                        "run a router on the platform with its JSON settings",
                        serveOptions(),
                        Commands::serve),
                new Command("status", "", "show the status of a router", operatorOptions(), Commands::status),
                new Command(
                        "workspace",
                        "create NAME --budget BUDGET",
                        "create workspaces",
                        workspaceOptions(),
                        Commands::workspace),
                new Command(
                        "budget",
                        "create|topup|limit NAME TOKENS | show NAME | release NAME SHARE",
                        "create, top up, limit and show budgets, and release escrow shares",
                        budgetOptions(),
                        Commands::budget),
                new Command(
                        "preset",
                        "put NAME | use NAME | show",
                        "store, activate and show presets",
                        presetOptions(),
                        Commands::preset),
                new Command(
                        "quarantine",
                        "release FINGERPRINT",
                        "release a request that is quarantined because it crashed targets",
                        operatorOptions(),
                        Commands::quarantine),
                new Command("audit", "", "print the audit trail of changes", operatorOptions(), Commands::audit),
                new Command(
                        "stand-in",
                        "platform|engine|service --config FILE",
                        "run a stand-in for the platform, an engine or a service, for trials",
                        configOptions(),
                        Commands::standIn),
                new Command(
                        "demo",
                        "",
                        "run a complete fleet in one process on loopback ports",
                        demoOptions(),
                        Commands::demo),
                new Command(
                        "bench",
                        "budget|shares|routing|capacity",
                        "run a benchmark of the decision code on virtual time",
                        benchOptions(),
                        Commands::bench));
    }

    private static Option option(String name, String argument, String description) {
        return Option.builder()
                .longOpt(name)
                .hasArg()
                .argName(argument)
                .desc(description)
                .get();
    }

    private static Option flag(String name, String description) {
        return Option.builder().longOpt(name).desc(description).get();
    }

    private static Options configOptions() {
        return new Options().addOption(option("config", "FILE", "the settings file, in INI format; required"));
    }

    private static Options serveOptions() {
        return new Options()
                .addOption(option(
                        "settings",
                        "FILE",
                        "the settings file of the platform, in JSON format (default: environment variable "
                                + VmSettingsReader.FILE_VARIABLE + ")"))
                .addOption(option(
                        "metrics-port",
                        "PORT",
                        "the port of /metrics on the address of the VM (default: metrics are not served)"));
    }

    private static Options operatorOptions() {
        return new Options()
                .addOption(option(
                        "router", "HOST:PORT", "the address of a router's operator port (default 127.0.0.1:7002)"))
                .addOption(option("key", "KEY", "the operator key (default: environment variable RADISHSPAN_KEY)"))
                .addOption(option("output", "text|json", "the output format (default text)"));
    }

    private static Options changeOptions() {
        return operatorOptions()
                .addOption(option(
                        "actor", "NAME", "the name under which the audit trail records the change (default operator)"))
                .addOption(option(
                        "operation-id",
                        "ID",
                        "idempotency key: commands with the same id are carried out once (default: random)"));
    }

    private static Options configurationChangeOptions() {
        return changeOptions()
                .addOption(
                        option("expect-revision", "N", "refuse the change unless the configuration has this revision"));
    }

    private static Options workspaceOptions() {
        return configurationChangeOptions()
                .addOption(option(
                        "budget", "BUDGET", "the budget that is billed for the calls of the workspace; required"))
                .addOption(option(
                        "class", "urgent|batch", "the priority class of the calls of the workspace (default urgent)"));
    }

    private static Options budgetOptions() {
        return changeOptions()
                .addOption(option(
                        "reclaim",
                        "fenced|operator",
                        "with create: whether a dead router's unspent share returns automatically (default fenced)"))
                .addOption(option(
                        "horizon-millis",
                        "MILLIS",
                        "with create: how long a router's escrow share covers its demand (default: as in the preset)"));
    }

    private static Options presetOptions() {
        return configurationChangeOptions()
                .addOption(
                        option("share-horizon-millis", "MILLIS", "how long a router's escrow share covers its demand"))
                .addOption(option(
                        "urgent-headroom",
                        "FRACTION",
                        "the fraction of the capacity that is reserved for urgent calls"))
                .addOption(option("batch-queue-limit", "N", "the maximum number of queued batch calls"))
                .addOption(option(
                        "batch-max-wait-millis", "MILLIS", "the maximum time that a batch call waits in the queue"));
    }

    private static Options demoOptions() {
        return new Options()
                .addOption(flag("check", "send a few calls, check responses, bills and balances, and exit"))
                .addOption(flag("load-classes", "load all classes of the program first, for a class-data archive"));
    }

    private static Options benchOptions() {
        return new Options().addOption(option("seed", "N", "the seed of all random numbers (default 1)"));
    }

    private static int bench(CommandLine line, PrintWriter out) throws Command.UsageException {
        String benchmark = argument(line, 0, "the benchmark (budget, shares, routing or capacity)");
        requireAllowed(benchmark, List.of("budget", "shares", "routing", "capacity"));
        long seed = line.hasOption("seed") ? number(line, "seed", Long::parseLong) : 1;
        if (benchmark.equals("capacity")) {
            new CapacityBench(out, seed).run();
            return ExitCode.OK;
        }
        if (benchmark.equals("routing")) {
            return new RoutingBench(out, seed).run() ? ExitCode.OK : ExitCode.CHECK_FAILED;
        }
        if (benchmark.equals("shares")) {
            return new SharesBench(out, seed).run() ? ExitCode.OK : ExitCode.CHECK_FAILED;
        }
        return new BudgetBench(out, seed).run() ? ExitCode.OK : ExitCode.CHECK_FAILED;
    }

    private static String readConfig(CommandLine line) throws Command.UsageException {
        String file = line.getOptionValue("config");
        if (file == null) {
            throw new Command.UsageException("--config FILE is missing");
        }
        return new String(InspectionCommands.readFile(file), UTF_8);
    }

    private static int serve(CommandLine line, PrintWriter out) throws Command.UsageException {
        String file = line.getOptionValue("settings", System.getenv(VmSettingsReader.FILE_VARIABLE));
        if (file == null) {
            throw new Command.UsageException("--settings FILE is missing, and environment variable "
                    + VmSettingsReader.FILE_VARIABLE + " is not set");
        }
        int metricsPort = line.hasOption("metrics-port") ? number(line, "metrics-port", Integer::parseInt) : 0;
        byte[] text = InspectionCommands.readFile(file);
        FrontProcess process =
                FrontProcess.start(Path.of(file), text, requireValid(VmSettingsReader.read(text)), metricsPort);
        Thread hook = new Thread(() -> Runtime.getRuntime().halt(process.stop().join()));
        Runtime.getRuntime().addShutdownHook(hook);
        // The platform sends SIGHUP after a change of the settings file. The default handler of the JVM would exit.
        Signal.handle(new Signal("HUP"), signal -> process.reload());
        return process.ended().join();
    }

    /** Returns the settings; throws an exception that lists every fault if they have any. */
    static <T> T requireValid(Either<List<SettingFault>, T> settings) throws Command.UsageException {
        if (settings.isLeft()) {
            StringBuilder message = new StringBuilder("the settings have faults:");
            settings.getLeft().forEach(fault -> message.append("\n  ").append(fault));
            throw new Command.UsageException(message.toString());
        }
        return settings.get();
    }

    private static int router(CommandLine line, PrintWriter out) throws Command.UsageException {
        RouterSettings settings = requireValid(RouterSettingsReader.read(readConfig(line)));
        RouterProcess process = RouterProcess.start(settings);
        // A JVM that a signal ends exits with the signal's code. halt() exits with the result of the drain.
        Thread hook = new Thread(() -> Runtime.getRuntime().halt(process.stop().join()));
        Runtime.getRuntime().addShutdownHook(hook);
        out.println("callers: " + process.callerPort() + "  operators: " + process.operatorPort() + "  peers: "
                + process.peerPort());
        return process.ended().join();
    }

    private static int status(CommandLine line, PrintWriter out) throws Command.UsageException {
        return new OperatorClient(line, out).get("/status");
    }

    private static int quarantine(CommandLine line, PrintWriter out) throws Command.UsageException {
        requireAllowed(argument(line, 0, "the action (release)"), List.of("release"));
        ObjectNode body = Json.object().put("name", argument(line, 1, "FINGERPRINT"));
        return new OperatorClient(line, out).post("/quarantine/release", body);
    }

    private static int audit(CommandLine line, PrintWriter out) throws Command.UsageException {
        return new OperatorClient(line, out).get("/audit");
    }

    private static String argument(CommandLine line, int index, String description) throws Command.UsageException {
        List<String> arguments = line.getArgList();
        if (arguments.size() <= index) {
            throw new Command.UsageException(description + " is missing");
        }
        return arguments.get(index);
    }

    private static long tokenCount(CommandLine line, int index) throws Command.UsageException {
        String text = argument(line, index, "TOKENS");
        try {
            return Long.parseLong(text.replace("_", ""));
        } catch (NumberFormatException e) {
            throw new Command.UsageException("TOKENS must be a whole number such as 1000000 or 1_000_000, not " + text);
        }
    }

    private static ObjectNode changeBody(CommandLine line, String name) throws Command.UsageException {
        ObjectNode body = Json.object();
        body.put("name", name);
        body.put("actor", line.getOptionValue("actor", "operator"));
        body.put(
                "operation_id",
                line.getOptionValue("operation-id", UUID.randomUUID().toString()));
        if (line.hasOption("expect-revision")) {
            Long expected = number(line, "expect-revision", Long::parseLong);
            body.put("expect_revision", expected);
        }
        return body;
    }

    private static <T> T number(CommandLine line, String option, Function<String, T> parse)
            throws Command.UsageException {
        String text = line.getOptionValue(option);
        try {
            return parse.apply(text);
        } catch (NumberFormatException e) {
            throw new Command.UsageException("--" + option + " must be a number, not " + text);
        }
    }

    private static int workspace(CommandLine line, PrintWriter out) throws Command.UsageException {
        requireAllowed(argument(line, 0, "the action (create)"), List.of("create"));
        ObjectNode body = changeBody(line, argument(line, 1, "NAME"));
        if (!line.hasOption("budget")) {
            throw new Command.UsageException("--budget BUDGET is missing");
        }
        body.put("budget", line.getOptionValue("budget"));
        body.put("class", line.getOptionValue("class", "urgent"));
        return new OperatorClient(line, out).post("/workspaces", body);
    }

    private static void requireAllowed(String word, List<String> allowed) throws Command.UsageException {
        if (!allowed.contains(word)) {
            throw new Command.UsageException(
                    "unknown argument: " + word + "; allowed are " + String.join(", ", allowed));
        }
    }

    private static int budget(CommandLine line, PrintWriter out) throws Command.UsageException {
        String action = argument(line, 0, "the action (create, topup, limit, show or release)");
        requireAllowed(action, List.of("create", "topup", "limit", "show", "release"));
        String name = argument(line, 1, "NAME");
        OperatorClient client = new OperatorClient(line, out);
        if (action.equals("show")) {
            return client.get("/budgets?name=" + name);
        }
        ObjectNode body = changeBody(line, name);
        if (action.equals("release")) {
            body.put("share", argument(line, 2, "SHARE"));
            return client.post("/budgets/release", body);
        }
        body.put("tokens", tokenCount(line, 2));
        body.put("reclaim", line.getOptionValue("reclaim", "fenced"));
        putNumberIfPresent(line, body, "horizon-millis");
        return client.post(action.equals("create") ? "/budgets" : "/budgets/" + action, body);
    }

    private static int preset(CommandLine line, PrintWriter out) throws Command.UsageException {
        String action = argument(line, 0, "the action (put, use or show)");
        requireAllowed(action, List.of("put", "use", "show"));
        OperatorClient client = new OperatorClient(line, out);
        if (action.equals("show")) {
            return client.get("/presets");
        }
        ObjectNode body = changeBody(line, argument(line, 1, "NAME"));
        if (action.equals("use")) {
            return client.post("/presets/in-force", body);
        }
        putNumberIfPresent(line, body, "share-horizon-millis");
        putNumberIfPresent(line, body, "batch-queue-limit");
        putNumberIfPresent(line, body, "batch-max-wait-millis");
        if (line.hasOption("urgent-headroom")) {
            Double headroom = number(line, "urgent-headroom", Double::parseDouble);
            body.put("urgent_headroom", headroom);
        }
        return client.post("/presets", body);
    }

    private static void putNumberIfPresent(CommandLine line, ObjectNode body, String option)
            throws Command.UsageException {
        if (line.hasOption(option)) {
            Long value = number(line, option, Long::parseLong);
            body.put(option.replace('-', '_'), value);
        }
    }

    private static int standIn(CommandLine line, PrintWriter out) throws Command.UsageException {
        String kind = argument(line, 0, "the kind of stand-in (platform, engine or service)");
        requireAllowed(kind, List.of("platform", "engine", "service"));
        SettingsReader reader = SettingsReader.parse(readConfig(line));
        int port = kind.equals("platform") ? startPlatform(reader) : startTarget(kind, reader);
        out.println(kind + ": " + port);
        return waitForever();
    }

    private static int startPlatform(SettingsReader reader) throws Command.UsageException {
        String host = reader.text("listen", "host", "127.0.0.1");
        int port = reader.port("listen", "port");
        return requireValid(reader.finish(() -> new PlatformStandIn(host, port).port()));
    }

    private static int startTarget(String kind, SettingsReader reader) throws Command.UsageException {
        Set<String> serves =
                new LinkedHashSet<>(List.of(reader.text("target", "serves").split("\\s+")));
        TargetSettings settings = new TargetSettings(
                reader.text("target", "name"),
                reader.text("listen", "host", "127.0.0.1"),
                reader.port("listen", "port"),
                reader.text("target", "failure_domain"),
                serves,
                reader.wholeNumber("target", "token_millis", 10, 0, 60_000),
                reader.text("platform", "host"),
                reader.port("platform", "port"));
        return requireValid(reader.finish(() ->
                kind.equals("engine") ? new EngineStandIn(settings).port() : new ServiceStandIn(settings).port()));
    }

    private static int waitForever() {
        try {
            Thread.currentThread().join();
            return ExitCode.OK;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.OK;
        }
    }

    private static int demo(CommandLine line, PrintWriter out) {
        if (line.hasOption("load-classes")) {
            out.println("classes loaded: " + ClassLoading.loadOwnClasses());
        }
        Demo demo = Demo.start(out);
        if (line.hasOption("check")) {
            boolean passed = demo.check();
            demo.stop();
            return passed ? ExitCode.OK : ExitCode.CHECK_FAILED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(demo::stop));
        demo.printExampleCalls();
        return waitForever();
    }
}
