package org.radishspan.request;

import java.util.Map;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.WorkspaceState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the validation of incoming calls and the worst-case tokens derived from them. */
public class CallReaderTest {
    private static final WorkspaceState WORKSPACE =
            WorkspaceState.newBuilder().setName("w").setBudget("b").build();
    private static final CallReader READER =
            new CallReader(new CallReader.Limits(100, 10), Map.of("hire", new CallReader.ServiceSpec(false, 7)));
    private static final String MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"hé\"}]";

    private static Either<Failure, CallSpec> read(String path, String body, @Nullable String key) {
        return READER.read(WORKSPACE, new CallReader.IncomingCall(path, body.getBytes(UTF_8), key, null));
    }

    @DataProvider
    public Object[][] invalidCalls() {
        return new Object[][] {
            {"/v1/chat/completions", "{", null, ErrorKind.BAD_JSON},
            {"/v1/chat/completions", "[]", null, ErrorKind.BAD_JSON},
            {"/v1/chat/completions", "{} {}", null, ErrorKind.BAD_JSON},
            {"/v1/chat/completions", "{" + MESSAGES + "}", null, ErrorKind.INVALID_REQUEST},
            {"/v1/chat/completions", "{\"model\":\"m\",\"messages\":[]}", null, ErrorKind.INVALID_REQUEST},
            {"/v1/chat/completions", "{\"model\":\"m\",\"messages\":[1]}", null, ErrorKind.INVALID_REQUEST},
            {
                "/v1/chat/completions",
                "{\"model\":\"m\",\"max_tokens\":0," + MESSAGES + "}",
                null,
                ErrorKind.INVALID_REQUEST
            },
            {
                "/v1/chat/completions",
                "{\"model\":\"m\",\"max_tokens\":101," + MESSAGES + "}",
                null,
                ErrorKind.INVALID_REQUEST
            },
            {
                "/v1/chat/completions",
                "{\"model\":\"m\",\"max_tokens\":1e99," + MESSAGES + "}",
                null,
                ErrorKind.INVALID_REQUEST
            },
            {"/v1/chat/completions", "{\"model\":\"m\",\"stream\":1," + MESSAGES + "}", null, ErrorKind.INVALID_REQUEST
            },
            {"/v1/chat/completions", "{\"model\":\"m\"," + MESSAGES + "}", "a b", ErrorKind.INVALID_REQUEST},
            {"/v1/services/hire/book", "{}", null, ErrorKind.MISSING_IDEMPOTENCY_KEY},
            {"/v1/services/fire/book", "{}", "k", ErrorKind.UNKNOWN_SERVICE},
            {"/v2", "{}", null, ErrorKind.NOT_FOUND},
        };
    }

    @Test(dataProvider = "invalidCalls")
    public void anInvalidCallIsRefusedAsNotRun(String path, String body, @Nullable String key, ErrorKind kind) {
        Failure failure = read(path, body, key).getLeft();
        assertEquals(failure.kind(), kind);
        assertEquals(failure.ran(), Failure.Ran.NO);
    }

    @Test
    public void theWorstCaseIsThePromptBytesPlusTheRequestedOutput() {
        CallSpec call = read("/v1/chat/completions", "{\"model\":\"m\",\"max_tokens\":20," + MESSAGES + "}", null)
                .get();
        assertEquals(call.worstCaseTokens(), 3 + 8 + 20);
        assertTrue(call.repeatable());
    }

    @Test
    public void aServiceCallIsBilledAtThePriceOfTheService() {
        CallSpec call = read("/v1/services/hire/book/now", "{}", "k").get();
        assertEquals(call.worstCaseTokens(), 7);
        assertEquals(call.path(), "/book/now");
    }
}
