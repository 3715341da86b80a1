package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Aggregates a request and its body. The limit equals that of a node's responses, because a value that was
 * written is read again. A request that is too large is passed on as a {@link Rejection}, which is answered in
 * order.
 */
final class RequestCollector extends BodyCollector {
    /** Limit for all request bodies held, complete or partial; hundreds of partial ones would exhaust memory. */
    static final int MAX_HELD_BYTES = 4 << 20;

    RequestCollector(BodyBudget budget) {
        super(budget);
    }

    @Override
    void onBudgetExceeded(ChannelHandlerContext context) {
        context.fireChannelRead(new Rejection(HttpResponseStatus.INSUFFICIENT_STORAGE));
    }

    @Override
    protected Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
        // A body that is too large is answered in order, like any other request.
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
