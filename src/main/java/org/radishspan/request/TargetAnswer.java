package org.radishspan.request;

import com.google.protobuf.ByteString;
import org.radishspan.journal.Journal;

/** The answer of a target as it comes in. */
interface TargetAnswer {

    /** What to do with a part of an answer. */
    enum Verdict {
        /** It belongs to the answer. */
        ACCEPTED,
        /** It is late, crossed or doubled, and was left out. */
        DROPPED,
        /** The answer cannot be used. */
        BROKEN
    }

    /** Takes the status line; returns whether the answer can be used. */
    boolean onHead(int status, String contentType);

    /** Takes a part of the body. */
    Verdict onBody(byte[] bytes);

    /** Returns whether the answer is whole. */
    boolean whole();

    /** Returns the tokens to bill; meaningful once the answer is whole. */
    long billedTokens();

    /** Returns the answer as a journal keeps it. */
    Journal.Outcome outcome();

    /** Returns the status of the answer. */
    int status();

    /** An answer of a plain service, relayed as it is. */
    final class ServiceAnswer implements TargetAnswer {
        private static final int MAX_BODY_BYTES = 65_536;
        private static final int FIRST_SUCCESS = 200;
        private static final int FIRST_REDIRECT = 300;

        private final long priceTokens;
        private int status;
        private String contentType = "";
        private ByteString body = ByteString.EMPTY;

        ServiceAnswer(long priceTokens) {
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
            return body.size() > MAX_BODY_BYTES ? Verdict.BROKEN : Verdict.ACCEPTED;
        }

        @Override
        public boolean whole() {
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
