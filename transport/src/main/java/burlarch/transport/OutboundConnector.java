package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/** Keeps an outgoing connection to one address: connects again whenever it is down, until it is stopped. */
final class OutboundConnector {
    /** Makes a connection of a channel that has come about. */
    interface Connector {
        TcpPeerConnection open(SocketChannel channel) throws IOException;
    }

    private final SelectorEventLoop loop;
    private final TransportSettings settings;
    private final InetSocketAddress address;
    private final Connector connector;
    private SocketChannel attempt;
    private TcpPeerConnection connection;
    private SelectorEventLoop.Timer timer;
    private long retryNanos;
    private boolean stopped;

    OutboundConnector(
            SelectorEventLoop loop, TransportSettings settings, InetSocketAddress address, Connector connector) {
        this.loop = loop;
        this.settings = settings;
        this.address = address;
        this.connector = connector;
        retryNanos = settings.minBackoffNanos();
    }

    void start() {
        try {
            attempt = SocketChannel.open(StandardProtocolFamily.INET);
            attempt.configureBlocking(false);
            if (attempt.connect(address)) {
                connected();
            } else {
                loop.register(attempt, SelectionKey.OP_CONNECT, this::ready);
                timer = loop.schedule(settings.connectTimeoutNanos(), this::retry);
            }
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "No connection to {}", address);
            retry();
        }
    }

    private void ready(SelectionKey key) {
        try {
            if (attempt.finishConnect()) {
                connected();
            }
        } catch (IOException e) {
            retry();
        }
    }

    private void connected() throws IOException {
        if (attempt.getLocalAddress().equals(attempt.getRemoteAddress())) {
            // A port from the system's range that nobody listens on can be given to this end itself.
            retry();
            return;
        }
        cancelTimer();
        SocketChannel channel = attempt;
        attempt = null;
        connection = connector.open(channel);
    }

    /** The peer has said Hello. */
    void opened() {
        retryNanos = settings.minBackoffNanos();
    }

    boolean owns(TcpPeerConnection other) {
        return connection == other;
    }

    /** Its connection is closed. */
    void closed() {
        connection = null;
        retry();
    }

    private void retry() {
        dropAttempt();
        if (!stopped) {
            long half = retryNanos / 2;
            timer = loop.schedule(half + ThreadLocalRandom.current().nextLong(half + 1), this::start);
            retryNanos = Math.min(2 * retryNanos, settings.maxBackoffNanos());
        }
    }

    /** For good; closes what it has. */
    void stop() {
        stopped = true;
        dropAttempt();
        if (connection != null) {
            connection.close();
        }
    }

    private void dropAttempt() {
        cancelTimer();
        if (attempt != null) {
            SelectorEventLoop.closeQuietly(attempt);
            attempt = null;
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
