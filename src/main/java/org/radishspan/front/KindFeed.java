package org.radishspan.front;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.protobuf.ByteString;
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

/**
 * Lets one router of a failure domain watch the store for all of them.
 *
 * <p>Answers the load of many routers: watches of each are the largest part of all calls to the store, and tell all the same.
 * The first router by rendezvous hashing watches with short waits and passes on what it hears. The others take its word for
 * as long as the store has answered it lately; else each one watches by itself, so that a router that is dead, slow or cut
 * off makes no other one miss a change.
 */
final class KindFeed {

    /**
     * The times of a feed.
     *
     * @param trustMillis for how long after an answer of the store the word of another router is taken
     * @param waitMillis how long the watches of the router wait that watches for others
     * @param beatMillis how often it tells that nothing has changed
     */
    record Pace(long trustMillis, long waitMillis, long beatMillis) {
        /** A third of the strictest time limit is left for a watch of one's own after the trust has ended. */
        static Pace of(VmSettings.Bounds bounds) {
            long limitMillis = Math.min(bounds.drainMillis(), bounds.configApplyMillis());
            long trustMillis = limitMillis * 2 / 3;
            return new Pace(trustMillis, trustMillis * 2 / 5, trustMillis / 4);
        }
    }

    /** In a smaller failure domain the messages are no fewer than the calls that they save. */
    private static final int LEAST_ROUTERS = 4;

    /** Larger changes are read by each router itself, so that they do not fill the link of the one that watches. */
    private static final int MAX_PASSED_BYTES = 8_192;

    /** A store that was away is noticed to be back within a quarter of a second on average. */
    private static final long MAX_BACKOFF_MILLIS = 500;

    /** What all routers together may repeat of calls of one kind that failed; the first answer is told to the others. */
    private static final long FLEET_RETRIES_PER_SECOND = 100;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** A router that others tell when the store is back asks by itself only to be sure. */
    private static final long MAX_LISTENER_BACKOFF_MILLIS = 1_600;

    /** How often a router looks who watches for its failure domain. */
    private static final long LOOK_MILLIS = 250;

    private final PeerSystem peers;
    private final Pace pace;
    private final EventLog log;
    private final Map<String, KindWatch<?>> watches = new HashMap<>();
    private final Map<String, Long> trusts = new HashMap<>();
    private final Map<String, Long> sentRevisions = new HashMap<>();
    private List<String> others = List.of();
    private String watcher = "";
    private boolean leading;
    private boolean watcherBlamed;
    private long lookAtMillis;
    private long beatAtMillis;
    private long heardAtMillis;
    private long nowMillis;

    KindFeed(PeerSystem peers, Pace pace, EventLog log) {
        this.peers = peers;
        this.pace = pace;
        this.log = log;
    }

    /**
     * Adds a view.
     *
     * @param trustMillis for how long after an answer of the store the word of another router is taken
     */
    void add(KindWatch<?> watch, long trustMillis) {
        watches.put(watch.kind(), watch);
        trusts.put(watch.kind(), trustMillis);
        watch.setTap(new KindWatch.Tap() {
            @Override
            public void onChanges(List<ObjectKinds.Change> changes) {
                passOn(watch, changes);
            }

            @Override
            public void onListed() {
                sentRevisions.remove(watch.kind());
            }
        });
    }

    /** Returns how long a watch of this router waits that would wait for {@code usualMillis} if it were alone. */
    long waitMillis(long usualMillis) {
        return leading ? Math.min(pace.waitMillis(), usualMillis) : usualMillis;
    }

    /** Returns how long a watch waits at most before it calls a store again that failed; half of it on average. */
    long maxBackoffMillis() {
        return Math.max(watcher.isEmpty() ? 0 : MAX_LISTENER_BACKOFF_MILLIS, fleetBackoffMillis());
    }

    /** Returns how long any call of a store that failed waits at most before it is repeated; half of it on average. */
    long fleetBackoffMillis() {
        long routers = 1 + peers.table().rows().size();
        return Math.max(MAX_BACKOFF_MILLIS, 2 * routers * MILLIS_PER_SECOND / FLEET_RETRIES_PER_SECOND);
    }

    /** Passes on that the store answers, or gives up a router that no longer does. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        if (nowMillis >= lookAtMillis) {
            lookAtMillis = nowMillis + LOOK_MILLIS;
            look();
        }
        if (leading && nowMillis >= beatAtMillis) {
            beat();
        }
    }

    private void look() {
        String before = watcher;
        others = peers.table().othersOfDomain();
        boolean many = others.size() >= LEAST_ROUTERS - 1;
        watcher = many ? peers.table().watcherOfDomain() : "";
        leading = many && watcher.isEmpty();
        if (!leading) {
            sentRevisions.clear();
        }
        if (!watcher.equals(before)) {
            heardAtMillis = nowMillis;
            watcherBlamed = false;
            log.belief("store_watcher")
                    .with("vm", watcher)
                    .with("self", leading)
                    .write();
        }
        boolean silent = !watcher.isEmpty() && nowMillis - heardAtMillis >= pace.trustMillis();
        if (silent && !watcherBlamed) {
            watcherBlamed = true;
            peers.onUnanswered(watcher);
            log.belief("store_watcher_silent")
                    .with("vm", watcher)
                    .with("quiet_ms", nowMillis - heardAtMillis)
                    .write();
        }
    }

    private void beat() {
        beatAtMillis = nowMillis + pace.beatMillis();
        StoreNews.Builder news = StoreNews.newBuilder();
        for (KindWatch<?> watch : watches.values()) {
            news.addKinds(encode(watch, List.of()));
        }
        send(news);
    }

    private void passOn(KindWatch<?> watch, List<ObjectKinds.Change> changes) {
        if (!leading) {
            return;
        }
        KindNews news = encode(watch, changes);
        if (news.getSerializedSize() > MAX_PASSED_BYTES) {
            // Listeners see a gap before the revision, and read what is missing.
            news = news.toBuilder()
                    .clearChanges()
                    .setFromRevision(news.getRevision())
                    .build();
        }
        send(StoreNews.newBuilder().addKinds(news));
    }

    private void send(StoreNews.Builder news) {
        PeerMessage message = PeerMessage.newBuilder().setStoreNews(news).build();
        others.forEach(vm -> peers.sendTo(vm, message));
    }

    private KindNews encode(KindWatch<?> watch, List<ObjectKinds.Change> changes) {
        Long sentRevision = sentRevisions.put(watch.kind(), watch.revision());
        KindWatch.News news = watch.news(sentRevision == null ? watch.revision() : sentRevision, changes);
        KindNews.Builder builder = KindNews.newBuilder()
                .setKind(watch.kind())
                .setFromRevision(news.fromRevision())
                .setRevision(news.revision())
                .setAnsweredAgoMillis(news.answeredAgoMillis())
                .setFailedAgoMillis(news.failedAgoMillis());
        changes.forEach(change -> builder.addChanges(KindChange.newBuilder()
                .setName(change.entry().name())
                .setContent(ByteString.copyFromUtf8(change.entry().content().toString()))
                .setDeleted(change.deleted())));
        return builder.build();
    }

    /** Takes what another router has heard from the store. */
    void onNews(String vm, StoreNews news) {
        if (vm.equals(watcher)) {
            heardAtMillis = nowMillis;
            watcherBlamed = false;
        }
        for (KindNews kind : news.getKindsList()) {
            KindWatch<?> watch = watches.get(kind.getKind());
            if (watch != null && !leading) {
                watch.onNews(decode(kind), trusts.getOrDefault(kind.getKind(), pace.trustMillis()), nowMillis);
            }
        }
    }

    private static KindWatch.News decode(KindNews news) {
        List<ObjectKinds.Change> changes = new ArrayList<>();
        for (KindChange change : news.getChangesList()) {
            JsonNode content = Json.parseObject(change.getContent().toByteArray())
                    .<JsonNode>map(object -> object)
                    .orElse(MissingNode.getInstance());
            changes.add(new ObjectKinds.Change(new ObjectKinds.Entry(change.getName(), content), change.getDeleted()));
        }
        return new KindWatch.News(
                news.getFromRevision(),
                news.getRevision(),
                changes,
                Math.max(0, news.getAnsweredAgoMillis()),
                Math.max(0, news.getFailedAgoMillis()));
    }
}
