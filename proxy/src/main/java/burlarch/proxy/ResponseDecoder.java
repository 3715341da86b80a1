package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.AsciiString;
import io.netty.util.ReferenceCountUtil;
import java.util.function.BooleanSupplier;

/**
 * Decoder for HTTP responses of nodes. Closes the connection when bytes arrive while no response is awaited:
 * a duplicate response or stray bytes left in the connection would be read as the response to the next call.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final BooleanSupplier awaitsResponse;

    ResponseDecoder(BooleanSupplier awaitsResponse) {
        super(new HttpDecoderConfig().setUseRfc9112TransferEncoding(true));
        this.awaitsResponse = awaitsResponse;
    }

    /** Whether bytes have been read that are not decoded yet. */
    boolean hasMore() {
        return actualReadableBytes() > 0;
    }

    /**
     * Rejects a response that only the end of the connection delimits: it may have been truncated, and the
     * connection may never end.
     */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage head) {
        boolean empty = super.isContentAlwaysEmpty(head);
        if (!empty
                && !head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                && !HttpUtil.isTransferEncodingChunked(head)) {
            throw new IllegalArgumentException("response has neither Content-Length nor chunked encoding");
        }
        return empty;
    }

    /** Rejects a header line without a colon, which Netty accepts in a response if a blank ends the name. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("header line has no colon after its name");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (awaitsResponse.getAsBoolean()) {
            super.channelRead(context, message);
        } else {
            ReferenceCountUtil.release(message);
            context.close();
        }
    }
}
