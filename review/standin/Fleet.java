import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Starts the project's routers as separate processes, with the command of the deploy file, and ends them. */
final class Fleet implements AutoCloseable {
    static final String[] ZONES = {"arequipa", "moquegua", "tacna"};

    final Path folder;
    final String storeHost = "127.0.3.1";
    final int storePort;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    final int firstPeerPort;
    private final List<Process> processes = new ArrayList<>();
    private final List<String> command;

    Fleet() throws IOException {
        folder = Files.createTempDirectory("radishspan-review-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        int[] ports = freePorts();
        storePort = ports[0];
        frontPort = ports[1];
        readyPort = ports[2];
        controlPort = ports[3];
        firstPeerPort = ports[4];
        command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                .map(line -> Arrays.asList(line.split(" ")))
                .findFirst()
                .orElseThrow();
    }

    private static int[] freePorts() throws IOException {
        ServerSocket[] sockets = new ServerSocket[5];
        int[] ports = new int[sockets.length];
        for (int i = 0; i < sockets.length; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("0.0.0.0"))) {
            return socket.getLocalPort();
        }
    }

    static String address(int router) {
        return "127.0.1." + (router + 1);
    }

    /** The bounds of the site, as the settings file has them; by default those of bitacora-sub. */
    String bounds = "{\"seed_lag_s\":3,\"addr_reuse_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"sync_s\":4,"
                        + "\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_apply_ms\":2000,"
                        + "\"rollback_slack_ms\":250,\"max_skew_ms\":5000,\"strict_revoke\":false,\"revoke_ms\":5000,"
                        + "\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":52,\"recover_s\":12,\"pass_ms\":120,"
                        + "\"retry_after_s\":10,\"settle_ms\":1500}";

    /** Lets each router reach the store at an address of its own, {@link #storeHostOf}. */
    boolean ownStoreHosts;

    static String storeHostOf(int router) {
        return "127.0.4." + (router + 1);
    }

    /** Starts the router of a machine in one of the zones; its output goes to a file of the temporary folder. */
    Process start(int router) throws IOException {
        return start(router, ZONES[router % ZONES.length], router / ZONES.length + 1);
    }

    /** Starts the router of a machine with a number in a zone. */
    Process start(int router, String zone, int number) throws IOException {
        String name = "front-" + zone + "-" + number;
        ObjectNode node = Store.JSON.createObjectNode();
        node.put("node_name", name).put("node_role", "router").put("machine_class", "front");
        node.putArray("served_classes").add("front");
        node.put("ip", address(router)).put("zone", zone).put("region", "sur-andino");
        ObjectNode zones = node.putObject("zones");
        Arrays.stream(ZONES).forEach(each -> zones.put(each, "sur-andino"));
        ObjectNode bind = node.putObject("bind");
        bind.put("front", address(router) + ":" + frontPort);
        bind.put("ready", address(router) + ":" + readyPort);
        bind.put("control", address(router) + ":" + controlPort);
        node.putArray("port_range").add(firstPeerPort).add(firstPeerPort);
        node.putArray("seed_addrs").add(address(0) + ":" + controlPort);
        node.put("bootstrap", true);
        node.putObject("limits").put("cpu_share", 0.75).put("cores", 1).put("memory_mb", 430).put("max_fds", 4200);
        node.put("heartbeat_ms", 1200);
        node.set("bounds", Store.JSON.readTree(bounds));
        node.set(
                "platform",
                Store.JSON.readTree("{\"address\":\"" + (ownStoreHosts ? storeHostOf(router) : storeHost) + ":" + storePort
                        + "\",\"form\":\"objects\",\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
                        + "\"value_bytes\":1048576,\"ttl_min_ms\":1000}"));
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, node.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("RADISHSPAN_NODE_FILE", settings.toString());
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".log")));
        builder.redirectError(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), name + ".err")));
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    /** Waits until the routers say that they are ready; returns false if one does not in time. */
    boolean awaitReady(int routers, long timeoutMillis) throws Exception {
        long until = System.nanoTime() / 1_000_000 + timeoutMillis;
        for (int i = 0; i < routers; i++) {
            while (true) {
                try (Client client = new Client(address(i), readyPort, "ready")) {
                    if (client.send("GET", "/api/readyz", java.util.Map.of(), new byte[0], 1_000).status() == 200) {
                        break;
                    }
                }
                if (System.nanoTime() / 1_000_000 > until) {
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    @Override
    public void close() throws Exception {
        for (Process process : processes) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }

    /** Removes the temporary folder, unless KEEP=1. */
    void removeFolder() throws IOException {
        if ("1".equals(System.getenv("KEEP"))) {
            System.out.println("kept " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }
}
