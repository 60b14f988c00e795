package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.protobuf.ByteString;
import org.apache.commons.rng.UniformRandomProvider;
import org.radishspan.deployment.VmSettings;
import org.radishspan.http.Json;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.KindChange;
import org.radishspan.proto.KindNews;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.StoreNews;
import org.radishspan.store.KindWatch;
import org.radishspan.store.ObjectKinds;
import org.radishspan.store.StoreEra;

/**
 * Lets one router of a failure domain watch the store on behalf of all routers of that domain.
 *
 * <p>This limits the load on the store. If every router watched, their watches would be the largest part of all calls to the
 * store, and all of them would return the same changes. The router that ranks first by rendezvous hashing is the watcher: it
 * watches with short wait times and forwards changes to the others. They rely on its updates while the store has answered the
 * watcher recently. Otherwise each router watches the store itself, so that no router misses a change because the watcher is
 * dead, slow or cut off.
 */
final class KindFeed {

    /**
     * The intervals of a feed.
     *
     * @param validityMillis how long others rely on the watcher, counted from the store's last answer to the watcher
     * @param waitMillis wait time of the watcher's own watches
     * @param heartbeatMillis interval between the watcher's updates that nothing has changed
     */
    record Pace(long validityMillis, long waitMillis, long heartbeatMillis) {
        /** Returns the intervals for the strictest of the bounds that apply to changes in the store. */
        static Pace of(VmSettings.Bounds bounds, VmSettings.Features features) {
            long limitMillis = Math.min(bounds.drainMillis(), bounds.configApplyMillis());
            return of(features.places() ? Math.min(limitMillis, bounds.evacuationMillis()) : limitMillis);
        }

        /**
         * Returns the intervals for a time within which changes have to take effect. Updates are valid for two thirds of it, so
         * that a third is left for a router's own watch after the last update has expired.
         */
        static Pace of(long limitMillis) {
            long validityMillis = limitMillis * 2 / 3;
            return new Pace(validityMillis, validityMillis * 2 / 5, validityMillis / 4);
        }
    }

    /**
     * Minimum number of routers in a failure domain for one router to watch on behalf of the others. With fewer routers, the
     * updates are no fewer than the calls to the store that they save.
     */
    private static final int MIN_ROUTERS = 4;

    /**
     * Larger changes are not forwarded but read by each router itself, so that they do not saturate the link of the watcher.
     */
    private static final int MAX_FORWARDED_BYTES = 8_192;

    /**
     * Lower bound of the longest back-off. With a longest back-off of this length, a router detects the recovery of the store
     * within 250 ms on average.
     */
    private static final long MIN_LONGEST_BACKOFF_MILLIS = 500;

    /**
     * Maximum rate at which all routers together retry failed calls of one kind. One answered call is enough, because it is
     * reported to the other routers.
     */
    private static final long FLEET_RETRIES_PER_SECOND = 100;

    private static final long MILLIS_PER_SECOND = 1_000;

    /**
     * Longest back-off of a router that receives updates. Its own retries are only a fallback, because the watcher reports
     * when the store has recovered.
     */
    private static final long MAX_RECEIVER_BACKOFF_MILLIS = 1_600;

    /** Interval between two checks of which router is the watcher of the failure domain. */
    private static final long WATCHER_CHECK_MILLIS = 250;

    private final PeerSystem peers;
    private final Pace pace;
    private final EventLog log;
    private final Map<String, KindWatch<?>> watches = new HashMap<>();
    private final Map<String, Long> validityMillisByKind = new HashMap<>();
    private final Map<String, Long> sentRevisions = new HashMap<>();

    /** The kinds of which whole lists are sent instead of changes. */
    private final Map<String, Supplier<Optional<KindNews>>> wholeLists = new HashMap<>();

    private final Map<String, ListBroadcast> broadcasts = new HashMap<>();
    private List<String> domainPeers = List.of();
    /** The VM of the watcher; empty if this router is the watcher, or if every router watches the store itself. */
    private String watcher = "";

    private boolean isWatcher;
    private boolean watcherReportedSilent;
    private long nextWatcherCheckAtMillis;
    private long nextHeartbeatAtMillis;
    private long watcherUpdateAtMillis;
    private long nowMillis;

    KindFeed(PeerSystem peers, Pace pace, EventLog log) {
        this.peers = peers;
        this.pace = pace;
        this.log = log;
    }

    /**
     * Adds the watch of one kind of object. Called once for each kind, before the first tick.
     *
     * @param validityMillis how long this router relies on the watcher, counted from the store's last answer to the watcher
     */
    void add(KindWatch<?> watch, long validityMillis) {
        watches.put(watch.kind(), watch);
        validityMillisByKind.put(watch.kind(), validityMillis);
        watch.setForwarder(new KindWatch.Forwarder() {
            @Override
            public void onChanges(List<ObjectKinds.Change> changes) {
                forward(watch, changes);
            }

            @Override
            public void onListed() {
                sentRevisions.remove(watch.kind());
            }
        });
    }

    /**
     * Adds the watch of a kind of which there are few objects, so that each update contains all of them. An update then also
     * serves routers that have missed earlier ones or have never read a list. Changes are sent to the routers of all failure
     * domains.
     *
     * @param encoder returns the content of an object
     */
    <T> void addWholeList(
            KindWatch<T> watch, long validityMillis, Function<T, JsonNode> encoder, UniformRandomProvider random) {
        watches.put(watch.kind(), watch);
        validityMillisByKind.put(watch.kind(), validityMillis);
        Supplier<Optional<KindNews>> list =
                () -> watch.wholeList(encoder).map(update -> withoutLargeChanges(encode(watch.kind(), update)));
        wholeLists.put(watch.kind(), list);
        ListBroadcast broadcast = new ListBroadcast(peers, random, list);
        broadcasts.put(watch.kind(), broadcast);
        watch.setForwarder(new KindWatch.Forwarder() {
            private boolean listedBefore;

            @Override
            public void onChanges(List<ObjectKinds.Change> changes) {
                broadcast.onChanged(watcher.isEmpty(), nowMillis);
            }

            @Override
            public void onListed() {
                // A starting router has nothing to tell the others; they have read the list themselves.
                if (listedBefore) {
                    broadcast.onChanged(false, nowMillis);
                }
                listedBefore = true;
            }
        });
    }

    /** Sends the whole lists to a router that has connected. */
    void onConnected(String vm) {
        broadcasts.values().forEach(broadcast -> broadcast.onConnected(vm));
    }

    /**
     * Returns the wait time of a watch of this router in milliseconds. The watcher waits no longer than its short wait time;
     * any other router waits {@code defaultMillis}.
     */
    long waitMillis(long defaultMillis) {
        return isWatcher ? Math.min(pace.waitMillis(), defaultMillis) : defaultMillis;
    }

    /** Returns the longest back-off of a watch after a failed call, in milliseconds. The mean back-off is half of it. */
    long maxBackoffMillis() {
        return Math.max(watcher.isEmpty() ? 0 : MAX_RECEIVER_BACKOFF_MILLIS, fleetBackoffMillis());
    }

    /**
     * Returns the longest back-off of any failed call to the store, in milliseconds. It grows with the number of routers to
     * keep the retry rate of the fleet within its limit. The mean back-off is half of it.
     */
    long fleetBackoffMillis() {
        long routers = 1 + peers.table().rows().size();
        return Math.max(MIN_LONGEST_BACKOFF_MILLIS, 2 * routers * MILLIS_PER_SECOND / FLEET_RETRIES_PER_SECOND);
    }

    /**
     * Determines the watcher of the failure domain. If its updates have stopped, reports it to the peer system as
     * unresponsive. If this router is the watcher, sends an update when one is due.
     */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (nowMillis >= nextWatcherCheckAtMillis) {
            nextWatcherCheckAtMillis = nowMillis + WATCHER_CHECK_MILLIS;
            updateWatcher();
        }
        if (isWatcher && nowMillis >= nextHeartbeatAtMillis) {
            sendHeartbeat();
        }
        broadcasts.values().forEach(broadcast -> broadcast.tick(nowMillis));
    }

    private void updateWatcher() {
        String previousWatcher = watcher;
        domainPeers = peers.table().othersOfDomain();
        boolean largeEnough = domainPeers.size() >= MIN_ROUTERS - 1;
        watcher = largeEnough ? peers.table().watcherOfDomain() : "";
        isWatcher = largeEnough && watcher.isEmpty();
        if (!isWatcher) {
            sentRevisions.clear();
        }
        if (!watcher.equals(previousWatcher)) {
            watcherUpdateAtMillis = nowMillis;
            watcherReportedSilent = false;
            log.belief("store_watcher")
                    .with("vm", watcher)
                    .with("self", isWatcher)
                    .write();
        }
        boolean silent = !watcher.isEmpty() && nowMillis - watcherUpdateAtMillis >= pace.validityMillis();
        if (silent && !watcherReportedSilent) {
            watcherReportedSilent = true;
            watches.values().forEach(KindWatch::endCoverage);
            peers.onRequestTimeout(watcher);
            log.belief("store_watcher_silent")
                    .with("vm", watcher)
                    .with("quiet_ms", nowMillis - watcherUpdateAtMillis)
                    .write();
        }
    }

    private void sendHeartbeat() {
        nextHeartbeatAtMillis = nowMillis + pace.heartbeatMillis();
        StoreNews.Builder update = StoreNews.newBuilder();
        for (KindWatch<?> watch : watches.values()) {
            if (!wholeLists.containsKey(watch.kind())) {
                update.addKinds(encode(watch, List.of()));
            }
        }
        wholeLists.values().forEach(list -> list.get().ifPresent(update::addKinds));
        send(update);
    }

    private void forward(KindWatch<?> watch, List<ObjectKinds.Change> changes) {
        if (!isWatcher) {
            return;
        }
        send(StoreNews.newBuilder().addKinds(withoutLargeChanges(encode(watch, changes))));
    }

    private static KindNews withoutLargeChanges(KindNews update) {
        if (update.getSerializedSize() <= MAX_FORWARDED_BYTES) {
            return update;
        }
        // Receivers detect the gap before the revision and read the missing changes from the store.
        return update.toBuilder()
                .clearChanges()
                .setFromRevision(update.getRevision())
                .build();
    }

    private void send(StoreNews.Builder update) {
        PeerMessage message = PeerMessage.newBuilder().setStoreNews(update).build();
        domainPeers.forEach(vm -> peers.sendTo(vm, message));
    }

    private KindNews encode(KindWatch<?> watch, List<ObjectKinds.Change> changes) {
        Long sentRevision = sentRevisions.put(watch.kind(), watch.revision());
        return encode(watch.kind(), watch.updateSince(sentRevision == null ? watch.revision() : sentRevision, changes));
    }

    private static KindNews encode(String kind, KindWatch.Update update) {
        KindNews.Builder builder = KindNews.newBuilder()
                .setKind(kind)
                .setFromRevision(update.fromRevision())
                .setRevision(update.revision())
                .setAnsweredAgoMillis(update.answeredAgoMillis())
                .setFailedAgoMillis(update.outageAgoMillis());
        if (update.era() != StoreEra.UNKNOWN) {
            builder.setEra(update.era());
        }
        update.changes()
                .forEach(change -> builder.addChanges(KindChange.newBuilder()
                        .setName(change.entry().name())
                        .setContent(
                                ByteString.copyFromUtf8(change.entry().content().toString()))
                        .setDeleted(change.deleted())));
        return builder.build();
    }

    /**
     * Applies an update from another router. Unknown kinds are ignored. If this router is the watcher, all changes are
     * ignored.
     */
    void onUpdate(String vm, StoreNews update) {
        if (vm.equals(watcher)) {
            watcherUpdateAtMillis = nowMillis;
            watcherReportedSilent = false;
        }
        for (KindNews kind : update.getKindsList()) {
            KindWatch<?> watch = watches.get(kind.getKind());
            if (watch == null) {
                continue;
            }
            KindWatch.Update decoded = decode(kind);
            ListBroadcast broadcast = broadcasts.get(kind.getKind());
            if (broadcast != null && decoded.whole()) {
                // Even the watcher needs the list if its own calls to the store fail.
                watch.onWholeList(decoded, nowMillis);
                broadcast.onReceived(decoded.revision());
            }
            if (!isWatcher) {
                watch.onUpdate(
                        decoded, validityMillisByKind.getOrDefault(kind.getKind(), pace.validityMillis()), nowMillis);
            }
        }
    }

    private static KindWatch.Update decode(KindNews update) {
        List<ObjectKinds.Change> changes = new ArrayList<>();
        for (KindChange change : update.getChangesList()) {
            JsonNode content = Json.parseObject(change.getContent().toByteArray())
                    .<JsonNode>map(object -> object)
                    .orElse(MissingNode.getInstance());
            changes.add(new ObjectKinds.Change(new ObjectKinds.Entry(change.getName(), content), change.getDeleted()));
        }
        return new KindWatch.Update(
                update.hasEra() ? update.getEra() : StoreEra.UNKNOWN,
                update.getFromRevision(),
                update.getRevision(),
                changes,
                Math.max(0, update.getAnsweredAgoMillis()),
                Math.max(0, update.getFailedAgoMillis()));
    }
}
