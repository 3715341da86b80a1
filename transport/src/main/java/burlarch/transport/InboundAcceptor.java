package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * Accepts the connections that other nodes open, up to a limit; connections above the limit are closed immediately.
 *
 * <p>The listening socket is bound by the constructor and closed by {@link #close}. All methods except
 * {@link #address} and {@link #start} must be called on the event loop, which owns the number of open connections.
 */
final class InboundAcceptor {
    /** Creates the connection for an accepted channel. */
    interface ChannelHandler {
        /** Returns false if the channel was closed instead because the peer had already disconnected. */
        boolean open(SocketChannel channel);
    }

    private static final int LISTEN_BACKLOG = 1_024;
    private static final long ACCEPT_RETRY_DELAY_NANOS = 100_000_000;

    private final SelectorEventLoop loop;
    private final int maxConnections;
    private final ChannelHandler channelHandler;
    private final ServerSocketChannel server;
    private final InetSocketAddress address;
    private int openConnections;

    /** @throws IOException if the address cannot be bound */
    InboundAcceptor(SelectorEventLoop loop, InetSocketAddress listen, int maxConnections, ChannelHandler channelHandler)
            throws IOException {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.channelHandler = channelHandler;
        server = ServerSocketChannel.open(StandardProtocolFamily.INET);
        try {
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(listen, LISTEN_BACKLOG);
            address = (InetSocketAddress) server.getLocalAddress();
        } catch (IOException e) {
            server.close();
            throw e;
        }
    }

    /** Returns the listening address. Any thread. */
    InetSocketAddress address() {
        return address;
    }

    /** Starts accepting connections. Any thread. */
    void start() {
        loop.execute(this::register);
    }

    /** Called when an accepted connection was closed. */
    void onConnectionClosed() {
        openConnections--;
    }

    /** Stops accepting; open connections stay open. */
    void close() {
        QuietCloser.close(server);
    }

    private void register() {
        try {
            loop.register(server, SelectionKey.OP_ACCEPT, this::onReady);
        } catch (IOException | RuntimeException e) {
            Logger.error(e, "cannot accept connections: address={}", address);
        }
    }

    private void onReady(SelectionKey key) {
        try {
            acceptAll();
        } catch (IOException e) {
            // Most likely out of file descriptors: an immediate retry would busy-loop.
            Logger.warn("accept failed, pausing: address={} error={}", address, e.getMessage());
            key.interestOps(0);
            loop.schedule(ACCEPT_RETRY_DELAY_NANOS, () -> resume(key));
        }
    }

    private void acceptAll() throws IOException {
        SocketChannel channel = server.accept();
        while (channel != null) {
            if (openConnections >= maxConnections) {
                QuietCloser.close(channel);
            } else if (channelHandler.open(channel)) {
                openConnections++;
            }
            channel = server.accept();
        }
    }

    private static void resume(SelectionKey key) {
        if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
        }
    }
}
