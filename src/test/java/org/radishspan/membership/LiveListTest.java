package org.radishspan.membership;

import java.util.List;

import org.radishspan.routing.TargetTable.ListedVm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests how the platform's list of VMs is read. */
public class LiveListTest {
    private static final String SOUND = "{\"name\":\"engine-1\",\"role\":\"engine\",\"host\":\"127.0.0.1\",\"port\":80,"
            + "\"failure_domain\":\"a\",\"leaving\":false,\"serves\":[\"m\"]}";

    @DataProvider
    public Object[][] oddEntries() {
        return new Object[][] {
            {SOUND.replace("\"m\"", "[".repeat(100) + "]".repeat(100))},
            {SOUND.replace("80", "9".repeat(1_500))},
            {SOUND.replace("80", "70000")},
            {SOUND.replace("80", "-1")},
            {SOUND.replace("\"127.0.0.1\"", "null")},
            {SOUND.replace("\"engine-1\"", "[]")},
            {"null"},
            {"[]"},
        };
    }

    /** One entry that could not be parsed hid all VMs, and a port out of range ended each tick with an exception. */
    @Test(dataProvider = "oddEntries")
    public void oddEntriesAreSkipped(String odd) {
        String list = "{\"vms\":[" + odd + "," + SOUND.replace("engine-1", "engine-2") + "]}";
        List<String> names = LiveList.parse(list.getBytes(UTF_8)).orElseThrow().stream()
                .map(ListedVm::name)
                .toList();
        assertEquals(names, List.of("engine-2"));
    }

    @Test
    public void listsThatAreNotJsonAreIgnored() {
        assertTrue(LiveList.parse("{\"vms\":[".getBytes(UTF_8)).isEmpty());
        assertTrue(LiveList.parse(new byte[0]).isEmpty());
    }
}
