package org.radishspan.standin;

import java.util.Map;

import com.google.common.flogger.FluentLogger;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpTransport;
import org.radishspan.membership.LiveList;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Registers stand-in targets in the VM list of the stand-in platform. */
final class StandInClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TIMEOUT_MILLIS = 2_000;

    private StandInClient() {}

    /** Sends the entry of a VM to the platform and logs the result; a failed request is not repeated. */
    static void register(HttpClient client, String platformHost, int platformPort, ListedVm vm) {
        byte[] body = LiveList.toJson(vm).toString().getBytes(UTF_8);
        client.send(
                new HttpTransport.Request(
                        platformHost, platformPort, "PUT", "/vms/" + vm.name(), Map.of(), body, TIMEOUT_MILLIS),
                new LoggingListener(vm.name()));
    }

    private static final class LoggingListener implements HttpTransport.Listener {
        private final String vmName;

        LoggingListener(String vmName) {
            this.vmName = vmName;
        }

        @Override
        public void onHead(int status, HttpTransport.Headers headers) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onEnd() {
            LOGGER.atFine().log("%s is registered in the VM list of the platform", vmName);
        }

        @Override
        public void onFailure(String message, boolean sent) {
            LOGGER.atWarning().log("%s could not be registered in the VM list of the platform: %s", vmName, message);
        }
    }
}
