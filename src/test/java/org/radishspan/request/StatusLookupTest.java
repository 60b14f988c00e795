package org.radishspan.request;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.radishspan.error.ErrorKind;
import org.radishspan.error.Failure;
import org.radishspan.virtual.TestCaller;
import org.radishspan.virtual.VirtualFleet;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the status that a caller can look up for a request that it sent with an idempotency key. */
public class StatusLookupTest {
    private static final String WORKSPACE = "workspace";

    private static VirtualFleet fleet() {
        VirtualFleet fleet = VirtualFleet.builder().routers(3).seed(61).build();
        fleet.createBudget("crew", 100_000);
        fleet.createWorkspace(WORKSPACE, "crew");
        fleet.runStartup();
        return fleet;
    }

    private static Either<Failure, ObjectNode> find(VirtualFleet fleet, int node, String workspace) {
        List<Either<Failure, ObjectNode>> results = new ArrayList<>();
        new StatusLookup(fleet.node(node).router().journals()).find(workspace, "entry-1", results::add);
        fleet.run(2_000);
        assertEquals(results.size(), 1);
        return results.get(0);
    }

    @Test
    public void aResponseIsFoundThroughAnyRouter() {
        VirtualFleet fleet = fleet();
        TestCaller.serviceCall(fleet.node(0), WORKSPACE + ".key", "entry-1");
        fleet.run(2_000);
        ObjectNode status = find(fleet, 2, WORKSPACE).get();
        assertEquals(status.path("phase").asText(), "done");
        assertEquals(status.path("ran").asText(), "yes");
        assertTrue(status.path("answer")
                .asText()
                .contains(status.path("request_id").asText()));
    }

    @Test
    public void anUnusedKeyIsNotFound() {
        assertEquals(find(fleet(), 0, WORKSPACE).getLeft().kind(), ErrorKind.NOT_FOUND);
    }

    @Test
    public void aKeyOfAnotherWorkspaceIsNotFound() {
        VirtualFleet fleet = fleet();
        TestCaller.serviceCall(fleet.node(0), WORKSPACE + ".key", "entry-1");
        fleet.run(2_000);
        assertEquals(find(fleet, 0, "other").getLeft().kind(), ErrorKind.NOT_FOUND);
    }

    @Test
    public void aRequestWhoseRouterCrashedIsUnknown() {
        VirtualFleet fleet = fleet();
        fleet.targets().setUnresponsive(VirtualFleet.servicePort(0), true);
        fleet.targets().setUnresponsive(VirtualFleet.servicePort(1), true);
        TestCaller.serviceCall(fleet.node(0), WORKSPACE + ".key", "entry-1");
        fleet.run(1_000);
        fleet.node(0).crash();
        fleet.restart(0);
        fleet.run(30_000);
        ObjectNode status = find(fleet, 1, WORKSPACE).get();
        assertEquals(status.path("phase").asText(), "unknown");
        assertEquals(status.path("ran").asText(), "unknown");
    }
}
