package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * Keeps one outbound connection to an address: connects again whenever it is lost, until it is stopped.
 *
 * <p><b>States.</b> {@link State#after} is the only transition function:
 *
 * <pre>
 *   state         attempt begins   established   failed or lost   stop
 *   BACKING_OFF   CONNECTING       -             BACKING_OFF      STOPPED
 *   CONNECTING    -                CONNECTED     BACKING_OFF      STOPPED
 *   CONNECTED     -                -             BACKING_OFF      STOPPED
 *   STOPPED       STOPPED          STOPPED       STOPPED          STOPPED
 * </pre>
 *
 * <p>In CONNECTING there is a channel that connects, and a timer that gives it up; in BACKING_OFF a timer that begins
 * the next attempt; in CONNECTED a connection, which may still be in its handshake. The delay between attempts starts
 * again from the shortest one only after a peer's Hello: a peer that accepts and closes at once is not asked ever
 * faster.
 *
 * <p>Owned by the event loop; every method belongs to it.
 */
final class OutboundConnector {
    /** Makes a connection of a connected channel, which it closes if that fails. */
    interface ConnectionFactory {
        TcpPeerConnection open(SocketChannel channel) throws IOException;
    }

    private enum State {
        BACKING_OFF,
        CONNECTING,
        CONNECTED,
        STOPPED;

        State after(Event event) {
            if (this == STOPPED) {
                return STOPPED;
            }
            return switch (event) {
                case ATTEMPT_BEGINS -> CONNECTING;
                case ESTABLISHED -> CONNECTED;
                case FAILED_OR_LOST -> BACKING_OFF;
                case STOP -> STOPPED;
            };
        }
    }

    private enum Event {
        ATTEMPT_BEGINS,
        ESTABLISHED,
        FAILED_OR_LOST,
        STOP
    }

    private final SelectorEventLoop loop;
    private final long connectTimeoutNanos;
    private final InetSocketAddress address;
    private final ConnectionFactory factory;
    private final ReconnectBackoff backoff;
    private State state = State.BACKING_OFF;
    private SocketChannel connectingChannel;
    private TcpPeerConnection connection;
    private EventLoop.Timer timer;

    OutboundConnector(
            SelectorEventLoop loop, TransportSettings settings, InetSocketAddress address, ConnectionFactory factory) {
        this.loop = loop;
        this.address = address;
        this.factory = factory;
        connectTimeoutNanos = settings.connectTimeoutNanos();
        backoff = new ReconnectBackoff(settings.minBackoffNanos(), settings.maxBackoffNanos());
    }

    /** Begins an attempt to connect. */
    void start() {
        state = state.after(Event.ATTEMPT_BEGINS);
        try {
            connectingChannel = SocketChannel.open(StandardProtocolFamily.INET);
            connectingChannel.configureBlocking(false);
            if (connectingChannel.connect(address)) {
                onChannelConnected();
            } else {
                loop.register(connectingChannel, SelectionKey.OP_CONNECT, this::onReady);
                timer = loop.schedule(connectTimeoutNanos, this::retryLater);
            }
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "connect failed: peer={}", address);
            retryLater();
        }
    }

    private void onReady(SelectionKey key) {
        try {
            if (connectingChannel.finishConnect()) {
                onChannelConnected();
            }
        } catch (IOException | RuntimeException e) {
            Logger.debug(e, "connect failed: peer={}", address);
            retryLater();
        }
    }

    private void onChannelConnected() throws IOException {
        if (isConnectedToItself(connectingChannel)) {
            retryLater();
            return;
        }
        cancelTimer();
        SocketChannel channel = connectingChannel;
        connectingChannel = null;
        connection = factory.open(channel);
        state = state.after(Event.ESTABLISHED);
    }

    /** If the target port is in the ephemeral range and unused, the system may choose it as the local port as well. */
    private static boolean isConnectedToItself(SocketChannel channel) throws IOException {
        return channel.getLocalAddress().equals(channel.getRemoteAddress());
    }

    /** The peer has said Hello on the connection. */
    void onHandshakeCompleted() {
        backoff.reset();
    }

    /** Returns whether this is the present connection. */
    boolean owns(TcpPeerConnection other) {
        return connection == other;
    }

    /** The connection is closed. */
    void onConnectionClosed() {
        connection = null;
        retryLater();
    }

    private void retryLater() {
        abandonAttempt();
        state = state.after(Event.FAILED_OR_LOST);
        if (state == State.BACKING_OFF) {
            timer = loop.schedule(backoff.nextDelayNanos(), this::start);
        }
    }

    /** Ends this for good and closes the connection, if any. */
    void stop() {
        state = state.after(Event.STOP);
        abandonAttempt();
        if (connection != null) {
            connection.close();
        }
    }

    private void abandonAttempt() {
        cancelTimer();
        if (connectingChannel != null) {
            QuietCloser.close(connectingChannel);
            connectingChannel = null;
        }
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
            timer = null;
        }
    }
}
