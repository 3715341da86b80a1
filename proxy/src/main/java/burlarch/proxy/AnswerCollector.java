package burlarch.proxy;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.List;

/**
 * Collects a node's answer. Most bodies are of {@link #ORDINARY} bytes at most, and those always have room.
 * Longer ones come too; what all of them hold beyond that is bounded, as an answer may also never end. One
 * that there is no room for costs its attempt, and its connection.
 */
final class AnswerCollector extends HttpObjectAggregator {
    /** A body's most bytes by the protocol, of which some sites have longer ones. */
    static final int ORDINARY = 64 * 1024;
    static final int LARGEST = 1 << 20;
    /** Twelve of the longest that were seen, at a time; each is held twice while it is written. */
    static final int BEYOND_MOST = 4 << 20;

    /** What is beyond the ordinary, of all answers that are held, whole or in part. */
    private final ByteBudget beyond;
    private int partBytes;
    private int takenBytes;
    private boolean discards;

    AnswerCollector(ByteBudget beyond) {
        super(LARGEST);
        this.beyond = beyond;
    }

    /** Of a body of that length. */
    static int beyondOrdinary(int bytes) {
        return Math.max(0, bytes - ORDINARY);
    }

    @Override
    protected void decode(ChannelHandlerContext context, HttpObject message, List<Object> out)
            throws Exception {
        if (discards) {
            return;
        }
        if (!(message instanceof HttpContent content) || !content.content().isReadable()) {
            super.decode(context, message, out);
            return;
        }
        partBytes += content.content().readableBytes();
        int moreBytes = beyondOrdinary(partBytes) - takenBytes;
        if (!beyond.hasRoomFor(moreBytes)) {
            discards = true;
            context.close();
            return;
        }
        beyond.take(moreBytes);
        takenBytes += moreBytes;
        super.decode(context, RequestCollector.copy(content), out);
    }

    @Override
    protected void finishAggregation(FullHttpMessage whole) throws Exception {
        super.finishAggregation(whole);
        release();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) throws Exception {
        release();
        super.handlerRemoved(context);
    }

    private void release() {
        beyond.release(takenBytes);
        takenBytes = 0;
        partBytes = 0;
    }
}
