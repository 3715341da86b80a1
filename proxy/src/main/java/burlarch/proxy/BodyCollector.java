package burlarch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Aggregates an HTTP message and its body, within a memory budget that it shares with other connections. */
abstract class BodyCollector extends HttpObjectAggregator {
    final BodyBudget budget;
    /** Bytes received of the body that is not complete yet. */
    private int incompleteBytes;

    private boolean inBody;
    private boolean discarding;

    BodyCollector(BodyBudget budget) {
        super(BodyBudget.MAX_BODY_BYTES);
        this.budget = budget;
    }

    /** Called when the budget has no room for the rest of a body; what was received of it has been dropped. */
    abstract void onBudgetExceeded(ChannelHandlerContext context);

    /** Whether a message head was received whose body is not complete. */
    final boolean inBody() {
        return inBody;
    }

    /** Drops the incomplete body, and everything that is received from now on. */
    final void discard() {
        discarding = true;
        dropIncompleteBody();
    }

    @Override
    protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> out) throws Exception {
        if (discarding) {
            return;
        }
        if (!inBody
                || !(message instanceof HttpContent content)
                || !content.content().isReadable()) {
            super.decode(context, message, out);
            return;
        }
        int grownBytes = incompleteBytes + content.content().readableBytes();
        if (!budget.grow(incompleteBytes, grownBytes)) {
            discard();
            onBudgetExceeded(context);
            return;
        }
        incompleteBytes = grownBytes;
        super.decode(context, retainable(content), out);
    }

    /**
     * Copies a part of a body to the heap: a slice would retain the direct buffer of the whole read until the
     * body is complete.
     */
    HttpContent retainable(HttpContent content) {
        ByteBuf bytes = Unpooled.copiedBuffer(content.content());
        HttpContent copy =
                content instanceof LastHttpContent ? new DefaultLastHttpContent(bytes) : new DefaultHttpContent(bytes);
        copy.setDecoderResult(content.decoderResult());
        return copy;
    }

    @Override
    protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
        inBody = true;
        return super.beginAggregation(start, content);
    }

    @Override
    protected void finishAggregation(FullHttpMessage message) throws Exception {
        super.finishAggregation(message);
        inBody = false;
        // From here on the owner of the message has to release the bytes from the budget.
        incompleteBytes = 0;
    }

    private void dropIncompleteBody() {
        budget.release(incompleteBytes);
        incompleteBytes = 0;
        inBody = false;
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) throws Exception {
        dropIncompleteBody();
        super.handlerRemoved(context);
    }
}
