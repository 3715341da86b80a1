package burlarch.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An end point that tells an orderly end of input from all others. Jetty's own takes a reset, and a close
 * from this side, for an end of input, which would complete an answer that ends with its connection.
 */
final class OrderlyCloseEndPoint extends SocketChannelEndPoint {
    /** Whether the peer has ended its side of the connection in order. */
    private volatile boolean ended;

    OrderlyCloseEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Reads what has come.
     *
     * @return bytes added to the buffer, 0 where there are none yet, -1 after an orderly end only
     * @throws IOException if the connection was reset, or closed from this side
     */
    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (ended) {
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
            ended = true;
            shutdownInput();
        }
        return filled;
    }
}
