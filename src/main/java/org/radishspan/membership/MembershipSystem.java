package org.radishspan.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.radishspan.error.Failure;
import org.radishspan.http.HttpTransport;
import org.radishspan.http.Json;
import org.radishspan.routing.Target;
import org.radishspan.routing.TargetTable;
import org.radishspan.routing.TargetTable.ListedVm;
import org.radishspan.store.PlatformStore;
import org.radishspan.store.StoredObject;

/**
 * Watches the platform's list of VMs, applies it to the table of targets, and requests load reports from the targets.
 */
public final class MembershipSystem {
    private static final long WATCH_RETRY_MILLIS = 500;
    private static final long PROBE_MILLIS = 250;
    private static final long PROBE_TIMEOUT_MILLIS = 1_000;

    private final PlatformStore store;
    private final HttpTransport transport;
    private final TargetTable targets;
    private final Consumer<List<ListedVm>> onRouters;
    private List<ListedVm> listed = List.of();
    private long lastVersion;
    private boolean watching;
    private long nextWatchAtMillis;
    private long nowMillis;

    /** Creates the system; {@code onRouters} receives the listed routers at each change. */
    public MembershipSystem(
            PlatformStore store, HttpTransport transport, TargetTable targets, Consumer<List<ListedVm>> onRouters) {
        this.store = store;
        this.transport = transport;
        this.targets = targets;
        this.onRouters = onRouters;
    }

    /** Returns the list last received; empty before the first one. */
    public List<ListedVm> listed() {
        return listed;
    }

    /** Restarts the watch when it has ended, and requests the load reports that are due. */
    public void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (!watching && tickMillis >= nextWatchAtMillis) {
            watching = true;
            store.watch(LiveList.KEY, lastVersion, this::onWatchReply);
        }
        for (Target target : targets.rows()) {
            probe(target);
        }
    }

    private void onWatchReply(Either<Failure, StoredObject> reply) {
        watching = false;
        if (reply.isLeft()) {
            nextWatchAtMillis = nowMillis + WATCH_RETRY_MILLIS;
            return;
        }
        StoredObject stored = reply.get();
        if (stored.version() <= lastVersion) {
            return;
        }
        lastVersion = stored.version();
        LiveList.parse(stored.value()).ifPresent(this::apply);
    }

    private void apply(List<ListedVm> vms) {
        listed = vms;
        targets.replace(vms);
        List<ListedVm> routers = new ArrayList<>();
        for (ListedVm vm : vms) {
            if (vm.role().equals("router")) {
                routers.add(vm);
            }
        }
        onRouters.accept(routers);
    }

    private void probe(Target target) {
        if (!targets.probeDue(target, nowMillis, PROBE_MILLIS)) {
            return;
        }
        HttpTransport.Request request = new HttpTransport.Request(
                target.host(), target.port(), "GET", "/load", Map.of(), new byte[0], PROBE_TIMEOUT_MILLIS);
        transport.send(request, new LoadListener(target));
    }

    /** Receives the answer to a request for a load report. */
    private final class LoadListener implements HttpTransport.Listener {
        private final Target target;
        private byte[] body = new byte[0];

        LoadListener(Target target) {
            this.target = target;
        }

        @Override
        public void onHead(int status, HttpTransport.Headers headers) {}

        @Override
        public void onBody(byte[] bytes) {
            body = bytes;
        }

        @Override
        public void onEnd() {
            Json.parseObject(body)
                    .ifPresent(report -> targets.onLoad(
                            target,
                            report.path("running").asInt()
                                    + report.path("queued").asInt(),
                            report.path("leaving").asBoolean(false),
                            nowMillis));
        }

        @Override
        public void onFailure(String message, boolean sent) {
            // A target that does not report its load is judged by its answers alone.
        }
    }
}
