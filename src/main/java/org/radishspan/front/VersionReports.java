package org.radishspan.front;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.vavr.control.Either;
import org.radishspan.deployment.VersionReport;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.radishspan.platform.VersionCodec;
import org.radishspan.routing.SoftwareVersions;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoreEra;

/**
 * Keeps the software versions of targets in the store, for routers that start when the targets of a version have left.
 *
 * <p>Each router reads the reports once, when it starts. One router writes them, whenever a version comes into service or
 * leaves it.
 */
final class VersionReports {
    private static final long RETRY_MILLIS = 500;

    /** Tolerance for clocks that differ between VMs or jump: versions count as in service for this much longer. */
    private static final long CLOCK_TOLERANCE_MILLIS = 10_000;

    private final ObjectKinds kinds;
    private final StoreEra storeEra;
    private final SoftwareVersions versions;
    private final BooleanSupplier isWriter;
    private final LongSupplier unixMillis;
    private final EventLog log;

    /** The reports in the store, as far as this router has read or written them. */
    private final Map<String, VersionReport> stored = new HashMap<>();

    private final Map<String, VersionReport> readPages = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private long era;
    private boolean calling;
    private boolean read;
    private long nextCallAtMillis;
    private long nowMillis;

    /**
     * Creates the reports.
     *
     * @param isWriter returns whether this router writes the reports for all routers
     * @param unixMillis the time of day
     */
    VersionReports(
            ObjectKinds kinds,
            StoreEra storeEra,
            SoftwareVersions versions,
            BooleanSupplier isWriter,
            LongSupplier unixMillis,
            EventLog log) {
        this.kinds = kinds;
        this.storeEra = storeEra;
        this.era = storeEra.current();
        this.versions = versions;
        this.isWriter = isWriter;
        this.unixMillis = unixMillis;
        this.log = log;
    }

    /** Returns whether the versions that were in service before this router started are known. */
    boolean read() {
        return read;
    }

    /** Reads the reports if they have not been read yet; otherwise writes those that have changed. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (storeEra.current() != era) {
            era = storeEra.current();
            // The store may have lost what was written.
            stored.clear();
        }
        if (calling || nowMillis < nextCallAtMillis) {
            return;
        }
        if (!read) {
            calling = true;
            readPages.clear();
            readPage("");
            return;
        }
        if (!isWriter.getAsBoolean()) {
            // Another router may write meanwhile.
            stored.clear();
            return;
        }
        versions.services(nowMillis).forEach(this::writeIfChanged);
    }

    private void readPage(String afterName) {
        kinds.list(VersionCodec.KIND, afterName, this::onPage);
    }

    private void onPage(Either<Failure, ObjectKinds.Page> reply) {
        if (reply.isLeft()) {
            calling = false;
            nextCallAtMillis = nowMillis + RETRY_MILLIS;
            log.belief("software_versions_not_read")
                    .with("reason", reply.getLeft().message())
                    .write();
            return;
        }
        ObjectKinds.Page page = reply.get();
        String lastName = "";
        for (ObjectKinds.Entry entry : page.entries()) {
            Optional<VersionReport> report = VersionCodec.decode(entry.content());
            report.ifPresent(decoded -> readPages.put(entry.name(), decoded));
            lastName = entry.name();
        }
        if (!page.complete() && !lastName.isEmpty()) {
            readPage(lastName);
            return;
        }
        calling = false;
        read = true;
        stored.putAll(readPages);
        readPages.forEach((service, report) -> versions.onEarlier(service, inServiceUntilMillis(report), nowMillis));
        log.belief("software_versions_read").with("services", readPages.size()).write();
    }

    private Map<String, Long> inServiceUntilMillis(VersionReport report) {
        Map<String, Long> result = new TreeMap<>();
        report.inServiceUntilUnixMillis().forEach((version, untilUnixMillis) -> {
            long agoMillis = unixMillis.getAsLong() - untilUnixMillis - CLOCK_TOLERANCE_MILLIS;
            result.put(version, nowMillis - Math.max(0, agoMillis));
        });
        report.inService().forEach(version -> result.put(version, nowMillis));
        return result;
    }

    private VersionReport report(String service) {
        Set<String> inService = versions.inService(service, nowMillis);
        Map<String, Long> untilUnixMillis = new TreeMap<>();
        versions.untilMillis(service, nowMillis).forEach((version, untilMillis) -> {
            if (!inService.contains(version)) {
                untilUnixMillis.put(version, unixMillis.getAsLong() - (nowMillis - untilMillis));
            }
        });
        return new VersionReport(inService, untilUnixMillis);
    }

    private void writeIfChanged(String service) {
        VersionReport report = report(service);
        VersionReport before = stored.get(service);
        boolean onlyForgets = before != null
                && before.inService().equals(report.inService())
                && before.inServiceUntilUnixMillis()
                        .keySet()
                        .containsAll(report.inServiceUntilUnixMillis().keySet());
        if (onlyForgets || !writing.add(service)) {
            return;
        }
        kinds.write(VersionCodec.KIND, service, VersionCodec.encode(report), reply -> {
            writing.remove(service);
            if (reply.isRight()) {
                stored.put(service, report);
                return;
            }
            nextCallAtMillis = nowMillis + RETRY_MILLIS;
            log.belief("software_versions_not_written")
                    .with("service", service)
                    .with("reason", reply.getLeft().message())
                    .write();
        });
    }
}
