package org.radishspan.http;

import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Decodes the requests of a connection, and limits the size of each head as a whole.
 *
 * <p>The base class has separate limits for the request line and for the header lines. Here a head may consist of either, as
 * long as its bytes from the first one to the empty line do not exceed the limit. A longer head is reported as soon as its
 * excess arrives, as a request whose decoder result is a {@link TooLongHttpHeaderException}. After any invalid request, all
 * further bytes are discarded.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final int maxHeadBytes;
    private final Consumer<HttpRequest> onRequest;
    private int headBytes;
    private boolean headComplete;
    private boolean invalid;

    /**
     * Creates a decoder for one connection.
     *
     * @param onRequest receives the head of each request
     */
    RequestDecoder(int maxHeadBytes, int maxChunkBytes, Consumer<HttpRequest> onRequest) {
        super(maxHeadBytes, maxHeadBytes, maxChunkBytes);
        this.maxHeadBytes = maxHeadBytes;
        this.onRequest = onRequest;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (invalid) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int from = in.readerIndex();
        int decodedBefore = out.size();
        super.decode(context, in, out);
        if (!headComplete) {
            headBytes += in.readerIndex() - from;
        }
        boolean waitsForMoreOfHead = out.size() == decodedBefore && !headComplete;
        if (waitsForMoreOfHead && headBytes + in.readableBytes() > maxHeadBytes) {
            HttpMessage message = createInvalidMessage();
            markTooLong(message);
            out.add(message);
        }
        for (int i = decodedBefore; i < out.size(); i++) {
            onDecoded(out.get(i));
        }
    }

    private void onDecoded(Object decoded) {
        if (decoded instanceof HttpRequest request) {
            onRequest.accept(request);
            headComplete = true;
            if (headBytes > maxHeadBytes) {
                markTooLong(request);
            }
        }
        invalid |=
                decoded instanceof HttpObject object && object.decoderResult().isFailure();
        if (decoded instanceof LastHttpContent) {
            headComplete = false;
            headBytes = 0;
        }
    }

    private void markTooLong(HttpMessage message) {
        message.setDecoderResult(DecoderResult.failure(
                new TooLongHttpHeaderException("the request head is longer than " + maxHeadBytes + " bytes")));
    }
}
