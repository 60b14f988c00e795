package org.radishspan.front;

import java.util.ArrayList;
import java.util.List;

import org.radishspan.error.Failure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that callers get no stream of two software versions, whichever routers and targets end while it runs. */
public class StreamVersionsFleetTest {
    /** Time after which no stream of the first target can be open, which has no version. */
    private static final long STARTUP_MILLIS = 45_000;

    /** Time in which a new version becomes known to all routers in touch with the store. */
    private static final long ANNOUNCE_MILLIS = 5_000;

    private static final long POWER_LOSS_MILLIS = 1_400;
    private static final long RESTART_MILLIS = 1_500;
    private static final int ROUTERS = 6;
    private static final int STREAMS = 60;

    private static FrontFleet fleet(String... versions) {
        FrontFleet fleet = new FrontFleet(new FrontFleet.Layout(ROUTERS, 3, 10, 50, 500, 125_000, 200), 1);
        fleet.useStreams(2);
        fleet.removeTarget();
        for (String version : versions) {
            register(fleet, version);
        }
        fleet.advance(STARTUP_MILLIS);
        return fleet;
    }

    private static void register(FrontFleet fleet, String version) {
        fleet.registerVersion(version + "-a", version);
        fleet.registerVersion(version + "-b", version);
    }

    private static void remove(FrontFleet fleet, String version) {
        fleet.removeTarget(version + "-a");
        fleet.removeTarget(version + "-b");
    }

    /** Opens streams at all routers; all of them have begun when this returns. */
    private static List<FleetStream> openStreams(FrontFleet fleet) {
        List<FleetStream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(fleet.openStream(i % ROUTERS));
        }
        fleet.advance(800);
        assertTrue(streams.stream().allMatch(FleetStream::begun), "all streams have begun");
        return streams;
    }

    /** Lets all routers lose power and start again; the callers take up their streams then. */
    private static void losePower(FrontFleet fleet, List<FleetStream> streams) {
        streams.forEach(FleetStream::disconnect);
        fleet.powerOffAll(POWER_LOSS_MILLIS);
        fleet.advance(POWER_LOSS_MILLIS + RESTART_MILLIS);
        takeUp(fleet, streams, 1);
    }

    private static void takeUp(FrontFleet fleet, List<FleetStream> streams, int shift) {
        for (int i = 0; i < streams.size(); i++) {
            fleet.takeUp(streams.get(i), (i + shift) % ROUTERS);
        }
        fleet.advance(6_500);
    }

    private static void assertNoneJoined(List<FleetStream> streams) {
        assertEquals(
                streams.stream().filter(stream -> stream.versions().size() > 1).count(),
                0,
                "streams with events of two software versions");
    }

    private static String reasons(List<FleetStream> streams) {
        return streams.stream()
                .flatMap(stream -> stream.failures().stream())
                .map(Failure::message)
                .distinct()
                .toList()
                .toString();
    }

    private static long complete(List<FleetStream> streams) {
        return streams.stream().filter(FleetStream::complete).count();
    }

    @DataProvider
    public Object[][] endedRouters() {
        return new Object[][] {{0}, {3}, {5}};
    }

    /** Guards against streams that go on at another software version when their router ends (ORDER, issue 62). */
    @Test(dataProvider = "endedRouters")
    public void streamsOfAnEndedRouterGoOnAtTheirVersion(int ended) {
        FrontFleet fleet = fleet("v1", "v2");
        List<FleetStream> streams = openStreams(fleet);
        List<FleetStream> broken = new ArrayList<>();
        for (int i = ended; i < STREAMS; i += ROUTERS) {
            broken.add(streams.get(i));
        }
        broken.forEach(FleetStream::disconnect);
        fleet.kill(ended, 2_000);
        for (int i = 0; i < broken.size(); i++) {
            fleet.takeUp(broken.get(i), (ended + 1 + i % (ROUTERS - 1)) % ROUTERS);
        }
        fleet.advance(6_500);
        assertNoneJoined(streams);
        assertEquals(complete(broken), broken.size(), "streams taken up that went on");
        assertEquals(complete(streams), STREAMS);
    }

    /** Guards against streams joined from two versions after all routers were killed at once (issue 62, the report). */
    @Test
    public void streamsAreNotJoinedAfterAPowerLossWithTwoVersionsInService() {
        FrontFleet fleet = fleet("v1", "v2");
        List<FleetStream> streams = openStreams(fleet);
        losePower(fleet, streams);
        assertNoneJoined(streams);
        assertTrue(streams.stream()
                .flatMap(stream -> stream.failures().stream())
                .allMatch(failure -> failure.ran() == Failure.Ran.NO));
    }

    /** Guards against streams joined from two versions when the targets of the old one left before routers started again. */
    @Test
    public void streamsAreNotJoinedAfterAPowerLossInWhichTheirVersionHasLeft() {
        FrontFleet fleet = fleet("v1");
        List<FleetStream> streams = openStreams(fleet);
        register(fleet, "v2");
        remove(fleet, "v1");
        losePower(fleet, streams);
        assertNoneJoined(streams);
        assertEquals(complete(streams), 0);
    }

    @Test
    public void streamsAreNotJoinedAfterTwoPowerLosses() {
        FrontFleet fleet = fleet("v1");
        register(fleet, "v2");
        fleet.advance(ANNOUNCE_MILLIS);
        List<FleetStream> streams = openStreams(fleet);
        remove(fleet, "v1");
        fleet.powerOffAll(POWER_LOSS_MILLIS);
        fleet.advance(POWER_LOSS_MILLIS + RESTART_MILLIS);
        losePower(fleet, streams);
        assertNoneJoined(streams);
    }

    @Test
    public void streamsGoOnAfterAPowerLossIfOneVersionIsInService() {
        FrontFleet fleet = fleet("v1");
        List<FleetStream> streams = openStreams(fleet);
        losePower(fleet, streams);
        assertEquals(complete(streams), STREAMS, reasons(streams));
    }

    @Test
    public void streamsThatBeganBeforeASecondVersionGoOn() {
        FrontFleet fleet = fleet("v1");
        List<FleetStream> streams = openStreams(fleet);
        register(fleet, "v2");
        fleet.advance(1_000);
        streams.forEach(FleetStream::disconnect);
        takeUp(fleet, streams, 1);
        assertNoneJoined(streams);
        assertEquals(complete(streams), STREAMS);
    }

    /** Callers whose connections are reset take up their streams at other routers, while theirs still run. */
    @Test
    public void streamsGoOnAtOtherRoutersAfterResetsOfConnections() {
        FrontFleet fleet = fleet("v1", "v2");
        List<FleetStream> streams = openStreams(fleet);
        streams.forEach(FleetStream::disconnect);
        takeUp(fleet, streams, 2);
        assertNoneJoined(streams);
        assertEquals(complete(streams), STREAMS);
    }

    /** A router that does not reach the store does not know which versions came into service since. */
    @Test
    public void streamsAreNotJoinedByARouterWithoutTheStore() {
        FrontFleet fleet = fleet("v1");
        fleet.isolate(0);
        register(fleet, "v2");
        fleet.advance(ANNOUNCE_MILLIS);
        List<FleetStream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            streams.add(fleet.openStream(1 + i % (ROUTERS - 1)));
        }
        fleet.advance(800);
        streams.forEach(FleetStream::disconnect);
        streams.forEach(stream -> fleet.takeUp(stream, 0));
        fleet.advance(6_500);
        assertNoneJoined(streams);
    }

    @Test
    public void routersCallTheStoreOnlyWhenVersionsChange() {
        FrontFleet fleet = fleet("v1", "v2");
        fleet.takeStoreCalls();
        openStreams(fleet);
        fleet.advance(10_000);
        assertTrue(
                fleet.takeStoreCalls().keySet().stream().noneMatch(call -> call.endsWith(" software-versions")),
                "calls for software versions");
        register(fleet, "v3");
        fleet.advance(5_000);
        assertEquals(fleet.takeStoreCalls().getOrDefault("write software-versions", 0), 1);
    }
}
