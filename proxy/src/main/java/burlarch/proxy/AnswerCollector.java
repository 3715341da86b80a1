package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;

/** Collects a node's answer. One that there is no room for costs its attempt, and its connection. */
final class AnswerCollector extends BodyCollector {
    AnswerCollector(BodyBudget budget) {
        super(budget);
    }

    @Override
    void noRoom(ChannelHandlerContext context) {
        context.close();
    }

    /** The last part is read in this turn: it needs no copy, and most answers have no other. */
    @Override
    HttpContent kept(HttpContent content) {
        return content instanceof LastHttpContent ? content : super.kept(content);
    }

    /** What is whole is read in this turn and held by its request from there. */
    @Override
    protected void finishAggregation(FullHttpMessage whole) throws Exception {
        super.finishAggregation(whole);
        budget.release(whole.content().readableBytes());
    }
}
