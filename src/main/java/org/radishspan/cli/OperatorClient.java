package org.radishspan.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.commons.cli.CommandLine;
import org.radishspan.http.Json;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Sends commands to the operator port of a router and prints the responses as text or as JSON. */
final class OperatorClient {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int OK = 200;

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
    private final String address;
    private final String key;
    private final boolean json;
    private final PrintWriter out;

    /** Reads the options {@code --router}, {@code --key} and {@code --output}. */
    OperatorClient(CommandLine line, PrintWriter out) throws Command.UsageException {
        this.address = line.getOptionValue("router", "127.0.0.1:7002");
        this.key = line.getOptionValue(
                "key", Optional.ofNullable(System.getenv("RADISHSPAN_KEY")).orElse(""));
        String output = line.getOptionValue("output", "text");
        if (!output.equals("text") && !output.equals("json")) {
            throw new Command.UsageException("--output must be text or json, not " + output);
        }
        this.json = output.equals("json");
        this.out = out;
    }

    /** Sends a GET request, prints the response, and returns the exit code. */
    int get(String path) {
        return send(request(path).GET().build());
    }

    /** Sends a POST request with a JSON body, prints the response, and returns the exit code. */
    int post(String path, ObjectNode body) {
        return send(request(path)
                .POST(HttpRequest.BodyPublishers.ofString(body.toString(), UTF_8))
                .build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("authorization", "Bearer " + key)
                .timeout(TIMEOUT);
    }

    private int send(HttpRequest request) {
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString(UTF_8));
            return print(response);
        } catch (IOException e) {
            out.println("the router at " + address + " could not be reached: " + e.getMessage());
            return ExitCode.UNREACHABLE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.UNREACHABLE;
        }
    }

    private int print(HttpResponse<String> response) {
        Optional<ObjectNode> body = Json.parseObject(response.body().getBytes(UTF_8));
        if (response.statusCode() != OK) {
            printRefusal(response, body);
            return ExitCode.REFUSED;
        }
        if (json || body.isEmpty()) {
            out.print(response.body());
            out.flush();
            return ExitCode.OK;
        }
        printText(body.get(), "");
        return ExitCode.OK;
    }

    private void printRefusal(HttpResponse<String> response, Optional<ObjectNode> body) {
        if (json || body.isEmpty()) {
            out.println(response.body());
            return;
        }
        JsonNode error = body.get().path("error");
        out.println("the router refused the command (" + error.path("kind").asText() + "): "
                + error.path("message").asText());
    }

    private void printText(JsonNode node, String indent) {
        node.properties().forEach(field -> {
            JsonNode value = field.getValue();
            if (!value.isContainerNode()) {
                out.println(indent + field.getKey() + ": " + value.asText());
                return;
            }
            out.println(indent + field.getKey() + ":");
            for (JsonNode row : value) {
                out.println(indent + "  " + rowText(row));
            }
        });
    }

    private static String rowText(JsonNode row) {
        StringBuilder text = new StringBuilder();
        row.properties()
                .forEach(field -> text.append(text.length() == 0 ? "" : "  ")
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText()));
        return text.toString();
    }
}
