package org.radishspan.error;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertTrue;

/** Checks the documentation of the error kinds. */
public class ErrorKindTest {

    @Test
    public void everyKindIsInTheManualWithItsStatus() throws IOException {
        String manual = Files.readString(Path.of("docs", "MANUAL.md"), UTF_8);
        for (ErrorKind kind : ErrorKind.values()) {
            String row = "| `" + kind.wireName() + "` | " + kind.httpStatus() + " |";
            assertTrue(manual.contains(row), "no row " + row);
        }
    }
}
