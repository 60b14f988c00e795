package org.radishspan.settings;

import java.util.List;
import java.util.Map;

import org.radishspan.request.CallReader;
import org.radishspan.router.RouterSettings;
import org.radishspan.router.RouterSettingsReader;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests reading of valid settings files and the faults reported for invalid ones. */
public class SettingsReaderTest {
    private static final String VALID = String.join(
            "\n",
            "[vm]",
            "name = edge-1",
            "failure_domain = tacna",
            "[caller]",
            "host = 127.0.0.1",
            "port = 7001",
            "[operator]",
            "host = 127.0.0.1",
            "port = 7002",
            "key = k",
            "[peer]",
            "host = 127.0.0.1",
            "port = 7003",
            "secret = s",
            "[platform]",
            "host = 127.0.0.1",
            "port = 7000",
            "[service.log-entries]",
            "repeatable = no",
            "price_tokens = 5",
            "");

    private static List<String> faults(String text) {
        return RouterSettingsReader.read(text).getLeft().stream()
                .map(SettingFault::toString)
                .toList();
    }

    @Test
    public void readsAValidFile() {
        RouterSettings settings = RouterSettingsReader.read(VALID).get();
        assertEquals(settings.vm(), "edge-1");
        assertEquals(settings.platform().port(), 7_000);
        assertEquals(settings.services(), Map.of("log-entries", new CallReader.ServiceSpec(false, 5)));
    }

    @Test
    public void suggestsTheClosestKey() {
        List<String> faults = faults(VALID.replace("failure_domain", "failure_domian"));
        assertTrue(
                faults.contains("line 3: [vm] failure_domian: no such key; did you mean failure_domain?"),
                faults.toString());
    }

    @Test
    public void reportsEveryFaultAtOnceWithItsLine() {
        List<String> faults = faults(VALID.replace("port = 7001", "port = 70010")
                .replace("repeatable = no", "repeatable = maybe")
                .replace("secret = s", "secrett = s"));
        assertEquals(faults.size(), 4, faults.toString());
        assertTrue(
                faults.get(0).startsWith("line 6: [caller] port: must be a whole number from 0 to 65535"),
                faults.get(0));
    }

    @Test
    public void rejectsAKeyThatIsSetTwice() {
        List<String> faults = faults(VALID.replace("name = edge-1", "name = edge-1\nname = edge-2"));
        assertTrue(faults.get(0).contains("is set twice"), faults.toString());
    }
}
