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
 * An end point that distinguishes an orderly end of input from every other one. Jetty's own reports a reset,
 * and a close from this side, as an end of input, which would complete a response that ends with its
 * connection.
 */
final class OrderlyCloseEndPoint extends SocketChannelEndPoint {
    /** Whether the peer has closed its side of the connection in order. */
    private volatile boolean inputEnded;

    OrderlyCloseEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /**
     * Reads the bytes that are available.
     *
     * @return number of bytes added to the buffer, 0 if none are available, -1 only after an orderly end
     * @throws IOException if the connection was reset, or closed from this side
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
