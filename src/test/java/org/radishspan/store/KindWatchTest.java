package org.radishspan.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.commons.rng.simple.RandomSource;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.http.Json;
import org.radishspan.log.EventLog;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the lists, the watches and the updates from other routers of a {@link KindWatch}. */
public class KindWatchTest {
    private static final Failure DOWN = Failure.notRun(ErrorKind.PLATFORM_UNAVAILABLE, "down");
    private static final Failure HISTORY_LOST = Failure.notRun(ErrorKind.CONFLICT, "history lost");

    /** A store that records the calls, and whose replies the test sends one by one. */
    private static final class Store implements ObjectKinds {
        private final Deque<String> calls = new ArrayDeque<>();
        private final Deque<Consumer<Either<Failure, Page>>> lists = new ArrayDeque<>();
        private final Deque<Consumer<Either<Failure, Changes>>> watches = new ArrayDeque<>();

        @Override
        public void list(String kind, String afterName, Consumer<Either<Failure, Page>> reply) {
            calls.add("list " + afterName);
            lists.add(reply);
        }

        @Override
        public void watch(String kind, long aboveRevision, long waitMillis, Consumer<Either<Failure, Changes>> reply) {
            calls.add("watch " + aboveRevision);
            watches.add(reply);
        }

        @Override
        public void write(String kind, String name, JsonNode content, Consumer<Either<Failure, Long>> reply) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void remove(String kind, String name, Consumer<Either<Failure, Long>> reply) {
            throw new UnsupportedOperationException();
        }
    }

    private static final class Harness {
        private final Store store = new Store();
        private final StoreEra storeEra = new StoreEra();
        private final Map<String, String> view = new TreeMap<>();
        private final List<String> repeated = new ArrayList<>();
        private long nowMillis;
        private long pauseMillis;
        private long minOutageMillis;
        private final KindWatch<String> watch = new KindWatch<>(
                "kind",
                new KindWatch.Ports(store, storeEra, RandomSource.XO_SHI_RO_256_PP.create(1), EventLog.silent()),
                content -> Optional.ofNullable(content.get("text")).map(JsonNode::textValue),
                new KindWatch.Listener<>() {
                    @Override
                    public void onPresent(String name, String entry) {
                        view.put(name, entry);
                    }

                    @Override
                    public void onAbsent(String name) {
                        view.remove(name);
                    }

                    @Override
                    public void onRepeated(String name, String entry) {
                        repeated.add(name);
                    }
                },
                new KindWatch.Pace(() -> 2_000, () -> pauseMillis, () -> 400, () -> minOutageMillis));

        private void tick(long millis) {
            nowMillis += millis;
            watch.tick(nowMillis);
        }

        private void page(boolean complete, long revision, ObjectKinds.Entry... entries) {
            store.lists.remove().accept(Either.right(new ObjectKinds.Page(List.of(entries), complete, revision)));
            tick(1);
        }

        private void changes(long revision, ObjectKinds.Change... changes) {
            store.watches.remove().accept(Either.right(new ObjectKinds.Changes(List.of(changes), revision)));
            tick(1);
        }
    }

    private static ObjectKinds.Entry entry(String name, String text) {
        return new ObjectKinds.Entry(name, Json.object().put("text", text));
    }

    private static ObjectKinds.Entry undecodable(String name) {
        return new ObjectKinds.Entry(name, Json.object().put("text", 3));
    }

    private static Harness listed() {
        Harness harness = new Harness();
        harness.tick(1);
        harness.page(true, 10, entry("a", "1"), entry("b", "2"));
        return harness;
    }

    /** Tests that the pages of a list make up the view. */
    public static class Lists {
        @Test
        public void continueAfterTheLastNameUntilComplete() {
            Harness harness = new Harness();
            harness.tick(1);
            harness.page(false, 10, entry("a", "1"));
            assertFalse(harness.watch.hasListed());
            harness.page(true, 12, entry("b", "2"));
            assertTrue(harness.watch.hasListed());
            assertEquals(List.copyOf(harness.store.calls), List.of("list ", "list a", "watch 12"));
            assertEquals(harness.view, Map.of("a", "1", "b", "2"));
        }

        @Test
        public void omitEntriesThatCannotBeDecoded() {
            Harness harness = new Harness();
            harness.tick(1);
            harness.page(true, 10, undecodable("a"), entry("b", "2"));
            assertEquals(harness.view, Map.of("b", "2"));
        }

        @Test
        public void doNotInterruptAWatchWhenRelistIsRequested() {
            Harness harness = listed();
            harness.store.watches.clear();
            harness.watch.relist();
            assertEquals(harness.store.calls.peekLast(), "watch 10");
        }
    }

    /** Tests whole lists from other routers' views. */
    public static class WholeLists {
        private static void sendList(Harness harness, long era, long revision, ObjectKinds.Entry... entries) {
            List<ObjectKinds.Change> objects = Stream.of(entries)
                    .map(entry -> new ObjectKinds.Change(entry, false))
                    .toList();
            harness.watch.onWholeList(new KindWatch.Update(era, 0, revision, objects, 0, 1_000_000), harness.nowMillis);
        }

        /** Guards against views that stay behind for as long as their own calls fail, because they missed one update. */
        @Test
        public void replaceAnOlderViewWhateverItMissed() {
            Harness harness = listed();
            sendList(harness, StoreEra.UNKNOWN, 500, entry("b", "3"), entry("c", "4"));
            assertEquals(harness.view, Map.of("b", "3", "c", "4"));
            assertEquals(harness.watch.revision(), 500);
        }

        @Test
        public void areTheFirstListOfAViewThatHasReadNone() {
            Harness harness = new Harness();
            harness.tick(1);
            sendList(harness, StoreEra.UNKNOWN, 20, entry("c", "4"));
            assertTrue(harness.watch.hasListed());
            assertEquals(harness.view, Map.of("c", "4"));
            harness.page(true, 10, entry("a", "1"));
            assertEquals(harness.view, Map.of("c", "4"), "the answer of the store is older");
        }

        @Test
        public void areIgnoredIfTheyAreOlder() {
            Harness harness = listed();
            sendList(harness, StoreEra.UNKNOWN, 9, entry("c", "4"));
            assertEquals(harness.view, Map.of("a", "1", "b", "2"));
            harness.watch.onWholeList(new KindWatch.Update(StoreEra.UNKNOWN, 0, 0, List.of(), 0, 0), harness.nowMillis);
            assertEquals(harness.view, Map.of("a", "1", "b", "2"), "the sender has read no list");
        }

        @Test
        public void replaceAViewOfAnEarlierEraAlthoughTheirRevisionIsLower() {
            Harness harness = listed();
            sendList(harness, 7, 3, entry("c", "4"));
            assertEquals(harness.view, Map.of("c", "4"));
            sendList(harness, 6, 100, entry("d", "5"));
            assertEquals(harness.view, Map.of("c", "4"), "a list of an earlier era");
        }

        @Test
        public void containAllObjectsOfTheView() {
            Harness harness = new Harness();
            Function<String, JsonNode> encoder = text -> Json.object().put("text", text);
            assertTrue(harness.watch.wholeList(encoder).isEmpty(), "the view is not complete");
            harness.tick(1);
            harness.page(true, 10, entry("b", "2"), entry("a", "1"));
            KindWatch.Update list = harness.watch.wholeList(encoder).orElseThrow();
            assertTrue(list.whole());
            assertEquals(list.revision(), 10);
            assertEquals(
                    list.changes(),
                    List.of(
                            new ObjectKinds.Change(entry("a", "1"), false),
                            new ObjectKinds.Change(entry("b", "2"), false)));
        }
    }

    /** Tests objects that are written again without a difference. */
    public static class Repeated {
        @Test
        public void areReportedIfThePredicateHolds() {
            Harness harness = listed();
            harness.watch.reportRepeated("1"::equals);
            harness.changes(
                    11, new ObjectKinds.Change(entry("a", "1"), false), new ObjectKinds.Change(entry("b", "2"), false));
            assertEquals(harness.repeated, List.of("a"));
        }

        /** Guards against receivers of updates that do not learn what the watching router learned. */
        @Test
        public void areForwarded() {
            Harness harness = listed();
            List<String> forwarded = new ArrayList<>();
            harness.watch.reportRepeated("1"::equals);
            harness.watch.setForwarder(new KindWatch.Forwarder() {
                @Override
                public void onChanges(List<ObjectKinds.Change> changes) {
                    changes.forEach(change -> forwarded.add(change.entry().name()));
                }

                @Override
                public void onListed() {}
            });
            harness.changes(
                    11, new ObjectKinds.Change(entry("a", "1"), false), new ObjectKinds.Change(entry("b", "2"), false));
            assertEquals(forwarded, List.of("a"));
        }

        @Test
        public void areNotReportedOtherwise() {
            Harness harness = listed();
            harness.changes(11, new ObjectKinds.Change(entry("a", "1"), false));
            assertEquals(harness.repeated, List.of());
        }
    }

    /** Tests updates from other routers' views. */
    public static class Updates {
        private static final long VALIDITY_MILLIS = 2_000;
        private static final long LONG_AGO_MILLIS = 1_000_000;

        private static void sendUpdate(
                Harness harness, long from, long to, long answeredAgoMillis, ObjectKinds.Change... changes) {
            harness.watch.onUpdate(
                    new KindWatch.Update(
                            StoreEra.UNKNOWN, from, to, List.of(changes), answeredAgoMillis, LONG_AGO_MILLIS),
                    VALIDITY_MILLIS,
                    harness.nowMillis);
        }

        @Test
        public void changeTheViewWithoutACallToTheStore() {
            Harness harness = listed();
            sendUpdate(harness, 10, 12, 0, new ObjectKinds.Change(entry("a", "3"), false));
            assertEquals(harness.view, Map.of("a", "3", "b", "2"));
            harness.changes(10);
            assertTrue(harness.store.watches.isEmpty(), "no further call while the update is valid");
            harness.tick(VALIDITY_MILLIS);
            assertEquals(harness.store.calls.peekLast(), "watch 12");
        }

        @Test
        public void areValidOnlyForALimitedTimeAfterTheStoreAnsweredTheSender() {
            Harness harness = listed();
            sendUpdate(harness, 10, 10, 1_500);
            harness.changes(10);
            assertTrue(harness.store.watches.isEmpty());
            harness.tick(500);
            assertEquals(harness.store.calls.peekLast(), "watch 10");
        }

        @Test
        public void withMissingChangesMakeTheViewReadTheStore() {
            Harness harness = listed();
            harness.changes(10);
            harness.store.watches.clear();
            Harness waiting = listed();
            sendUpdate(waiting, 14, 16, 0, new ObjectKinds.Change(entry("b", "9"), false));
            assertEquals(waiting.view, Map.of("a", "1", "b", "2"), "changes between the two revisions are missing");
            waiting.changes(10);
            assertEquals(waiting.store.calls.peekLast(), "watch 10");
        }

        @Test
        public void doNotRestoreOlderEntries() {
            Harness harness = listed();
            harness.changes(14, new ObjectKinds.Change(entry("a", "new"), false));
            sendUpdate(harness, 10, 12, 0, new ObjectKinds.Change(entry("a", "old"), false));
            assertEquals(harness.view, Map.of("a", "new", "b", "2"));
            sendUpdate(
                    harness,
                    11,
                    15,
                    0,
                    new ObjectKinds.Change(entry("a", "old"), false),
                    new ObjectKinds.Change(entry("a", "new"), false),
                    new ObjectKinds.Change(entry("c", "5"), false));
            assertEquals(harness.view, Map.of("a", "new", "b", "2", "c", "5"));
        }

        /**
         * Updates from other routers hid that a router could not reach the store. It alternated between watching on
         * behalf of others and following another router.
         */
        @Test
        public void doNotHideThatThisViewCannotReachTheStore() {
            Harness harness = listed();
            harness.store.watches.remove().accept(Either.left(DOWN));
            sendUpdate(harness, 10, 12, 0);
            assertTrue(harness.watch.lastCallFailed());
            assertFalse(harness.watch.failing(), "the update makes the view current");
            harness.tick(400);
            assertEquals(harness.store.calls.peekLast(), "watch 12", "the view keeps calling the store");
            harness.changes(12);
            assertFalse(harness.watch.lastCallFailed());
            harness.tick(1);
            assertTrue(harness.store.watches.isEmpty());
        }

        @Test
        public void reportThatTheStoreFailed() {
            Harness harness = listed();
            harness.watch.onUpdate(
                    new KindWatch.Update(StoreEra.UNKNOWN, 10, 10, List.of(), 0, 300),
                    VALIDITY_MILLIS,
                    harness.nowMillis);
            assertTrue(harness.watch.hadOutageWithin(1_000));
            assertFalse(harness.watch.hadOutageWithin(200));
        }
    }

    /** Tests views of a store that comes back from an older copy. */
    public static class Eras {
        private static Harness listedInEra(long era) {
            Harness harness = new Harness();
            harness.storeEra.onAnswer(era);
            harness.tick(1);
            harness.page(true, 10, entry("a", "1"), entry("b", "2"));
            return harness;
        }

        /**
         * The revision of the view had been given out again by the time that the watch was repeated, so that the store knew
         * it. All changes up to it were skipped for good.
         */
        @Test
        public void listAgainWhenTheRevisionOfTheViewWasGivenOutAgain() {
            Harness harness = listedInEra(0);
            harness.store.watches.remove().accept(Either.left(DOWN));
            harness.tick(1_000);
            assertEquals(harness.store.calls.peekLast(), "watch 10");
            harness.storeEra.onAnswer(1);
            harness.changes(11, new ObjectKinds.Change(entry("c", "3"), false));
            assertEquals(harness.store.calls.peekLast(), "list ");
            harness.page(true, 11, entry("a", "9"), entry("c", "3"));
            assertEquals(harness.view, Map.of("a", "9", "c", "3"));
            assertEquals(harness.store.calls.peekLast(), "watch 11");
        }

        @Test
        public void listAgainAtOnceWhenAnotherCallShowsTheEra() {
            Harness harness = listedInEra(4);
            harness.storeEra.onAnswer(5);
            harness.tick(1);
            assertEquals(harness.store.calls.peekLast(), "list ", "although the watch has not been answered");
            harness.page(true, 7, entry("b", "3"));
            harness.store
                    .watches
                    .remove()
                    .accept(Either.right(
                            new ObjectKinds.Changes(List.of(new ObjectKinds.Change(entry("a", "old"), false)), 30)));
            assertEquals(harness.view, Map.of("b", "3"), "an answer to the abandoned watch is ignored");
            assertEquals(harness.store.calls.peekLast(), "watch 7");
        }

        @Test
        public void restartAListWhosePagesAreOfDifferentEras() {
            Harness harness = new Harness();
            harness.storeEra.onAnswer(1);
            harness.tick(1);
            harness.page(false, 10, entry("a", "1"));
            harness.storeEra.onAnswer(2);
            harness.page(true, 11, entry("b", "2"));
            assertFalse(harness.watch.hasListed());
            assertEquals(harness.store.calls.peekLast(), "list ");
        }

        @Test
        public void ignoreUpdatesOfAnEarlierEra() {
            Harness harness = listedInEra(2);
            harness.watch.onUpdate(
                    new KindWatch.Update(
                            1, 10, 50, List.of(new ObjectKinds.Change(entry("a", "old"), false)), 0, 1_000_000),
                    2_000,
                    harness.nowMillis);
            assertEquals(harness.view, Map.of("a", "1", "b", "2"));
            assertEquals(harness.watch.revision(), 10);
        }

        @Test
        public void listAgainWhenAnotherRouterReportsALaterEra() {
            Harness harness = listedInEra(2);
            harness.watch.onUpdate(
                    new KindWatch.Update(
                            3, 10, 11, List.of(new ObjectKinds.Change(entry("c", "3"), false)), 0, 1_000_000),
                    2_000,
                    harness.nowMillis);
            harness.tick(1);
            assertEquals(harness.store.calls.peekLast(), "list ");
        }

        @Test
        public void countALaterEraAsAnOutage() {
            Harness harness = listedInEra(2);
            harness.storeEra.onAnswer(3);
            harness.tick(1);
            harness.page(true, 7, entry("a", "1"));
            assertTrue(harness.watch.hadOutageWithin(1_000), "entries may be missing until they are written again");
        }
    }

    /** Tests which failures of calls count as outages of the store. */
    public static class Outages {
        private static final long MIN_OUTAGE_MILLIS = 2_400;
        private static final long RESTORED_MILLIS = 2_200;

        private static Harness listedWithMinOutage() {
            Harness harness = listed();
            harness.minOutageMillis = MIN_OUTAGE_MILLIS;
            return harness;
        }

        /** Cuts off the watch after it has waited, and answers the next one. */
        private static void cutOffAndAnswer(Harness harness, long waitedMillis) {
            harness.tick(waitedMillis);
            harness.store.watches.remove().accept(Either.left(DOWN));
            harness.tick(60);
            harness.changes(harness.watch.revision() + 1);
        }

        @DataProvider
        public Object[][] waits() {
            return new Object[][] {{1}, {200}, {800}, {2_000}};
        }

        /** Guards against targets that stayed in use after their entries were removed, while watches were cut off (review/13). */
        @Test(dataProvider = "waits")
        public void areNotConcludedFromWatchesThatAreCutOff(long waitedMillis) {
            Harness harness = listedWithMinOutage();
            for (int i = 0; i < 5; i++) {
                cutOffAndAnswer(harness, waitedMillis);
                assertFalse(harness.watch.failing());
                assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS), "after cut " + i);
            }
        }

        @Test
        public void areConcludedFromCallsThatFailForLong() {
            Harness harness = listedWithMinOutage();
            harness.store.watches.remove().accept(Either.left(DOWN));
            harness.tick(MIN_OUTAGE_MILLIS);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS), "the store has not answered for so long");
            harness.changes(11);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
            harness.tick(RESTORED_MILLIS - 2);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
            harness.tick(2);
            assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }

        @Test
        public void areConcludedFromCallsThatFailForASecond() {
            Harness harness = listedWithMinOutage();
            harness.store.watches.remove().accept(Either.left(DOWN));
            harness.tick(980);
            assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS));
            harness.tick(20);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
            harness.changes(11);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }

        /** A store that stalls answers nothing until it returns, and may then cut off the watches that waited. */
        @Test
        public void areConcludedFromAWatchThatIsCutOffAfterALongSilence() {
            Harness harness = listedWithMinOutage();
            cutOffAndAnswer(harness, MIN_OUTAGE_MILLIS);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }

        /** Guards against a wait for missing entries that each further cut of a watch began anew. */
        @Test
        public void areNotProlongedByWatchesThatAreCutOff() {
            Harness harness = listedWithMinOutage();
            cutOffAndAnswer(harness, MIN_OUTAGE_MILLIS);
            for (int i = 0; i < 4; i++) {
                cutOffAndAnswer(harness, 600);
            }
            assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }

        /** Entries cannot reappear while the store is away. */
        @Test
        public void areProlongedByTheTimeInWhichCallsFail() {
            Harness harness = listedWithMinOutage();
            cutOffAndAnswer(harness, MIN_OUTAGE_MILLIS);
            harness.store.watches.remove().accept(Either.left(DOWN));
            harness.tick(900);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS));
            harness.changes(20);
            harness.tick(RESTORED_MILLIS - 10);
            assertTrue(harness.watch.hadOutageWithin(RESTORED_MILLIS), "the calls failed for 0.9 s of the time since");
            harness.tick(20);
            assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }

        /** Guards against routers that reported the loss of the store, and left their duties, at each cut of a watch. */
        @Test
        public void areNotReportedByARouterWhoseWatchIsCutOffOnce() {
            Harness harness = listedWithMinOutage();
            harness.tick(800);
            harness.store.watches.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.lastCallFailed());
            assertFalse(harness.watch.storeUnreachable());
            harness.tick(60);
            harness.store.watches.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.storeUnreachable(), "the next call failed too");
            harness.tick(120);
            harness.changes(11);
            assertFalse(harness.watch.storeUnreachable());
        }

        @Test
        public void areReportedByARouterWhoseWatchIsNotAnsweredInTime() {
            Harness harness = listedWithMinOutage();
            harness.tick(2_600);
            harness.store.watches.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.storeUnreachable());
        }

        @Test
        public void areReportedByARouterWhoseListFails() {
            Harness harness = new Harness();
            harness.tick(1);
            harness.store.lists.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.storeUnreachable());
        }

        /** A view that another router has updated for a long time has sent no calls itself. */
        @Test
        public void areNotConcludedWhileAnotherRouterIsAnswered() {
            Harness harness = listedWithMinOutage();
            for (int i = 0; i < 10; i++) {
                harness.tick(500);
                harness.watch.onUpdate(
                        new KindWatch.Update(StoreEra.UNKNOWN, 10, 10, List.of(), 100, 1_000_000),
                        1_000,
                        harness.nowMillis);
            }
            harness.store.watches.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.failing());
            assertFalse(harness.watch.hadOutageWithin(RESTORED_MILLIS));
        }
    }

    /** Tests watch calls and recovery from their failures. */
    public static class Watches {
        /** Without the pause, each new entry cost one call by every router when 75 routers and 66 targets started. */
        @Test
        public void pauseToCollectChangesBeforeTheNextCall() {
            Harness harness = listed();
            harness.pauseMillis = 250;
            harness.changes(11, new ObjectKinds.Change(entry("c", "3"), false));
            assertTrue(harness.store.watches.isEmpty());
            harness.tick(247);
            assertTrue(harness.store.watches.isEmpty());
            harness.tick(2);
            assertEquals(harness.store.calls.peekLast(), "watch 11");
        }

        @Test
        public void continueWithoutAPauseWhenThereAreNoChanges() {
            Harness harness = listed();
            harness.pauseMillis = 250;
            harness.changes(11);
            assertEquals(harness.store.calls.peekLast(), "watch 11");
        }

        @Test
        public void changeTheView() {
            Harness harness = listed();
            harness.changes(
                    14,
                    new ObjectKinds.Change(entry("a", "3"), false),
                    new ObjectKinds.Change(entry("b", "2"), true),
                    new ObjectKinds.Change(entry("c", "4"), false));
            assertEquals(harness.view, Map.of("a", "3", "c", "4"));
            assertEquals(harness.store.calls.peekLast(), "watch 14");
        }

        @Test
        public void removeAnEntryThatCanNoLongerBeDecoded() {
            Harness harness = listed();
            harness.changes(14, new ObjectKinds.Change(undecodable("a"), false));
            assertEquals(harness.view, Map.of("b", "2"));
        }

        @Test
        public void continueFromTheSameRevisionAfterAnOutage() {
            Harness harness = listed();
            harness.store.watches.remove().accept(Either.left(DOWN));
            assertTrue(harness.watch.hadOutageWithin(1_000));
            harness.tick(1_000);
            assertEquals(harness.store.calls.peekLast(), "watch 10");
            harness.changes(11);
            assertTrue(harness.watch.hadOutageWithin(1_000), "less than a second has passed since the store recovered");
            harness.tick(1_000);
            assertFalse(harness.watch.hadOutageWithin(1_000));
        }

        @Test
        public void listAgainImmediatelyWhenTheHistoryIsLost() {
            Harness harness = listed();
            harness.store.watches.remove().accept(Either.left(HISTORY_LOST));
            harness.tick(1);
            assertEquals(harness.store.calls.peekLast(), "list ");
            harness.page(true, 20, entry("b", "5"));
            assertEquals(harness.view, Map.of("b", "5"), "an entry that the list does not contain is removed");
            assertFalse(harness.watch.hadOutageWithin(1_000), "a lost history does not count as a failure");
        }
    }
}
