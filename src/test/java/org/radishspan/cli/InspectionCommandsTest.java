package org.radishspan.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@code explain} and {@code check-config}: exit codes, results and error messages. */
public class InspectionCommandsTest {
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private int run(String... arguments) {
        return new Main(new PrintWriter(out, true), new PrintWriter(err, true)).run(arguments);
    }

    private static String createFile(String text) throws IOException {
        Path file = Files.createTempFile("radishspan-cli", ".txt");
        Files.writeString(file, text, UTF_8);
        return file.toString();
    }

    @Test
    public void explainReportsTheOutcomeOfARequest() throws IOException {
        String log =
                createFile("{\"time_ms\":1,\"event\":\"request_refused\",\"request\":\"a\",\"reason\":\"no route\"}\n");
        assertEquals(run("explain", "--request", "a", log), ExitCode.OK);
        assertTrue(out.toString().contains("request a: rejected at admission: no route"), out.toString());
        assertEquals(run("explain", "--request", "b", log), ExitCode.CHECK_FAILED);
    }

    @Test
    public void explainNamesTheMissingOption() {
        assertEquals(run("explain", "log.txt"), ExitCode.USAGE);
        assertTrue(err.toString().contains("--request ID is missing"), err.toString());
    }

    @Test
    public void checkConfigRejectsInvalidIniAndJsonSettings() throws IOException {
        assertEquals(run("check-config", createFile("[router]\nvm = a\n")), ExitCode.USAGE);
        assertTrue(err.toString().contains("the settings have faults"), err.toString());
        assertEquals(run("check-config", createFile("{\"node_name\": 3}")), ExitCode.USAGE);
    }
}
