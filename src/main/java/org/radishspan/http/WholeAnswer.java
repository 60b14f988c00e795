package org.radishspan.http;

import java.io.ByteArrayOutputStream;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * A response that has arrived to its end.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record WholeAnswer(int status, HttpTransport.Headers headers, byte[] body) {
    private static final HttpTransport.Headers NO_HEADERS = name -> null;

    /** Returns a listener that tells the answer once it is whole, or why there is none. */
    public static HttpTransport.Listener collecting(Consumer<Either<String, WholeAnswer>> done) {
        return new Collector(done);
    }

    private static final class Collector implements HttpTransport.Listener {
        private final Consumer<Either<String, WholeAnswer>> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private HttpTransport.Headers headers = NO_HEADERS;

        Collector(Consumer<Either<String, WholeAnswer>> done) {
            this.done = done;
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
            done.accept(Either.right(new WholeAnswer(status, headers, body.toByteArray())));
        }

        @Override
        public void onFailure(String message, boolean sent) {
            done.accept(Either.left(message));
        }
    }
}
