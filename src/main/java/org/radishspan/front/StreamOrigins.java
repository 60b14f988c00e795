package org.radishspan.front;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.vavr.control.Either;
import org.apache.commons.codec.digest.MurmurHash3;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.log.EventLog;
import org.radishspan.peer.PeerSystem;
import org.radishspan.proto.FindStream;
import org.radishspan.proto.PeerMessage;
import org.radishspan.proto.StreamFound;
import org.radishspan.proto.StreamGroup;
import org.radishspan.proto.StreamsBegun;
import org.radishspan.relay.StreamVersions;
import org.radishspan.routing.SoftwareVersions;
import org.radishspan.routing.Target;

import static java.nio.charset.StandardCharsets.UTF_8;

/**
 * Records at which software version each stream began, and finds that of streams that callers take up at this router.
 *
 * <p>While a service has one version, nothing is sent. Otherwise each stream is reported to its keepers, which all routers
 * choose by the same hash. A router without a record of a stream queries the keepers. A stream without any record is refused.
 */
final class StreamOrigins implements StreamVersions {
    /** The number of routers that keep the version of a stream, of which one may end together with the sender. */
    static final int KEEPERS = 2;

    /** Maximum number of other routers in a deployment in which all of them are queried. */
    private static final int MAX_QUERIED = 16;

    /** Maximum number of recorded streams: those of 30 s at a router of the size expected in two years, with those kept for others. */
    private static final int MAX_STREAMS = 16_384;

    /** Maximum number of queries to other routers at a time; further ones are answered as not known. */
    private static final int MAX_SEARCHES = 1_024;

    /** Interval between two messages to a keeper. A stream whose router ends within it may not be taken up. */
    private static final long SEND_MILLIS = 50;

    /** Time-out of a query to the keepers; they answer in a few milliseconds unless they are short of processor time. */
    private static final long SEARCH_MILLIS = 400;

    /** Retry-After for a stream of which a router that did not answer may have a record. */
    private static final long RETRY_MILLIS = 500;

    private record Origin(String service, String softwareVersion, long atMillis, boolean own) {}

    private record GroupKey(String keeper, String service, String softwareVersion) {}

    private static final class Search {
        final long stream;
        final String service;
        final long untilMillis;
        final Consumer<Either<Failure, String>> reply;
        int unanswered;

        Search(long stream, String service, long untilMillis, Consumer<Either<Failure, String>> reply) {
            this.stream = stream;
            this.service = service;
            this.untilMillis = untilMillis;
            this.reply = reply;
        }
    }

    private final String vm;
    private final PeerSystem peers;
    private final SoftwareVersions versions;
    private final BooleanSupplier versionsComplete;
    private final EventLog log;
    private final Counter searches;
    private final Counter unknown;

    /** The known streams, the one recorded first in front. */
    private final Map<Long, Origin> origins = new LinkedHashMap<>();

    private final Map<GroupKey, Set<Long>> unsent = new HashMap<>();
    private final Set<String> announcedServices = new HashSet<>();
    private final Map<Long, Search> pending = new LinkedHashMap<>();
    private long searchCount;
    private long nextSendAtMillis;
    private long nowMillis;

    /**
     * Creates the records of a router.
     *
     * @param versionsComplete returns whether {@code versions} has every version at which a stream may have begun
     */
    StreamOrigins(
            String vm,
            PeerSystem peers,
            SoftwareVersions versions,
            BooleanSupplier versionsComplete,
            EventLog log,
            MeterRegistry meters) {
        this.vm = vm;
        this.peers = peers;
        this.versions = versions;
        this.versionsComplete = versionsComplete;
        this.log = log;
        this.searches = Counter.builder("radishspan.streams.searches").register(meters);
        this.unknown = Counter.builder("radishspan.streams.unknown").register(meters);
        Gauge.builder("radishspan.streams.known", origins, Map::size).register(meters);
    }

    private static long hash(String streamId) {
        return MurmurHash3.hash128x64(streamId.getBytes(UTF_8))[0];
    }

    @Override
    public boolean mayBegin(Target target, long atMillis) {
        return versions.mayBegin(target, atMillis);
    }

    @Override
    public void onBegun(String service, String streamId, String softwareVersion) {
        long stream = hash(streamId);
        record(stream, new Origin(service, softwareVersion, nowMillis, true));
        if (hasSeveralVersions(service)) {
            notifyKeepers(stream, service, softwareVersion);
        }
    }

    private boolean hasSeveralVersions(String service) {
        return versions.withOpenStreams(service, nowMillis).size() > 1;
    }

    private void record(long stream, Origin origin) {
        origins.remove(stream);
        if (origins.size() >= MAX_STREAMS) {
            origins.remove(origins.keySet().iterator().next());
        }
        origins.put(stream, origin);
    }

    private void notifyKeepers(long stream, String service, String softwareVersion) {
        for (String keeper : keepers(stream)) {
            if (!keeper.equals(vm)) {
                unsent.computeIfAbsent(new GroupKey(keeper, service, softwareVersion), ignored -> new HashSet<>())
                        .add(stream);
            }
        }
    }

    /** Returns the routers that may have a record of a stream: in a small deployment all others, as it may have begun at one. */
    private List<String> queriedFor(long stream) {
        boolean all = peers.table().rows().size() <= MAX_QUERIED;
        List<String> possible = peers.table().firstListed(Long.hashCode(stream), all ? MAX_QUERIED + 1 : KEEPERS);
        return possible.stream().filter(other -> !other.equals(vm)).toList();
    }

    private List<String> keepers(long stream) {
        return peers.table().firstListed(Long.hashCode(stream), KEEPERS);
    }

    @Override
    public void onComplete(String streamId) {
        long stream = hash(streamId);
        Origin origin = origins.get(stream);
        if (origin != null && origin.own()) {
            origins.remove(stream);
        }
    }

    @Override
    public void find(String service, String streamId, Consumer<Either<Failure, String>> reply) {
        long stream = hash(streamId);
        Origin known = origins.get(stream);
        if (known != null) {
            answer(known, service, reply);
            return;
        }
        Set<String> possible = versions.withOpenStreams(service, nowMillis);
        if (versionsComplete.getAsBoolean() && possible.size() == 1) {
            reply.accept(Either.right(possible.iterator().next()));
            return;
        }
        Search search = new Search(stream, service, nowMillis + SEARCH_MILLIS, reply);
        List<String> queried = queriedFor(stream);
        if (queried.isEmpty() || pending.size() >= MAX_SEARCHES) {
            fail(search, !versionsComplete.getAsBoolean());
            return;
        }
        searches.increment();
        searchCount++;
        search.unanswered = queried.size();
        pending.put(searchCount, search);
        PeerMessage query = PeerMessage.newBuilder()
                .setFindStream(FindStream.newBuilder().setCallId(searchCount).setStream(stream))
                .build();
        queried.forEach(keeper -> peers.sendTo(keeper, query));
    }

    private static void answer(Origin origin, String service, Consumer<Either<Failure, String>> reply) {
        if (origin.service().equals(service)) {
            reply.accept(Either.right(origin.softwareVersion()));
            return;
        }
        // The route splits its requests among services; the next request may be assigned to the right one.
        reply.accept(Either.left(Failure.notRun(
                        ErrorKind.NO_TARGET,
                        "the stream began at service " + origin.service() + ", and the request was assigned to service "
                                + service)
                .retryAfter(RETRY_MILLIS)));
    }

    private void fail(Search search, boolean mayBecomeKnown) {
        unknown.increment();
        Failure failure = Failure.notRun(
                ErrorKind.NO_TARGET, "the software version at which the stream began is not known to the routers");
        search.reply.accept(Either.left(mayBecomeKnown ? failure.retryAfter(RETRY_MILLIS) : failure));
    }

    /** Keeps at which versions streams began at another router. */
    void onStreamsBegun(StreamsBegun begun) {
        for (StreamGroup group : begun.getGroupsList()) {
            for (long stream : group.getStreamsList()) {
                record(stream, new Origin(group.getService(), group.getSoftwareVersion(), nowMillis, false));
            }
        }
    }

    /** Answers another router. */
    void onFindStream(String fromVm, FindStream call) {
        StreamFound.Builder answer = StreamFound.newBuilder().setCallId(call.getCallId());
        Optional.ofNullable(origins.get(call.getStream()))
                .ifPresent(origin -> answer.setService(origin.service()).setSoftwareVersion(origin.softwareVersion()));
        peers.sendTo(fromVm, PeerMessage.newBuilder().setStreamFound(answer).build());
    }

    /** Handles the answer of a keeper. */
    void onStreamFound(StreamFound answer) {
        Search search = pending.get(answer.getCallId());
        if (search == null) {
            return;
        }
        if (answer.hasSoftwareVersion()) {
            pending.remove(answer.getCallId());
            Origin origin = new Origin(answer.getService(), answer.getSoftwareVersion(), nowMillis, false);
            record(search.stream, origin);
            answer(origin, search.service, search.reply);
            return;
        }
        search.unanswered--;
        if (search.unanswered == 0) {
            pending.remove(answer.getCallId());
            fail(search, !versionsComplete.getAsBoolean());
        }
    }

    /** Sends what is new to keepers, and ends queries without an answer. */
    void tick(long tickMillis) {
        nowMillis = tickMillis;
        endSearches();
        if (nowMillis < nextSendAtMillis) {
            return;
        }
        nextSendAtMillis = nowMillis + SEND_MILLIS;
        forgetOld();
        announceOpenStreams();
        send();
    }

    private void endSearches() {
        for (Map.Entry<Long, Search> entry : Map.copyOf(pending).entrySet()) {
            if (nowMillis >= entry.getValue().untilMillis) {
                pending.remove(entry.getKey());
                fail(entry.getValue(), true);
            }
        }
    }

    private void forgetOld() {
        Iterator<Origin> oldestFirst = origins.values().iterator();
        while (oldestFirst.hasNext() && nowMillis - oldestFirst.next().atMillis() >= SoftwareVersions.STREAM_MILLIS) {
            oldestFirst.remove();
        }
    }

    /** Reports the streams that began while their service had one version to their keepers when it gets a second one. */
    private void announceOpenStreams() {
        for (String service : versions.services(nowMillis)) {
            if (!hasSeveralVersions(service)) {
                announcedServices.remove(service);
                continue;
            }
            if (!announcedServices.add(service)) {
                continue;
            }
            log.belief("software_versions")
                    .with("service", service)
                    .with("versions", String.join(",", versions.withOpenStreams(service, nowMillis)))
                    .write();
            origins.forEach((stream, origin) -> {
                if (origin.own() && origin.service().equals(service)) {
                    notifyKeepers(stream, service, origin.softwareVersion());
                }
            });
        }
    }

    private void send() {
        if (unsent.isEmpty()) {
            return;
        }
        Map<String, StreamsBegun.Builder> messages = new HashMap<>();
        unsent.forEach((key, streams) -> messages.computeIfAbsent(key.keeper(), ignored -> StreamsBegun.newBuilder())
                .addGroups(StreamGroup.newBuilder()
                        .setService(key.service())
                        .setSoftwareVersion(key.softwareVersion())
                        .addAllStreams(streams)));
        unsent.clear();
        messages.forEach((keeper, begun) -> peers.sendTo(
                keeper, PeerMessage.newBuilder().setStreamsBegun(begun).build()));
    }
}
