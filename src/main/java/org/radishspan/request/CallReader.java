package org.radishspan.request;

import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.apache.commons.codec.digest.DigestUtils;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.Json;
import org.radishspan.proto.WorkspaceState;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Validates incoming calls. A call refused here reserves no tokens and is not billed. */
public final class CallReader {
    /** The path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** The path prefix of plain services; the name of the service follows. */
    public static final String SERVICES_PATH = "/v1/services/";

    private static final int MAX_KEY_LENGTH = 200;
    private static final int TOKENS_PER_MESSAGE = 8;
    private static final String URGENT = "urgent";
    private static final String BATCH = "batch";

    /**
     * A call as received, before validation.
     *
     * @param path the request path
     * @param body the request body
     * @param idempotencyKey the header {@code idempotency-key}; null if absent
     * @param requestClass the header {@code x-request-class}; null if absent
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record IncomingCall(
            String path,
            byte[] body,
            @Nullable String idempotencyKey,
            @Nullable String requestClass) {}

    /**
     * The settings of a plain service.
     *
     * @param repeatable whether a call may be executed more than once
     * @param priceTokens the number of tokens billed for one call
     */
    public record ServiceSpec(boolean repeatable, long priceTokens) {}

    /**
     * The limits on the output of chat completions.
     *
     * @param maxOutputTokens the largest {@code max_tokens} that a call may request
     * @param defaultOutputTokens the {@code max_tokens} of a call that does not set it
     */
    public record Limits(int maxOutputTokens, int defaultOutputTokens) {}

    private final Limits limits;
    private final Map<String, ServiceSpec> services;

    /** Creates a reader for chat completions and for the plain services in the settings, by name. */
    public CallReader(Limits limits, Map<String, ServiceSpec> services) {
        this.limits = limits;
        this.services = Map.copyOf(services);
    }

    /** Returns the validated call, or the failure with which it is refused. */
    public Either<Failure, CallSpec> read(WorkspaceState workspace, IncomingCall incoming) {
        Optional<Failure> keyFailure = checkKey(incoming.idempotencyKey());
        if (keyFailure.isPresent()) {
            return Either.left(keyFailure.get());
        }
        String requestClass = incoming.requestClass();
        if (requestClass != null && !requestClass.equals(URGENT) && !requestClass.equals(BATCH)) {
            return Either.left(invalidRequest("x-request-class must be urgent or batch, not " + requestClass));
        }
        if (incoming.path().equals(CHAT_PATH)) {
            return readChat(workspace, incoming);
        }
        if (incoming.path().startsWith(SERVICES_PATH)) {
            return readService(workspace, incoming);
        }
        return Either.left(Failure.notRun(ErrorKind.NOT_FOUND, "no such path: " + incoming.path()));
    }

    private static Optional<Failure> checkKey(@Nullable String key) {
        if (key == null) {
            return Optional.empty();
        }
        boolean printable = key.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH || !printable) {
            return Optional.of(invalidRequest(
                    "idempotency-key must be 1 to " + MAX_KEY_LENGTH + " printable characters without spaces"));
        }
        return Optional.empty();
    }

    private static boolean isUrgent(WorkspaceState workspace, IncomingCall incoming) {
        String requestClass = incoming.requestClass();
        return requestClass == null ? !workspace.getPriorityClass().equals(BATCH) : requestClass.equals(URGENT);
    }

    private Either<Failure, CallSpec> readChat(WorkspaceState workspace, IncomingCall incoming) {
        Optional<ObjectNode> parsed = Json.parseObject(incoming.body());
        if (parsed.isEmpty()) {
            return Either.left(Failure.notRun(ErrorKind.BAD_JSON, "the body must be one JSON object"));
        }
        ObjectNode body = parsed.get();
        JsonNode model = body.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            return Either.left(invalidRequest("model must be a non-empty string"));
        }
        Either<Failure, Long> prompt = promptTokens(body.path("messages"));
        if (prompt.isLeft()) {
            return Either.left(prompt.getLeft());
        }
        Either<Failure, Integer> output = outputTokens(body.path("max_tokens"));
        if (output.isLeft()) {
            return Either.left(output.getLeft());
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean()) {
            return Either.left(invalidRequest("stream must be true or false"));
        }
        return Either.right(chatCall(workspace, incoming, body, prompt.get(), output.get()));
    }

    private static CallSpec chatCall(
            WorkspaceState workspace, IncomingCall incoming, ObjectNode body, long promptTokens, int outputTokens) {
        boolean stream = body.path("stream").asBoolean(false);
        String fingerprint = fingerprint(workspace, incoming);
        body.put("max_tokens", outputTokens);
        body.put("stream", true);
        return new CallSpec(
                CallSpec.Kind.CHAT,
                workspace.getName(),
                workspace.getBudget(),
                isUrgent(workspace, incoming),
                body.path("model").asText(),
                CHAT_PATH,
                body.toString().getBytes(UTF_8),
                stream,
                incoming.idempotencyKey(),
                true,
                promptTokens + outputTokens,
                fingerprint);
    }

    private static Either<Failure, Long> promptTokens(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return Either.left(invalidRequest("messages must be a non-empty array"));
        }
        long tokens = 0;
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || !content.isTextual()) {
                return Either.left(invalidRequest("each message must have a role and a content, both strings"));
            }
            // No tokenizer produces more tokens than the text has bytes, so this is an upper bound.
            tokens += content.asText().getBytes(UTF_8).length + TOKENS_PER_MESSAGE;
        }
        return Either.right(tokens);
    }

    private Either<Failure, Integer> outputTokens(JsonNode maxTokens) {
        if (maxTokens.isMissingNode()) {
            return Either.right(limits.defaultOutputTokens());
        }
        boolean inRange =
                maxTokens.canConvertToInt() && maxTokens.asInt() >= 1 && maxTokens.asInt() <= limits.maxOutputTokens();
        if (!maxTokens.isIntegralNumber() || !inRange) {
            return Either.left(invalidRequest("max_tokens must be an integer from 1 to " + limits.maxOutputTokens()));
        }
        return Either.right(maxTokens.asInt());
    }

    private Either<Failure, CallSpec> readService(WorkspaceState workspace, IncomingCall incoming) {
        String rest = incoming.path().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        ServiceSpec service = services.get(name);
        if (service == null) {
            return Either.left(Failure.notRun(ErrorKind.UNKNOWN_SERVICE, "no service named " + name));
        }
        if (!service.repeatable() && incoming.idempotencyKey() == null) {
            return Either.left(Failure.notRun(
                    ErrorKind.MISSING_IDEMPOTENCY_KEY,
                    "calls to service " + name + " require an idempotency-key header because they are not repeatable"));
        }
        return Either.right(new CallSpec(
                CallSpec.Kind.SERVICE,
                workspace.getName(),
                workspace.getBudget(),
                isUrgent(workspace, incoming),
                name,
                slash < 0 ? "/" : rest.substring(slash),
                incoming.body(),
                false,
                incoming.idempotencyKey(),
                service.repeatable(),
                service.priceTokens(),
                fingerprint(workspace, incoming)));
    }

    /** Returns a hash of workspace, path and body that identifies repeated calls. */
    private static String fingerprint(WorkspaceState workspace, IncomingCall incoming) {
        byte[] prefix = (workspace.getName() + "\n" + incoming.path() + "\n").getBytes(UTF_8);
        byte[] input = new byte[prefix.length + incoming.body().length];
        System.arraycopy(prefix, 0, input, 0, prefix.length);
        System.arraycopy(incoming.body(), 0, input, prefix.length, incoming.body().length);
        return DigestUtils.sha256Hex(input);
    }

    private static Failure invalidRequest(String message) {
        return Failure.notRun(ErrorKind.INVALID_REQUEST, message);
    }
}
