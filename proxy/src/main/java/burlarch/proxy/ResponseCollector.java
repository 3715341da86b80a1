package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/** Aggregates the body of a node's response. A response that exceeds the budget ends its attempt and connection. */
final class ResponseCollector extends BodyCollector {
    ResponseCollector(BodyBudget budget) {
        super(budget);
    }

    @Override
    void onBudgetExceeded(ChannelHandlerContext context) {
        context.close();
    }

    /** The last part is not copied: it is consumed in this read, and most responses consist of it alone. */
    @Override
    HttpContent retainable(HttpContent content) {
        return content instanceof LastHttpContent ? content : super.retainable(content);
    }

    /** Releases the body from the budget: a complete response is consumed in this read. */
    @Override
    protected void finishAggregation(FullHttpMessage response) throws Exception {
        super.finishAggregation(response);
        budget.release(response.content().readableBytes());
    }
}
