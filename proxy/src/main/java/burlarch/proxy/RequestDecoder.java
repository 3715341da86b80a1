package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes client requests with strict RFC 9112 framing and within the memory of the connection's heads, and tracks when
 * a partial request began to arrive.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private final ProxyClock clock;
    private final RequestHeadMemory headMemory;
    /** When the current partial request head or chunk began to arrive; 0 if there is none. */
    private long partialSinceNanos;

    RequestDecoder(ProxyClock clock, RequestHeadMemory headMemory) {
        super(new HttpDecoderConfig()
                .setUseRfc9112TransferEncoding(true)
                .setHeadersFactory(headMemory)
                .setTrailersFactory(headMemory));
        this.clock = clock;
        this.headMemory = headMemory;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        HttpMessage message = super.createMessage(initialLine);
        headMemory.reserveMessage(message.headers(), ((HttpRequest) message).uri());
        return message;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        super.channelRead(context, message);
        if (actualReadableBytes() == 0) {
            partialSinceNanos = 0;
        } else if (partialSinceNanos == 0) {
            partialSinceNanos = clock.nowNanos();
        }
    }

    /** When the current partial request head or chunk began to arrive, or {@code defaultNanos} if there is none. */
    long partialSinceNanos(long defaultNanos) {
        return partialSinceNanos == 0 ? defaultNanos : partialSinceNanos;
    }
}
