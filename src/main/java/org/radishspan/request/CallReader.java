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

/** Checks calls at the door; a call refused here costs nothing. */
public final class CallReader {
    /** The path of chat completions. */
    public static final String CHAT_PATH = "/v1/chat/completions";

    /** The start of the paths of plain services. */
    public static final String SERVICES_PATH = "/v1/services/";

    private static final int MAX_KEY_LENGTH = 200;
    private static final int TOKENS_PER_MESSAGE = 8;
    private static final String URGENT = "urgent";
    private static final String BATCH = "batch";

    /**
     * A call as it came in.
     *
     * @param path the path
     * @param body the body
     * @param idempotencyKey the header; null if there is none
     * @param requestClass the header {@code x-request-class}; null if there is none
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record Incoming(
            String path,
            byte[] body,
            @Nullable String idempotencyKey,
            @Nullable String requestClass) {}

    /**
     * A plain service as the settings describe it.
     *
     * @param repeatable whether its calls may run twice
     * @param priceTokens what one call is billed
     */
    public record ServiceSpec(boolean repeatable, long priceTokens) {}

    /**
     * The limits of calls.
     *
     * @param maxOutputTokens the most that a call may ask for
     * @param defaultOutputTokens what a call gets that asks for nothing
     */
    public record Limits(int maxOutputTokens, int defaultOutputTokens) {}

    private final Limits limits;
    private final Map<String, ServiceSpec> services;

    /** Creates a reader for the services that the settings name. */
    public CallReader(Limits limits, Map<String, ServiceSpec> services) {
        this.limits = limits;
        this.services = Map.copyOf(services);
    }

    /** Returns the checked call, or why it is refused. */
    public Either<Failure, CallSpec> read(WorkspaceState workspace, Incoming incoming) {
        Optional<Failure> keyFault = checkKey(incoming.idempotencyKey());
        if (keyFault.isPresent()) {
            return Either.left(keyFault.get());
        }
        String requestClass = incoming.requestClass();
        if (requestClass != null && !requestClass.equals(URGENT) && !requestClass.equals(BATCH)) {
            return Either.left(invalid("x-request-class must be urgent or batch, not " + requestClass));
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
            return Optional.of(
                    invalid("idempotency-key must be 1 to " + MAX_KEY_LENGTH + " printable characters without spaces"));
        }
        return Optional.empty();
    }

    private static boolean urgent(WorkspaceState workspace, Incoming incoming) {
        String requestClass = incoming.requestClass();
        return requestClass == null ? !workspace.getPriorityClass().equals(BATCH) : requestClass.equals(URGENT);
    }

    private Either<Failure, CallSpec> readChat(WorkspaceState workspace, Incoming incoming) {
        Optional<ObjectNode> parsed = Json.parseObject(incoming.body());
        if (parsed.isEmpty()) {
            return Either.left(Failure.notRun(ErrorKind.BAD_JSON, "the body must be one JSON object"));
        }
        ObjectNode body = parsed.get();
        JsonNode model = body.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            return Either.left(invalid("model must be a non-empty text"));
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
            return Either.left(invalid("stream must be true or false"));
        }
        return Either.right(chat(workspace, incoming, body, prompt.get(), output.get()));
    }

    private static CallSpec chat(
            WorkspaceState workspace, Incoming incoming, ObjectNode body, long promptTokens, int outputTokens) {
        boolean stream = body.path("stream").asBoolean(false);
        String fingerprint = fingerprint(workspace, incoming);
        body.put("max_tokens", outputTokens);
        body.put("stream", true);
        return new CallSpec(
                CallSpec.Kind.CHAT,
                workspace.getName(),
                workspace.getBudget(),
                urgent(workspace, incoming),
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
            return Either.left(invalid("messages must be a non-empty list"));
        }
        long tokens = 0;
        for (JsonNode message : messages) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || !content.isTextual()) {
                return Either.left(invalid("each message needs a role and a content, both texts"));
            }
            // No tokenizer yields more tokens than the text has bytes.
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
            return Either.left(invalid("max_tokens must be a whole number from 1 to " + limits.maxOutputTokens()));
        }
        return Either.right(maxTokens.asInt());
    }

    private Either<Failure, CallSpec> readService(WorkspaceState workspace, Incoming incoming) {
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
                    "calls of " + name + " may not be repeated; send an idempotency-key header"));
        }
        return Either.right(new CallSpec(
                CallSpec.Kind.SERVICE,
                workspace.getName(),
                workspace.getBudget(),
                urgent(workspace, incoming),
                name,
                slash < 0 ? "/" : rest.substring(slash),
                incoming.body(),
                false,
                incoming.idempotencyKey(),
                service.repeatable(),
                service.priceTokens(),
                fingerprint(workspace, incoming)));
    }

    private static String fingerprint(WorkspaceState workspace, Incoming incoming) {
        byte[] head = (workspace.getName() + "\n" + incoming.path() + "\n").getBytes(UTF_8);
        byte[] all = new byte[head.length + incoming.body().length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(incoming.body(), 0, all, head.length, incoming.body().length);
        return DigestUtils.sha256Hex(all);
    }

    private static Failure invalid(String message) {
        return Failure.notRun(ErrorKind.INVALID_REQUEST, message);
    }
}
