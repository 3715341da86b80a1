package burlarch.router.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * End point that reports end of input only after an orderly close by the peer. Jetty's own end point also reports
 * a reset, and a close by this side, as an end of input. That would complete a response whose end is marked by the
 * end of its connection.
 */
class OrderlyCloseEndPoint extends SocketChannelEndPoint {
    /** Whether the peer has closed its side of the connection in an orderly way. */
    private volatile boolean inputEnded;

    OrderlyCloseEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Tells the connection that a write waits until the peer reads. The selector is told afterwards: it may complete
     * the write at once, and the connection may then carry its next call.
     */
    @Override
    protected void onIncompleteFlush() {
        if (getConnection() instanceof UpstreamConnection connection) {
            connection.onWriteBlocked();
        }
        super.onIncompleteFlush();
    }

    /**
     * Reads the bytes that are available.
     *
     * @return number of bytes added to the buffer, 0 if none are available, -1 only after an orderly close by the peer
     * @throws IOException if the connection was reset, or closed by this side
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (inputEnded) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        int filled;
        try {
            filled = getChannel().read(buffer);
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
        if (filled > 0) {
            notIdle();
        } else if (filled < 0) {
            inputEnded = true;
            shutdownInput();
        }
        return filled;
    }
}
