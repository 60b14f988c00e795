package org.radishspan.router;

import java.util.Map;

import org.radishspan.budget.SharePolicy;
import org.radishspan.request.CallReader;

/**
 * The checked settings of a router.
 *
 * @param vm the VM's name
 * @param failureDomain where the VM runs
 * @param caller the port for callers
 * @param operator the port for operators
 * @param peer the port for other routers
 * @param platform the platform's object API
 * @param storage how durable state is divided and kept
 * @param shares the share policy where the preset in force says nothing else
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
     * @param host the address
     * @param port the port, 0 for any
     * @param maxBodyBytes the longest body
     */
    public record Caller(String host, int port, int maxBodyBytes) {}

    /**
     * The port for operators.
     *
     * @param host the address
     * @param port the port, 0 for any
     * @param key the key that operators send
     */
    public record Operator(String host, int port, String key) {}

    /**
     * The port for other routers.
     *
     * @param host the address
     * @param port the port, 0 for any
     * @param secret what routers prove to each other
     */
    public record PeerPort(String host, int port, String secret) {}

    /**
     * The platform's object API.
     *
     * @param host the address
     * @param port the port
     * @param timeoutMillis a call without an answer for so long has failed
     * @param watchMillis how long a watch waits
     * @param fleetReadsPerSecond the reads of all routers together
     * @param fleetWritesPerSecond the writes of all routers together
     * @param announce whether the router puts itself into the platform's list of VMs; for stand-ins only
     */
    public record Platform(
            String host,
            int port,
            long timeoutMillis,
            long watchMillis,
            int fleetReadsPerSecond,
            int fleetWritesPerSecond,
            boolean announce) {}

    /**
     * How durable state is divided and kept.
     *
     * @param ledgerPartitions the number of ledger objects; the same on every VM and never changed
     * @param journalPartitions the number of journal objects; the same on every VM and never changed
     * @param commitGapMillis the shortest time between two writes of this VM to one object
     * @param keepOutcomesMillis how long outcomes are kept
     * @param maxIntents the most intents in one journal object
     * @param maxAnswerBytes the longest answer that is kept for repeated calls
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
     * @param deadlineMillis the longest that a request may take
     * @param progressTimeoutMillis a target that sends nothing for so long has failed
     * @param awaitMillis how long a repeated call waits for the one that runs
     * @param drainMillis how long a planned stop waits for requests in progress
     * @param maxOutputTokens the most output tokens that a call may ask for
     * @param defaultOutputTokens the output tokens of a call that asks for nothing
     */
    public record Requests(
            long deadlineMillis,
            long progressTimeoutMillis,
            long awaitMillis,
            long drainMillis,
            int maxOutputTokens,
            int defaultOutputTokens) {}
}
