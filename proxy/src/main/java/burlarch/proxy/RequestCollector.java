package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Collects a request's body, which may be as long as a node's answers: what was written is read again. What
 * is too large goes on as a {@link Rejection}, answered in its turn.
 */
final class RequestCollector extends BodyCollector {
    /** The bytes of all bodies that are held, whole or in part: hundreds of half-sent ones fill memory. */
    static final int HELD_MOST = 4 << 20;

    RequestCollector(BodyBudget budget) {
        super(budget);
    }

    @Override
    void noRoom(ChannelHandlerContext context) {
        context.fireChannelRead(new Rejection(HttpResponseStatus.INSUFFICIENT_STORAGE));
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        // Too large a body has its turn to be answered like any other.
        return isContentLengthInvalid(start, maxContentLength)
                ? null
                : super.newContinueResponse(start, maxContentLength, pipeline);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        discard();
        context.fireChannelRead(new Rejection(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE));
    }
}
