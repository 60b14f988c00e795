package org.radishspan.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.radishspan.http.HttpTransport;
import org.radishspan.routing.Target;

/** Encodes requests to targets, and decodes the heads of their answers. */
public interface TargetProtocol {

    /**
     * What a router adds to a request when it sends it.
     *
     * @param target the intended target; any other target that receives the request refuses it
     * @param workspace the name of the caller's workspace; empty if it has none
     * @param remainingMillis the time until the deadline, in which the target may process the request
     * @param urgency the order of processing at the target, from 0 (first) to 9 (last)
     * @param lastEventId the id of the event after which a resumed stream continues; empty for a stream from the start
     */
    record SendParameters(
            Target target, Optional<String> workspace, long remainingMillis, int urgency, OptionalLong lastEventId) {}

    /**
     * The load that a target reports with an answer.
     *
     * @param running the number of requests that it is processing
     * @param waiting the number of requests that wait for a slot
     * @param slots the maximum number of requests that it processes concurrently
     * @param pacePercent how long work takes on its VM at present, in percent of the usual time; empty if it does not report that
     */
    record Load(int running, int waiting, int slots, OptionalInt pacePercent) {}

    /**
     * The head of an answer.
     *
     * @param status the HTTP status
     * @param notRun whether the target reports that it did not run the request
     * @param statusMeansNotRun whether callers conclude from the status alone that the request did not run
     * @param otherTarget whether a target other than the intended one answered at the address
     * @param signed whether the answer has the target's signature; a successful answer without it is not trusted
     * @param contentCoded whether the body is encoded, as compressed bodies are
     * @param stream whether the body is a stream of events
     * @param load the load that the target reports; empty if it reports none
     * @param leaving whether the target announces that it is about to stop
     * @param pauseMillis how long this router must not send requests to the target; empty if it requests no pause
     * @param requestsPerSecond the limit of the target for all routers together; it holds while answers repeat it
     * @param relayedHeaders the headers to relay to the caller, in their order
     */
    record AnswerHead(
            int status,
            boolean notRun,
            boolean statusMeansNotRun,
            boolean otherTarget,
            boolean signed,
            boolean contentCoded,
            boolean stream,
            Optional<Load> load,
            boolean leaving,
            OptionalLong pauseMillis,
            OptionalDouble requestsPerSecond,
            List<Map.Entry<String, String>> relayedHeaders) {
        private static final int FIRST_SUCCESS = 200;
        private static final int FIRST_REDIRECT = 300;
        private static final int FIRST_SERVER_ERROR = 500;

        /** Returns whether the target processed the request successfully. */
        public boolean success() {
            return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        }

        /** Returns whether the status is a server error, as opposed to an error in the request. */
        public boolean targetFailed() {
            return status >= FIRST_SERVER_ERROR;
        }
    }

    /** Returns the HTTP request to send to a target for a caller's request. */
    HttpTransport.Request request(CallerRequest callerRequest, SendParameters parameters);

    /** Decodes the head of an answer from its status and headers. */
    AnswerHead answerHead(int status, HttpTransport.Headers headers);
}
