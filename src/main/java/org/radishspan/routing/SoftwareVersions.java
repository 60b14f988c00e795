package org.radishspan.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The software versions of the targets of each service: those in service, and those that were lately.
 *
 * <p>A stream that is taken up began at one of them. If there was only one, it is known without a record of the stream.
 */
public final class SoftwareVersions {
    /** How long after its beginning a stream may be taken up: the longest time for which callers wait for an answer. */
    public static final long STREAM_MILLIS = 30_000;

    private static final long ALWAYS = Long.MIN_VALUE / 2;

    /** A version of the targets of one service. */
    private static final class Version {
        boolean inService;
        long knownSinceMillis;
        long inServiceUntilMillis = ALWAYS;

        boolean mayHaveOpenStreams(long nowMillis) {
            return inService || nowMillis - inServiceUntilMillis < STREAM_MILLIS;
        }
    }

    private final TargetTable targets;
    private final long announceMillis;
    private final Map<String, Map<String, Version>> byService = new HashMap<>();
    private long appliedChanges = -1;
    private boolean listed;

    /**
     * Creates the versions of the targets in a table.
     *
     * @param announceMillis the time after which all routers in touch with the store have read a new version
     */
    public SoftwareVersions(TargetTable targets, long announceMillis) {
        this.targets = targets;
        this.announceMillis = announceMillis;
    }

    /**
     * Records that the table is complete for the first time. The versions of that time have been in service before, unless
     * {@link #onEarlier} says otherwise.
     */
    public void onListed(long nowMillis) {
        refresh(nowMillis);
        listed = true;
    }

    /**
     * Records which versions of a service had been in service when this router started.
     *
     * @param inServiceUntilMillis when they were last in service; the present time for those that may still be
     */
    public void onEarlier(String service, Map<String, Long> inServiceUntilMillis, long nowMillis) {
        refresh(nowMillis);
        Map<String, Version> versions = versionsOf(service);
        versions.forEach((name, version) -> {
            if (!inServiceUntilMillis.containsKey(name)) {
                version.knownSinceMillis = Math.max(version.knownSinceMillis, nowMillis);
            }
        });
        inServiceUntilMillis.forEach((name, untilMillis) -> {
            Version version = versions.computeIfAbsent(name, ignored -> new Version());
            version.knownSinceMillis = ALWAYS;
            version.inServiceUntilMillis = Math.max(version.inServiceUntilMillis, untilMillis);
        });
    }

    private Map<String, Version> versionsOf(String service) {
        return byService.computeIfAbsent(service, ignored -> new TreeMap<>());
    }

    private void refresh(long nowMillis) {
        if (appliedChanges == targets.membershipChanges()) {
            return;
        }
        appliedChanges = targets.membershipChanges();
        Map<String, Set<String>> inService = new HashMap<>();
        for (Target target : targets.rows()) {
            if (!target.leaving()) {
                target.serves.forEach(service -> inService
                        .computeIfAbsent(service, ignored -> new HashSet<>())
                        .add(target.softwareVersion));
            }
        }
        inService.forEach((service, names) -> names.forEach(name -> add(service, name, nowMillis)));
        byService.forEach((service, versions) -> versions.forEach((name, version) -> {
            boolean remains = inService.getOrDefault(service, Set.of()).contains(name);
            if (version.inService && !remains) {
                version.inServiceUntilMillis = nowMillis;
            }
            version.inService = remains;
        }));
    }

    private void add(String service, String name, long nowMillis) {
        Map<String, Version> versions = versionsOf(service);
        Version known = versions.get(name);
        boolean returned = known != null && !known.mayHaveOpenStreams(nowMillis);
        if (known == null || returned) {
            Version added = new Version();
            added.inService = true;
            added.knownSinceMillis = listed ? nowMillis : ALWAYS;
            versions.put(name, added);
        }
    }

    /** Returns the services whose versions are known. */
    public Set<String> services(long nowMillis) {
        refresh(nowMillis);
        return Set.copyOf(byService.keySet());
    }

    /** Returns the versions of a service at which streams may have begun that callers can still take up. */
    public Set<String> withOpenStreams(String service, long nowMillis) {
        return untilMillis(service, nowMillis).keySet();
    }

    /** Returns the same versions with the times until which they were in service; the present time for those that still are. */
    public Map<String, Long> untilMillis(String service, long nowMillis) {
        refresh(nowMillis);
        Map<String, Long> result = new TreeMap<>();
        byService.getOrDefault(service, Map.of()).forEach((name, version) -> {
            if (version.mayHaveOpenStreams(nowMillis)) {
                result.put(name, version.inService ? nowMillis : version.inServiceUntilMillis);
            }
        });
        return result;
    }

    /** Returns the versions of a service that are in service. */
    public Set<String> inService(String service, long nowMillis) {
        refresh(nowMillis);
        Set<String> result = new HashSet<>();
        byService.getOrDefault(service, Map.of()).forEach((name, version) -> {
            if (version.inService) {
                result.add(name);
            }
        });
        return result;
    }

    /**
     * Returns whether streams that may be taken up at other routers may begin at a target. They begin at a new version only
     * when all routers have read it, unless no other version is left.
     */
    public boolean mayBegin(Target target, long nowMillis) {
        refresh(nowMillis);
        boolean anyAnnounced = false;
        for (String service : target.serves) {
            Map<String, Version> versions = byService.getOrDefault(service, Map.of());
            Version own = versions.get(target.softwareVersion);
            if (own == null || isAnnounced(own, nowMillis)) {
                return true;
            }
            for (Version version : versions.values()) {
                anyAnnounced |= version.inService && isAnnounced(version, nowMillis);
            }
        }
        return !anyAnnounced;
    }

    private boolean isAnnounced(Version version, long nowMillis) {
        return nowMillis - version.knownSinceMillis >= announceMillis;
    }
}
