package org.radishspan.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Either;
import org.radishspan.deployment.Address;
import org.radishspan.deployment.CrashReport;
import org.radishspan.deployment.DeploymentConfiguration;
import org.radishspan.deployment.Route;
import org.radishspan.deployment.RouteKind;
import org.radishspan.deployment.RouterEntry;
import org.radishspan.deployment.ServiceSpec;
import org.radishspan.deployment.TargetEntry;
import org.radishspan.deployment.VersionReport;
import org.radishspan.deployment.VmSettings;
import org.radishspan.http.Json;
import org.radishspan.relay.TargetProtocol.AnswerHead;
import org.radishspan.relay.TargetProtocol.Load;
import org.radishspan.settings.SettingFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests decoding of the platform's settings, configuration, entries and response headers. */
public class CodecsTest {

    private static JsonNode json(String text) {
        return Json.parseObject(text.replace('\'', '"').getBytes(UTF_8)).orElseThrow();
    }

    /** The settings file of a process. */
    public static class Settings {
        private static final String TEXT = """
                {'node_name': 'front-1', 'ip': '10.1.0.19', 'zone': 'a', 'zones': {'a': 'r', 'b': 'r'},
                 'bind': {'front': '10.1.0.19:8740', 'ready': '10.1.0.19:8749'}, 'port_range': [7200, 7215],
                 'heartbeat_ms': 900, 'limits': {'memory_mb': 430, 'max_fds': 4200}, 'unknown': {'x': 1},
                 'bounds': {'grace_s': 8, 'drain_ms': 2000, 'contact_ms': 3000, 'retry_ratio': 0.2,
                            'retry_window_s': 10, 'retry_slack': 52},
                 'platform': {'address': '10.200.1.7:8742', 'form': 'objects', 'writes_per_s': 400,
                              'reads_per_s': 2000, 'value_bytes': 1048576}}
                """;

        private static Either<List<SettingFault>, VmSettings> read(String text) {
            return VmSettingsReader.read(text.replace('\'', '"').getBytes(UTF_8));
        }

        @Test
        public void areReadIntoRecords() {
            VmSettings settings = read(TEXT).get();
            assertEquals(settings.vm(), "front-1");
            assertEquals(settings.callerAddress(), new Address("10.1.0.19", 8740));
            assertEquals(settings.peerPorts().get(0).intValue(), 7200);
            assertEquals(settings.bounds().stopGraceMillis(), 8_000);
            assertEquals(settings.bounds().retrySlack(), 52);
            assertEquals(settings.bounds().targetCheckInMillis(), 900);
            assertEquals(settings.store().fleetWritesPerSecond(), 400);
        }

        @Test
        public void thatNameNoPoliciesSwitchNoFeatureOn() {
            assertEquals(read(TEXT).get().features(), VmSettings.Features.NONE);
            assertEquals(
                    read(TEXT.replace("'unknown'", "'policies': 'places', 'unknown'"))
                            .get()
                            .features(),
                    VmSettings.Features.NONE,
                    "policies that are not a list");
        }

        @Test
        public void switchFeaturesOnByPolicies() {
            VmSettings settings = read(TEXT.replace("'unknown'", "'policies': ['base', 3, 'places'], 'unknown'"))
                    .get();
            assertEquals(settings.features(), new VmSettings.Features(true, false));
            VmSettings other = read(TEXT.replace("'unknown'", "'policies': ['pressure'], 'unknown'"))
                    .get();
            assertEquals(other.features(), new VmSettings.Features(false, true));
            assertEquals(settings.regionsByFailureDomain(), Map.of("a", "r", "b", "r"));
            assertEquals(settings.bounds().evacuationMillis(), 5_000);
        }

        @Test
        public void everyFaultIsReportedWithItsKey() {
            String faults = read(TEXT.replace("10.200.1.7:8742", "nowhere").replace("'zone': 'a',", ""))
                    .getLeft()
                    .toString();
            assertTrue(faults.contains("zone must be a text"), faults);
            assertTrue(faults.contains("platform.address must be IP:PORT, not nowhere"), faults);
        }

        @Test
        public void anUnsupportedFormOfStoreIsRejected() {
            String faults = read(TEXT.replace("'objects'", "'log'")).getLeft().toString();
            assertTrue(faults.contains("platform.form must be objects, not log"), faults);
        }

        @Test
        public void numbersMayHaveFractions() {
            VmSettings settings = read(TEXT.replace("'retry_slack': 52", "'retry_slack': 37.096774193548384")
                            .replace("'drain_ms': 2000", "'drain_ms': 1999.5")
                            .replace("'max_fds': 4200", "'max_fds': 4200.0"))
                    .get();
            assertEquals(settings.bounds().retrySlack(), 37.096774193548384);
            assertEquals(settings.bounds().drainMillis(), 1_999);
            assertEquals(settings.resources().maxDescriptors(), 4_200);
            assertEquals(settings.replacements(), List.of());
        }

        @DataProvider
        public Object[][] numbers() {
            return new Object[][] {
                {"'grace_s': 8"}, {"'drain_ms': 2000"}, {"'contact_ms': 3000"}, {"'retry_ratio': 0.2"},
                {"'retry_window_s': 10"}, {"'retry_slack': 52"}, {"'memory_mb': 430"}, {"'max_fds': 4200"},
                {"'writes_per_s': 400"}, {"'reads_per_s': 2000"}, {"'value_bytes': 1048576"}, {"'heartbeat_ms': 900"}
            };
        }

        @Test(dataProvider = "numbers")
        public void withAnInvalidNumberAreReadWithAReplacement(String setting) {
            String key = setting.substring(0, setting.indexOf(':') + 1);
            for (String usable : List.of("7", "7.5", "null")) {
                assertEquals(
                        read(TEXT.replace(setting, key + usable))
                                .get()
                                .replacements()
                                .size(),
                        key.contains("retry_ratio") && !usable.equals("null") ? 1 : 0,
                        key + usable);
            }
            for (String invalid : List.of("true", "false", "-3", "1e300", "'8'", "[1]", "{'a': 1}")) {
                VmSettings settings = read(TEXT.replace(setting, key + invalid)).get();
                assertEquals(settings.replacements().size(), 1, key + invalid);
                String name = key.substring(1, key.length() - 2);
                assertTrue(
                        settings.replacements().get(0).contains(name + " must be a number"),
                        settings.replacements().get(0));
            }
        }

        @Test
        public void withoutOptionalNumbersAreReadWithDefaults() {
            VmSettings settings = read("""
                    {'node_name': 'front-1', 'ip': '10.1.0.19', 'zone': 'a', 'port_range': [7200, 7215],
                     'bind': {'front': '10.1.0.19:8740', 'ready': '10.1.0.19:8749'}, 'bounds': true,
                     'platform': {'address': '10.200.1.7:8742'}}
                    """).get();
            assertEquals(settings.bounds().stopGraceMillis(), 8_000);
            assertEquals(settings.replacements().size(), 1, "bounds that are not an object are reported");
        }

        @Test
        public void peerPortsAreLimitedToValidPorts() {
            assertEquals(
                    read(TEXT.replace("[7200, 7215]", "[-2147483648, 3]")).get().peerPorts(), List.of(1, 2, 3));
            assertTrue(read(TEXT.replace("[7200, 7215]", "['a', 'b']")).isLeft());
        }

        @Test
        public void anythingOtherThanAnObjectIsRejected() {
            assertTrue(read("[1]").isLeft());
            assertTrue(read("{").isLeft());
        }
    }

    /** The operators' configuration. */
    public static class Configurations {
        private static final String TEXT = """
                {'version': 7, 'routes': [
                  {'name': 'r1', 'host': 'h', 'path_prefix': '/a/', 'kind': 'streaming', 'timeout_ms': 15000,
                   'target_latency_ms': 500, 'priority': 0, 'service': 's', 'max_attempts': 2, 'anonymous': false,
                   'session_affinity': true, 'stream_resume': true, 'gap_aim_ms': 400},
                  {'name': 'r2', 'host': 'h', 'path_prefix': '/a/b/', 'kind': 'unsafe', 'timeout_ms': 800,
                   'split': [{'service': 's', 'weight': 90}, {'service': 't', 'weight': 10}]},
                  {'name': 'r3', 'host': 'h', 'path_prefix': '/c/', 'kind': 'odd', 'timeout_ms': 800, 'service': 's'}],
                 'services': [{'name': 's', 'max_conns': 360, 'engine': {'stride': 3}}, {'name': 't', 'max_conns': 96}],
                 'limits': {'max_header_bytes': 100, 'max_body_bytes': 200, 'header_timeout_ms': 300,
                            'idle_timeout_ms': 400},
                 'tenants': [{'name': 'w', 'api_keys': ['k1', 'k2'], 'priority': 1, 'prepaid': 2796385}]}
                """;

        private static DeploymentConfiguration decoded() {
            return ConfigurationCodec.decode(json(TEXT)).orElseThrow();
        }

        @Test
        public void theLongestPrefixOfTheHostIsChosen() {
            DeploymentConfiguration configuration = decoded();
            assertEquals(configuration.route("h", "/a/x").orElseThrow().name(), "r1");
            assertEquals(configuration.route("h", "/a/b/x").orElseThrow().name(), "r2");
            assertTrue(configuration.route("h", "/a").isEmpty());
            assertTrue(configuration.route("other", "/a/x").isEmpty());
        }

        @Test
        public void theKindDeterminesWhetherARequestIsRepeatable() {
            Route stream = decoded().route("h", "/a/x").orElseThrow();
            assertEquals(stream.kind(), RouteKind.STREAM);
            assertTrue(stream.repeatable());
            assertFalse(decoded().route("h", "/a/b/x").orElseThrow().repeatable());
        }

        @Test
        public void weightsDetermineTheService() {
            Route split = decoded().route("h", "/a/b/x").orElseThrow();
            assertEquals(split.serviceFor(0.0), "s");
            assertEquals(split.serviceFor(0.89), "s");
            assertEquals(split.serviceFor(0.91), "t");
        }

        @Test
        public void anInvalidRouteIsOmittedAndTheOthersAreKept() {
            assertEquals(decoded().routeCount(), 2);
        }

        @Test
        public void everyKeyIdentifiesItsWorkspace() {
            assertEquals(decoded().workspaceOf("k2").orElseThrow().name(), "w");
            assertEquals(
                    decoded().workspaceOf("k1").orElseThrow().prepaidTokens().getAsLong(), 2_796_385);
            assertTrue(decoded().workspaceOf("k3").isEmpty());
        }

        @Test
        public void servicesThatRunModelsHaveTheTokensOfAnEvent() {
            assertEquals(decoded().service("s").orElseThrow().tokensPerEvent(), 3);
            assertEquals(decoded().service("t").orElseThrow().tokensPerEvent(), 0);
        }

        @Test
        public void servicesHaveTheMemoryAndTheColdRateOfTheirTargets() {
            String text = TEXT.replace("{'stride': 3}", "{'stride': 3, 'kv_capacity': 190867}, 'cold_per_s': 5.2");
            ServiceSpec service = ConfigurationCodec.decode(json(text))
                    .orElseThrow()
                    .service("s")
                    .orElseThrow();
            assertEquals(service.memoryTokens(), 190_867);
            assertEquals(service.coldRequestsPerSecond(), 5.2);
            assertEquals(decoded().service("t").orElseThrow().memoryTokens(), 0);
        }

        @Test
        public void aServiceWithAnUnusableMemoryOrColdRateIsKeptWithoutThem() {
            String text = TEXT.replace("{'stride': 3}", "{'stride': 3, 'kv_capacity': 'much'}, 'cold_per_s': -1");
            ServiceSpec service = ConfigurationCodec.decode(json(text))
                    .orElseThrow()
                    .service("s")
                    .orElseThrow();
            assertEquals(service.memoryTokens(), 0);
            assertEquals(service.coldRequestsPerSecond(), 0.0);
        }

        @Test
        public void routesAndWorkspacesHaveTheirRegions() {
            String text = TEXT.replace("'gap_aim_ms': 400", "'gap_aim_ms': 400, 'allowed_regions': ['r', 'q']")
                    .replace("'prepaid'", "'allowed_regions': ['r'], 'prepaid'");
            DeploymentConfiguration configuration =
                    ConfigurationCodec.decode(json(text)).orElseThrow();
            assertEquals(configuration.route("h", "/a/x").orElseThrow().allowedRegions(), Set.of("r", "q"));
            assertEquals(configuration.workspaceOf("k1").orElseThrow().allowedRegions(), Set.of("r"));
            assertEquals(decoded().route("h", "/a/x").orElseThrow().allowedRegions(), Set.of());
            assertEquals(
                    ConfigurationCodec.decode(json(
                                    TEXT.replace("'gap_aim_ms': 400", "'gap_aim_ms': 400, 'allowed_regions': 'r'")))
                            .orElseThrow()
                            .route("h", "/a/x")
                            .orElseThrow()
                            .allowedRegions(),
                    Set.of(""),
                    "a value that is not a list allows no region");
        }

        @Test
        public void anObjectWithoutAVersionIsRejected() {
            assertTrue(ConfigurationCodec.decode(json("{'routes': []}")).isEmpty());
            assertTrue(ConfigurationCodec.decode(MissingNode.getInstance()).isEmpty());
        }
    }

    /** The entries by which targets register themselves. */
    public static class Targets {
        private static final String TEXT =
                "{'service':'s','address':'10.128.0.9:8080','zone':'a','slots':64,'state':'ready','sequence':4}";

        @Test
        public void areDecodedIntoEntries() {
            TargetEntry entry = TargetCodec.decode(json(TEXT)).orElseThrow();
            assertEquals(entry.address(), new Address("10.128.0.9", 8080));
            assertFalse(entry.draining());
            assertTrue(TargetCodec.decode(json(TEXT.replace("ready", "draining")))
                    .orElseThrow()
                    .draining());
        }

        @DataProvider
        public Object[][] softwareVersions() {
            return new Object[][] {{"", ""}, {",'version':'v2'", "v2"}, {",'version':2", ""}};
        }

        @Test(dataProvider = "softwareVersions")
        public void mayNameTheVersionOfTheirSoftware(String field, String expected) {
            TargetEntry entry =
                    TargetCodec.decode(json(TEXT.replace("}", field + "}"))).orElseThrow();
            assertEquals(entry.softwareVersion(), expected);
        }

        @DataProvider
        public Object[][] coldTimes() {
            return new Object[][] {
                {"", 0L},
                {",'cold_left_ms':2400", 2_400L},
                {",'cold_left_ms':-5", 0L},
                {",'cold_left_ms':'x'", 0L},
                {",'cold_left_ms':1e15", 600_000L}
            };
        }

        @Test(dataProvider = "coldTimes")
        public void haveTheTimeForWhichTheyAreCold(String field, long expectedMillis) {
            TargetEntry entry =
                    TargetCodec.decode(json(TEXT.replace("}", field + "}"))).orElseThrow();
            assertEquals(entry.coldMillis(), expectedMillis);
        }

        @DataProvider
        public Object[][] invalidEntries() {
            return new Object[][] {
                {"{}"},
                {TEXT.replace("'ready'", "'busy'")},
                {TEXT.replace("'ready'", "3")},
                {TEXT.replace("10.128.0.9:8080", "10.128.0.9")},
                {TEXT.replace("'slots':64,", "")},
                {TEXT.replace("64", "'many'")},
                {TEXT.replace("'service':'s'", "'service':null")}
            };
        }

        @Test(dataProvider = "invalidEntries")
        public void thatAreInvalidAreRejected(String text) {
            assertEquals(TargetCodec.decode(json(text)), Optional.empty());
        }
    }

    /** The reports by which routers keep the software versions of targets. */
    public static class SoftwareVersions {
        @Test
        public void areDecodedAsTheyWereEncoded() {
            VersionReport report = new VersionReport(Set.of("v1", ""), Map.of("v0", 1_700_000_000_000L));
            assertEquals(VersionCodec.decode(VersionCodec.encode(report)), Optional.of(report));
        }

        @Test
        public void thatAreInvalidAreRejected() {
            assertEquals(VersionCodec.decode(json("{'versions':[{'version':'v1'}]}")), Optional.empty());
            assertEquals(VersionCodec.decode(json("{'versions':3}")), Optional.empty());
        }
    }

    /** The headers by which targets report their state in responses. */
    public static class ResponseHeaders {
        private static AnswerHead head(int status, String name, String value) {
            return new HttpTargetProtocol()
                    .answerHead(status, requestedName -> requestedName.equalsIgnoreCase(name) ? value : null);
        }

        @Test
        public void reportAnAnnouncedStop() {
            assertTrue(head(200, "Server-Leaving", "1").leaving());
            assertTrue(head(503, "Server-Leaving", " 1 ").leaving());
            assertFalse(head(200, "Server-Leaving", "0").leaving());
            assertFalse(head(200, "Server-Leaving", "soon").leaving());
            assertFalse(head(200, "X-Other", "1").leaving());
        }

        @DataProvider
        public Object[][] loads() {
            return new Object[][] {
                {"3,0,8", Optional.of(new Load(3, 0, 8, OptionalInt.empty()))},
                {"3, 1 ,8,250", Optional.of(new Load(3, 1, 8, OptionalInt.of(250)))},
                {"3,0", Optional.empty()},
                {"3,0,8,100,1", Optional.empty()},
                {"1,".repeat(1_000) + "1", Optional.empty()},
                {"3,0,8,", Optional.empty()},
                {"3,-1,8,100", Optional.empty()},
                {"3,0,8,1e9", Optional.empty()},
                {"3,0,8,99999999999", Optional.empty()},
                {"idle", Optional.empty()}
            };
        }

        @Test(dataProvider = "loads")
        public void reportTheLoad(String value, Optional<Load> expected) {
            assertEquals(head(200, "X-Server-Load", value).load(), expected);
        }

        @DataProvider
        public Object[][] pauses() {
            return new Object[][] {
                {"2", OptionalLong.of(2_000)},
                {" 0.25 ", OptionalLong.of(250)},
                {"0", OptionalLong.of(0)},
                {"0.0001", OptionalLong.of(1)},
                {"999999999", OptionalLong.of(86_400_000)},
                {"-1", OptionalLong.empty()},
                {"", OptionalLong.empty()},
                {"soon", OptionalLong.empty()},
                {"NaN", OptionalLong.empty()},
                {"Fri, 04 Dec 2026 08:00:00 GMT", OptionalLong.empty()}
            };
        }

        @Test(dataProvider = "pauses")
        public void reportARequestedPause(String value, OptionalLong expected) {
            assertEquals(head(503, "Retry-After", value).pauseMillis(), expected);
            assertEquals(head(200, "Retry-After", value).pauseMillis(), OptionalLong.empty(), "only with a refusal");
        }

        @DataProvider
        public Object[][] rateLimits() {
            return new Object[][] {
                {"1", OptionalDouble.of(1)},
                {" 2.5 ", OptionalDouble.of(2.5)},
                {"0", OptionalDouble.of(0)},
                {"0.125", OptionalDouble.of(0.125)},
                {"-1", OptionalDouble.empty()},
                {"", OptionalDouble.empty()},
                {"few", OptionalDouble.empty()},
                {"NaN", OptionalDouble.empty()},
                {"1/s", OptionalDouble.empty()}
            };
        }

        @Test(dataProvider = "rateLimits")
        public void reportARateLimit(String value, OptionalDouble expected) {
            assertEquals(head(200, "Server-Limit", value).requestsPerSecond(), expected);
            assertEquals(head(503, "server-limit", value).requestsPerSecond(), expected);
        }
    }

    /** The entries by which routers register themselves. */
    public static class Routers {
        @Test
        public void areDecodedAsTheyWereEncoded() {
            RouterEntry entry = new RouterEntry("vm", "vm-1", new Address("10.0.0.1", 7200), "a");
            assertEquals(RouterCodec.decode(RouterCodec.encode(entry)), Optional.of(entry));
            assertTrue(RouterCodec.decode(json("{'vm': 'x'}")).isEmpty());
        }

        @Test
        public void ofCrashesAreReadBackAndInvalidOnesSkipped() {
            CrashReport report = new CrashReport(Map.of("part/s/p", Map.of("t1", 1_700_000_000_000L, "t2", 5L)));
            assertEquals(CrashCodec.decode(CrashCodec.encode(report)), Optional.of(report));
            assertTrue(CrashCodec.decode(json("{'crashes': [{'fingerprint': 'f', 'target': 't'}]}"))
                    .isEmpty());
            assertTrue(CrashCodec.decode(json("{'crashes': 3}")).isEmpty());
        }
    }
}
