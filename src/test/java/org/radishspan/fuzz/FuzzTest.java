package org.radishspan.fuzz;

import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.text.RandomStringGenerator;
import org.radishspan.deployment.VmSettings;
import org.radishspan.error.Failure;
import org.radishspan.membership.LiveList;
import org.radishspan.platform.VmSettingsReader;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.WorkspaceState;
import org.radishspan.request.CallReader;
import org.radishspan.request.CallSpec;
import org.radishspan.router.RouterSettings;
import org.radishspan.router.RouterSettingsReader;
import org.radishspan.settings.SettingFault;
import org.radishspan.virtual.VirtualFleet;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that every parser of outside input returns a value or a typed fault for random input, and throws no exception. */
public class FuzzTest {
    private static final int ROUNDS = 3_000;
    private static final int MAX_LENGTH = 120;
    private static final String SETTINGS_FILE = "[vm]\nname = a\nfailure_domain = b\n[caller]\nhost = h\nport = 1\n";
    private static final String PLATFORM_SETTINGS = """
            {"node_name":"a","ip":"10.0.0.1","zone":"z","zones":{"z":"r"},"port_range":[7200,7215],
             "bind":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"bounds":{"retry_slack":1.5},
             "platform":{"address":"10.0.0.2:3","form":"objects"}}
            """;
    private static final String CHAT =
            "{\"model\":\"m\",\"max_tokens\":5,\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

    private final UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(17);
    private final RandomStringGenerator randomText = new RandomStringGenerator.Builder()
            .withinRange(new char[] {'\n', '\n'}, new char[] {' ', '~'}, new char[] {'\u00a0', '\u00ff'})
            .usingRandom((IntUnaryOperator) random::nextInt)
            .get();

    /** Returns a text of which a random section is replaced by random characters. */
    private String mutate(String text) {
        int from = random.nextInt(text.length());
        int to = from + random.nextInt(text.length() - from);
        return text.substring(0, from) + randomText.generate(random.nextInt(MAX_LENGTH)) + text.substring(to);
    }

    @Test
    public void settingsFilesGiveFaultsOrSettings() {
        int faulty = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Either<List<SettingFault>, RouterSettings> result = RouterSettingsReader.read(mutate(SETTINGS_FILE));
            if (result.isLeft()) {
                faulty++;
                assertFalse(result.getLeft().isEmpty());
            }
        }
        assertEquals(faulty, ROUNDS, "the unmutated text already lacks required settings");
    }

    @Test
    public void platformSettingsGiveFaultsOrSettings() {
        int valid = 0;
        for (int i = 0; i < ROUNDS; i++) {
            Either<List<SettingFault>, VmSettings> result =
                    VmSettingsReader.read(mutate(PLATFORM_SETTINGS).getBytes(UTF_8));
            valid += result.isRight() ? 1 : 0;
            assertTrue(result.isRight() || !result.getLeft().isEmpty());
        }
        assertTrue(valid < ROUNDS, "some mutated texts lack required settings");
    }

    @Test
    public void bodiesGiveCallsOrRefusals() {
        CallReader reader = new CallReader(new CallReader.Limits(100, 10), Map.of());
        WorkspaceState workspace = WorkspaceState.newBuilder().setName("w").build();
        int refused = 0;
        for (int i = 0; i < ROUNDS; i++) {
            byte[] body = mutate(CHAT).getBytes(UTF_8);
            Either<Failure, CallSpec> result =
                    reader.read(workspace, new CallReader.IncomingCall(CallReader.CHAT_PATH, body, null, null));
            if (result.isLeft()) {
                refused++;
                assertEquals(result.getLeft().ran(), Failure.Ran.NO);
            } else {
                assertTrue(result.get().worstCaseTokens() > 0);
            }
        }
        assertTrue(refused > ROUNDS / 2, "most mutated bodies are refused: " + refused);
    }

    @Test
    public void listsOfVmsGiveEntriesOrNothing() {
        int read = 0;
        for (int i = 0; i < ROUNDS; i++) {
            byte[] bytes = mutate("{\"vms\":[{\"name\":\"a\",\"port\":1,\"serves\":[\"m\"]}]}")
                    .getBytes(UTF_8);
            read += LiveList.parse(bytes).isPresent() ? 1 : 0;
        }
        assertTrue(read < ROUNDS, "some mutated texts are not VM lists");
    }

    @Test
    public void aRouterKeepsRunningAfterRandomPeerMessages() {
        VirtualFleet fleet = VirtualFleet.builder().routers(2).seed(5).build();
        fleet.runStartup();
        int parsed = 0;
        for (int i = 0; i < ROUNDS * 10; i++) {
            byte[] bytes = new byte[1 + random.nextInt(24)];
            random.nextBytes(bytes);
            // The first byte is a protobuf tag: a field number, which selects the kind of message, and wire type 2,
            // which
            // a length follows.
            bytes[0] = (byte) ((1 + random.nextInt(9)) << 3 | 2);
            if (bytes.length > 1) {
                bytes[1] = (byte) (bytes.length - 2);
            }
            try {
                PeerMessage message = PeerMessage.parseFrom(bytes);
                fleet.node(0).router().onPeerMessage("router-1", message);
                parsed++;
            } catch (InvalidProtocolBufferException e) {
                continue;
            }
        }
        fleet.run(5_000);
        assertTrue(parsed > 100, "some random messages parse: " + parsed);
        assertEquals(fleet.node(0).router().configuration().inForce().getRevision(), 1);
    }
}
