package org.radishspan.request;

import com.google.protobuf.ByteString;
import org.radishspan.journal.Journal;

/** The response of a target to one request, built up while it is received. */
interface TargetResponse {

    /** The result of processing a part of a response. */
    enum Verdict {
        /** The part belongs to the response. */
        ACCEPTED,
        /** The part is late, duplicate or for another request, and was ignored. */
        DROPPED,
        /** The response violates the protocol or a limit and cannot be used. */
        MALFORMED
    }

    /** Processes the status and the content type; returns whether the response can be used. */
    boolean onHead(int status, String contentType);

    /** Processes a part of the body. */
    Verdict onBody(byte[] bytes);

    /** Returns whether the response has been received completely, provided that the connection ended normally. */
    boolean isComplete();

    /** Returns the number of tokens to bill; valid only once the response is complete. */
    long billedTokens();

    /** Returns the response in the form in which a journal stores it. */
    Journal.Outcome outcome();

    /** Returns the HTTP status of the response. */
    int status();

    /** The response of a plain service, relayed unchanged; billed only if its status is 2xx. */
    final class ServiceResponse implements TargetResponse {
        private static final int MAX_BODY_BYTES = 65_536;
        private static final int FIRST_SUCCESS = 200;
        private static final int FIRST_REDIRECT = 300;

        private final long priceTokens;
        private int status;
        private String contentType = "";
        private ByteString body = ByteString.EMPTY;

        ServiceResponse(long priceTokens) {
            this.priceTokens = priceTokens;
        }

        @Override
        public boolean onHead(int statusCode, String type) {
            status = statusCode;
            contentType = type;
            return true;
        }

        @Override
        public Verdict onBody(byte[] bytes) {
            body = body.concat(ByteString.copyFrom(bytes));
            return body.size() > MAX_BODY_BYTES ? Verdict.MALFORMED : Verdict.ACCEPTED;
        }

        @Override
        public boolean isComplete() {
            return status != 0;
        }

        @Override
        public long billedTokens() {
            return status >= FIRST_SUCCESS && status < FIRST_REDIRECT ? priceTokens : 0;
        }

        @Override
        public Journal.Outcome outcome() {
            return new Journal.Outcome(status, contentType, body);
        }

        @Override
        public int status() {
            return status;
        }
    }
}
