package burlarch.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * Maintains one outbound connection to an address: reconnects whenever it is lost, until it is stopped.
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
 * <p>In CONNECTING there is a channel that is being connected, and a timer for the connect timeout; in BACKING_OFF
 * there is a timer for the next attempt; in CONNECTED there is a connection, which may still be in its handshake. The
 * backoff is reset only by the peer's Hello, so that it still grows for a peer that accepts connections and closes
 * them immediately.
 *
 * <p>Owned by the event loop; all methods must be called on it.
 */
final class OutboundConnector {
    /** Creates the connection for a connected channel; closes the channel if that fails. */
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

    /** Starts an attempt to connect. */
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

    /**
     * Returns whether the channel is connected to itself: if the target port is in the ephemeral range and unused, the
     * operating system may choose it as the local port as well.
     */
    private static boolean isConnectedToItself(SocketChannel channel) throws IOException {
        return channel.getLocalAddress().equals(channel.getRemoteAddress());
    }

    /** Called when the peer's Hello was received on the connection. */
    void onHandshakeCompleted() {
        backoff.reset();
    }

    /** Returns whether this is the current connection. */
    boolean owns(TcpPeerConnection other) {
        return connection == other;
    }

    /** Called when the connection was closed. */
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

    /** Stops permanently and closes the connection, if any. */
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
