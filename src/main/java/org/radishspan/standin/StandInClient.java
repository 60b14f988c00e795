package org.radishspan.standin;

import java.util.Map;

import com.google.common.flogger.FluentLogger;
import org.radishspan.http.HttpClient;
import org.radishspan.http.HttpTransport;
import org.radishspan.membership.LiveList;
import org.radishspan.routing.TargetTable.ListedVm;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Puts a stand-in target into the stand-in platform's list of VMs. */
final class StandInClient {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final long TIMEOUT_MILLIS = 2_000;

    private StandInClient() {}

    static void announce(HttpClient client, String platformHost, int platformPort, ListedVm vm) {
        byte[] body = LiveList.toJson(vm).toString().getBytes(UTF_8);
        client.send(
                new HttpTransport.Request(
                        platformHost, platformPort, "PUT", "/vms/" + vm.name(), Map.of(), body, TIMEOUT_MILLIS),
                new LoggingListener(vm.name()));
    }

    private static final class LoggingListener implements HttpTransport.Listener {
        private final String name;

        LoggingListener(String name) {
            this.name = name;
        }

        @Override
        public void onHead(int status, HttpTransport.Headers headers) {}

        @Override
        public void onBody(byte[] bytes) {}

        @Override
        public void onEnd() {
            LOGGER.atFine().log("%s is in the platform's list", name);
        }

        @Override
        public void onFailure(String message, boolean sent) {
            LOGGER.atWarning().log("%s is not in the platform's list: %s", name, message);
        }
    }
}
