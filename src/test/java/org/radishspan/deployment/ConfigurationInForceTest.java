package org.radishspan.deployment;

import java.util.ArrayList;
import java.util.List;

import org.radishspan.log.EventLog;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests that the configuration in force is never replaced by an older version. */
public class ConfigurationInForceTest {

    private static DeploymentConfiguration version(long version) {
        return new DeploymentConfiguration(version, List.of(), List.of(), CallerLimits.DEFAULT, List.of());
    }

    @Test
    public void onlyLaterVersionsAreAdopted() {
        List<Long> adopted = new ArrayList<>();
        ConfigurationInForce configuration =
                new ConfigurationInForce("main", EventLog.silent(), received -> adopted.add(received.version()));
        for (long version : new long[] {4, 9, 7, 9, 12, 4}) {
            configuration.onPresent("main", version(version));
        }
        assertEquals(adopted, List.of(4L, 9L, 12L));
    }

    @Test
    public void anObjectOfAnotherNameOrAMissingOneChangesNothing() {
        ConfigurationInForce configuration = new ConfigurationInForce("main", EventLog.silent(), received -> {});
        configuration.onPresent("main", version(4));
        configuration.onPresent("other", version(9));
        configuration.onAbsent("main");
        assertEquals(configuration.version(), 4);
    }
}
