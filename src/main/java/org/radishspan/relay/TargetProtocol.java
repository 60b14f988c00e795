package org.radishspan.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.radishspan.http.HttpTransport;
import org.radishspan.routing.Target;

/** How requests and answers look between routers and targets. */
public interface TargetProtocol {

    /**
     * What a router adds to a request when it sends it.
     *
     * @param target the target; any other one refuses the request
     * @param workspace the caller's workspace
     * @param remainingMillis how long the target may work on it
     * @param urgency 0 goes first at the target, 9 last
     * @param lastEventId the event behind which a stream goes on
     */
    record Send(
            Target target, Optional<String> workspace, long remainingMillis, int urgency, OptionalLong lastEventId) {}

    /**
     * The load that a target tells with an answer.
     *
     * @param running the requests that it works on
     * @param waiting the requests that wait for a slot
     * @param slots how many it works on at once
     */
    record Load(int running, int waiting, int slots) {}

    /**
     * The head of an answer.
     *
     * @param status the HTTP status
     * @param notRun whether the target says that it did not run the request
     * @param otherTarget whether another target than the named one has the address
     * @param signed whether the answer carries the target's signature, without which no success is genuine
     * @param stream whether events follow
     * @param load the load that came with it
     * @param leaving whether the target says that it is about to stop
     * @param pauseMillis for how long the target wants nothing more from this router
     * @param requestsPerSecond what the target takes from all routers together, for as long as it says so
     * @param relayedHeaders the headers to pass on to the caller, in their order
     */
    record AnswerHead(
            int status,
            boolean notRun,
            boolean otherTarget,
            boolean signed,
            boolean stream,
            Optional<Load> load,
            boolean leaving,
            OptionalLong pauseMillis,
            OptionalDouble requestsPerSecond,
            List<Map.Entry<String, String>> relayedHeaders) {
        private static final int FIRST_SUCCESS = 200;
        private static final int FIRST_REDIRECT = 300;
        private static final int FIRST_SERVER_ERROR = 500;

        /** Returns whether the target did what was asked. */
        public boolean success() {
            return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        }

        /** Returns whether the target failed, in contrast to the request being wrong. */
        public boolean targetFailed() {
            return status >= FIRST_SERVER_ERROR;
        }
    }

    /** Returns the request to send to a target. */
    HttpTransport.Request request(CallerRequest request, Send send);

    /** Reads the head of an answer. */
    AnswerHead answerHead(int status, HttpTransport.Headers headers);
}
