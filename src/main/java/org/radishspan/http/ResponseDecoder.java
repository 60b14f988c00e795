package org.radishspan.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the responses to one request, rejects what is no valid response, and ends responses without a length only where the
 * server ended them.
 *
 * <p>The decoder needs a connection that stays open when the server ends its side of it. Such an end is reported as an
 * event, and thereby differs from all other ways in which a connection can be lost: a reset, a failed write of the request,
 * or a close by this process.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final boolean bodiesOmitted;
    private ResponseSyntax syntax = new ResponseSyntax();
    private int checkedBytes;
    private boolean invalid;
    private boolean requestAborted;
    private boolean serverEnded;

    /** Creates a decoder; {@code headRequest} says that the responses have no bodies, whatever their headers are. */
    ResponseDecoder(int maxInitialLineBytes, int maxHeaderBytes, int maxChunkBytes, boolean headRequest) {
        super(maxInitialLineBytes, maxHeaderBytes, maxChunkBytes);
        this.bodiesOmitted = headRequest;
    }

    /**
     * Records that the request could not be written. The end of the connection is then no evidence of a complete response:
     * a reset may already have been reported as the failure of the write, and reads like a regular end afterwards.
     */
    void onRequestAborted() {
        requestAborted = true;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        serverEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    /**
     * Decodes received bytes after their syntax has been checked.
     *
     * @throws CorruptedFrameException if the bytes are not part of a response; all further bytes are discarded
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (invalid) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int from = in.readerIndex();
        checkSyntax(in);
        super.decode(context, in, out);
        checkedBytes -= in.readerIndex() - from;
        if (!out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent) {
            syntax = new ResponseSyntax();
            checkedBytes = 0;
        }
    }

    private void checkSyntax(ByteBuf in) {
        int from = in.readerIndex();
        try {
            checkedBytes = syntax.check(in, from + checkedBytes) - from;
        } catch (CorruptedFrameException e) {
            invalid = true;
            throw e;
        }
    }

    @Override
    protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (serverEnded && !requestAborted) {
            super.decodeLast(context, in, out);
        }
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiesOmitted || super.isContentAlwaysEmpty(message);
    }
}
