package org.radishspan.http;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/** Decodes the requests and encodes the responses of a connection. */
final class ServerCodec extends CombinedChannelDuplexHandler<RequestDecoder, HttpResponseEncoder> {
    private final Deque<HttpMethod> unansweredMethods = new ArrayDeque<>();

    /** Creates a codec for one connection, see {@link RequestDecoder}. */
    ServerCodec(int maxHeadBytes, int maxChunkBytes) {
        init(
                new RequestDecoder(maxHeadBytes, maxChunkBytes, request -> unansweredMethods.add(request.method())),
                new ResponseEncoder());
    }

    /** Encodes responses, and omits the bodies of those to requests with the method {@code HEAD}. */
    private final class ResponseEncoder extends HttpResponseEncoder {
        @Override
        protected boolean isContentAlwaysEmpty(HttpResponse response) {
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return super.isContentAlwaysEmpty(response);
            }
            boolean bodyOmitted = HttpMethod.HEAD.equals(unansweredMethods.poll());
            return bodyOmitted || super.isContentAlwaysEmpty(response);
        }
    }
}
