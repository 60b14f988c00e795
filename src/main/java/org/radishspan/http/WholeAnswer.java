package org.radishspan.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * A response that has been received completely.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record WholeAnswer(int status, HttpTransport.Headers headers, byte[] body) {
    private static final HttpTransport.Headers NO_HEADERS = name -> null;

    /** Returns a listener that passes the complete response to the callback, or the failure message if the call failed. */
    public static HttpTransport.Listener collecting(Consumer<Either<String, WholeAnswer>> callback) {
        return new Collector(callback);
    }

    private static final class Collector implements HttpTransport.Listener {
        private final Consumer<Either<String, WholeAnswer>> callback;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private HttpTransport.Headers headers = NO_HEADERS;

        Collector(Consumer<Either<String, WholeAnswer>> callback) {
            this.callback = callback;
        }

        @Override
        public void onHead(int statusCode, HttpTransport.Headers head) {
            status = statusCode;
            headers = head;
        }

        @Override
        public void onBody(byte[] bytes) {
            body.writeBytes(bytes);
        }

        @Override
        public void onEnd() {
            callback.accept(Either.right(new WholeAnswer(status, headers, body.toByteArray())));
        }

        @Override
        public void onFailure(String message, boolean sent) {
            callback.accept(Either.left(message));
        }
    }
}
