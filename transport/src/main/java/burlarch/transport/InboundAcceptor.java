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
 * Accepts the connections that other nodes open, up to a bound; those above it are closed at once.
 *
 * <p>The listening socket is bound by the constructor and closed by {@link #close}. Everything but {@link #address} and
 * {@link #start} belongs to the event loop, which owns the count of open connections.
 */
final class InboundAcceptor {
    /** Makes a connection of an accepted channel. */
    interface Handler {
        /** Returns false if the channel was closed instead, as its peer had gone already. */
        boolean open(SocketChannel channel);
    }

    private static final int LISTEN_BACKLOG = 1_024;
    private static final long ACCEPT_PAUSE_NANOS = 100_000_000;

    private final SelectorEventLoop loop;
    private final int maxConnections;
    private final Handler handler;
    private final ServerSocketChannel server;
    private final InetSocketAddress address;
    private int openConnections;

    /** @throws IOException if the address cannot be listened on */
    InboundAcceptor(SelectorEventLoop loop, InetSocketAddress listen, int maxConnections, Handler handler)
            throws IOException {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.handler = handler;
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

    /** Returns the address that is listened on. Any thread. */
    InetSocketAddress address() {
        return address;
    }

    /** Begins to accept. Any thread. */
    void start() {
        loop.execute(this::register);
    }

    /** A connection that was accepted is closed. */
    void onConnectionClosed() {
        openConnections--;
    }

    /** Accepts no more; connections that are open stay so. */
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
            // Most likely out of file descriptors: trying again at once would only spin.
            Logger.warn("accept failed, pausing: address={} error={}", address, e.getMessage());
            key.interestOps(0);
            loop.schedule(ACCEPT_PAUSE_NANOS, () -> resume(key));
        }
    }

    private void acceptAll() throws IOException {
        SocketChannel channel = server.accept();
        while (channel != null) {
            if (openConnections >= maxConnections) {
                QuietCloser.close(channel);
            } else if (handler.open(channel)) {
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
