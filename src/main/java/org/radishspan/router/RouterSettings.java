package org.radishspan.router;

import java.util.Map;

import org.radishspan.budget.SharePolicy;
import org.radishspan.request.CallReader;

/**
 * The validated settings of a router.
 *
 * @param vm the name of the VM
 * @param failureDomain the failure domain in which the VM runs
 * @param caller the port for callers
 * @param operator the port for operators
 * @param peer the port for other routers
 * @param platform the access to the platform's object API
 * @param storage how durable state is partitioned and how long it is kept
 * @param shares the share policy, as far as the preset in force does not override it
 * @param requests the limits of requests
 * @param services the plain services by name
 */
public record RouterSettings(
        String vm,
        String failureDomain,
        Caller caller,
        Operator operator,
        PeerPort peer,
        Platform platform,
        Storage storage,
        SharePolicy shares,
        Requests requests,
        Map<String, CallReader.ServiceSpec> services) {

    /**
     * The port for callers.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 for any free port
     * @param maxBodyBytes the maximum size of a request body in bytes
     */
    public record Caller(String host, int port, int maxBodyBytes) {}

    /**
     * The port for operators.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 for any free port
     * @param key the bearer key that operators must send
     */
    public record Operator(String host, int port, String key) {}

    /**
     * The port for other routers.
     *
     * @param host the address to listen on
     * @param port the port to listen on; 0 for any free port
     * @param secret the shared secret with which routers authenticate to each other
     */
    public record PeerPort(String host, int port, String secret) {}

    /**
     * The access to the platform's object API.
     *
     * @param host the address of the platform
     * @param port the port of the platform
     * @param timeoutMillis a call without a response within this time has failed
     * @param watchMillis how long a watch waits for a change
     * @param fleetReadsPerSecond the maximum rate of reads of all routers together
     * @param fleetWritesPerSecond the maximum rate of writes of all routers together
     * @param registerVm whether the router adds itself to the platform's list of VMs; for the stand-in platform only
     */
    public record Platform(
            String host,
            int port,
            long timeoutMillis,
            long watchMillis,
            int fleetReadsPerSecond,
            int fleetWritesPerSecond,
            boolean registerVm) {}

    /**
     * How durable state is partitioned and how long it is kept.
     *
     * @param ledgerPartitions the number of ledger objects; must be the same on every VM and must never change
     * @param journalPartitions the number of journal objects; must be the same on every VM and must never change
     * @param commitGapMillis the minimum time between two writes of this VM to the same object
     * @param keepOutcomesMillis how long the outcomes of requests are kept
     * @param maxIntents the maximum number of intents in one journal object
     * @param maxAnswerBytes the maximum size of a response that is stored for repeated calls
     */
    public record Storage(
            int ledgerPartitions,
            int journalPartitions,
            long commitGapMillis,
            long keepOutcomesMillis,
            int maxIntents,
            int maxAnswerBytes) {}

    /**
     * The limits of requests.
     *
     * @param deadlineMillis the maximum duration of a request
     * @param progressTimeoutMillis an attempt fails if its target sends nothing for this long
     * @param awaitMillis how long a repeated call waits for the attempt already in progress
     * @param drainMillis how long a planned stop waits for requests in progress
     * @param maxOutputTokens the maximum number of output tokens that a call may request
     * @param defaultOutputTokens the maximum number of output tokens of a call that does not set it
     */
    public record Requests(
            long deadlineMillis,
            long progressTimeoutMillis,
            long awaitMillis,
            long drainMillis,
            int maxOutputTokens,
            int defaultOutputTokens) {}
}
