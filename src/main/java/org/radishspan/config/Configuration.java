package org.radishspan.config;

import java.util.function.Function;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.proto.AuditState;
import org.radishspan.proto.ConfigurationState;
import org.radishspan.proto.PresetState;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.store.SharedObject.Codec;
import org.radishspan.store.SharedObject.Mutation;

/**
 * Creates the idempotent mutations of the configuration object.
 *
 * <p>Each accepted change increments the revision by one and adds an audit entry in the same conditional update. A command
 * that is repeated with the same operation id changes nothing.
 */
public final class Configuration {
    /** The key of the configuration object. */
    public static final String KEY = "config/main";

    /** Decodes and encodes the configuration object. */
    public static final Codec<ConfigurationState> CODEC =
            new Codec<>(Configuration::decode, ConfigurationState::toByteArray);

    /** Older audit entries are removed from the configuration object. */
    private static final int MAX_AUDIT_ENTRIES = 1_000;

    private Configuration() {}

    /**
     * Describes who requested a change, and its precondition.
     *
     * @param actor the name of the operator
     * @param operationId the idempotency key, which is the same for each repetition of one command
     * @param atMillis when the change was requested
     * @param expectedRevision the revision that the operator's change is based on; null to accept any
     */
    public record Change(
            String actor,
            String operationId,
            long atMillis,
            @Nullable Long expectedRevision) {}

    /** Returns a mutation that creates a workspace, or replaces its budget, priority class and key. */
    public static Mutation<ConfigurationState> putWorkspace(WorkspaceState workspace, Change change) {
        return change("workspace put " + workspace.getName(), change, state -> {
            WorkspaceState before = state.getWorkspacesMap().get(workspace.getName());
            return Either.right(new Edit(
                    state.toBuilder().putWorkspaces(workspace.getName(), workspace),
                    before == null ? "" : describe(before),
                    describe(workspace)));
        });
    }

    /** Returns a mutation that creates a preset or replaces its settings. */
    public static Mutation<ConfigurationState> putPreset(PresetState preset, Change change) {
        return change("preset put " + preset.getName(), change, state -> {
            PresetState before = state.getPresetsMap().get(preset.getName());
            return Either.right(new Edit(
                    state.toBuilder().putPresets(preset.getName(), preset),
                    before == null ? "" : describe(before),
                    describe(preset)));
        });
    }

    /**
     * Returns a mutation that puts a preset in force. It fails with {@link ErrorKind#NOT_FOUND} if there is none of this
     * name.
     */
    public static Mutation<ConfigurationState> usePreset(String name, Change change) {
        return change("preset use " + name, change, state -> {
            if (!state.containsPresets(name)) {
                return Either.left(Failure.notRun(
                        ErrorKind.NOT_FOUND,
                        "no preset named " + name + "; there are "
                                + String.join(", ", state.getPresetsMap().keySet())));
            }
            return Either.right(new Edit(state.toBuilder().setPresetInForce(name), state.getPresetInForce(), name));
        });
    }

    private record Edit(ConfigurationState.Builder builder, String before, String after) {}

    private static Mutation<ConfigurationState> change(
            String action, Change change, Function<ConfigurationState, Either<Failure, Edit>> edit) {
        return state -> {
            if (applied(state, change.operationId())) {
                return Either.right(state);
            }
            Long expected = change.expectedRevision();
            if (expected != null && expected != state.getRevision()) {
                return Either.left(conflict(state, expected));
            }
            return edit.apply(state).map(edited -> commit(state, action, change, edited));
        };
    }

    private static boolean applied(ConfigurationState state, String operationId) {
        return state.getAuditList().stream()
                .anyMatch(entry -> entry.getOperationId().equals(operationId));
    }

    private static Failure conflict(ConfigurationState state, long expected) {
        String last = "";
        if (state.getAuditCount() > 0) {
            AuditState entry = state.getAudit(state.getAuditCount() - 1);
            last = "; last change: " + entry.getAction() + " by " + entry.getActor();
        }
        return Failure.notRun(
                ErrorKind.CONFLICT, "expected revision " + expected + " but found " + state.getRevision() + last);
    }

    private static ConfigurationState commit(ConfigurationState state, String action, Change change, Edit edit) {
        long revision = state.getRevision() + 1;
        ConfigurationState.Builder builder = edit.builder()
                .setRevision(revision)
                .addAudit(AuditState.newBuilder()
                        .setRevision(revision)
                        .setAtMillis(change.atMillis())
                        .setActor(change.actor())
                        .setOperationId(change.operationId())
                        .setAction(action)
                        .setBefore(edit.before())
                        .setAfter(edit.after()));
        while (builder.getAuditCount() > MAX_AUDIT_ENTRIES) {
            builder.removeAudit(0);
        }
        return builder.build();
    }

    private static String describe(WorkspaceState workspace) {
        return "budget " + workspace.getBudget() + ", class " + workspace.getPriorityClass();
    }

    private static String describe(PresetState preset) {
        return "urgent_headroom " + preset.getUrgentHeadroom() + ", batch_queue_limit " + preset.getBatchQueueLimit()
                + ", batch_max_wait_millis " + preset.getBatchMaxWaitMillis() + ", share_horizon_millis "
                + preset.getShareHorizonMillis();
    }

    private static ConfigurationState decode(byte[] bytes) {
        try {
            return ConfigurationState.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the content of the configuration object cannot be decoded", e);
        }
    }
}
