package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import java.util.ArrayDeque;

/**
 * The connections of one event loop to one proxy, with a queue of exchanges that wait for a connection. Confined
 * to its event loop.
 */
final class ConnectionPool {
    private static final int MAX_WAITING_EXCHANGES = 200_000;

    final LoadGenerator.Target target;
    private final ClientConnection.Factory factory;
    private final int maxConnections;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private int connections;
    private int connecting;
    private boolean closed;

    ConnectionPool(LoadGenerator.Target target, ClientConnection.Factory factory, int maxConnections) {
        this.target = target;
        this.factory = factory;
        this.maxConnections = maxConnections;
    }

    /**
     * Sends the exchange on the most recently released idle connection, or queues it and opens another connection
     * if the limit allows.
     */
    void dispatch(Exchange exchange) {
        for (ClientConnection connection = idle.pollLast(); connection != null; connection = idle.pollLast()) {
            if (connection.isActive()) {
                connection.send(exchange);
                return;
            }
        }
        if (waiting.size() >= MAX_WAITING_EXCHANGES) {
            exchange.fail(Outcome.UNSENT);
            return;
        }
        waiting.add(exchange);
        connectForWaiting();
    }

    /** Removes a queued exchange that has completed without being sent. */
    void remove(Exchange exchange) {
        waiting.remove(exchange);
    }

    /** Opens a connection before any exchange needs it, if the limit allows. */
    void openIdleConnection() {
        if (connections < maxConnections) {
            connect();
        }
    }

    /** Closes idle connections now and busy ones as they are released. */
    void close() {
        closed = true;
        idle.forEach(ClientConnection::close);
    }

    private void connectForWaiting() {
        if (connecting < waiting.size() && connections < maxConnections) {
            connect();
        }
    }

    private void connect() {
        connections++;
        connecting++;
        factory.connect(this);
    }

    /** A new connection is ready for use. */
    void connected(ClientConnection connection) {
        connecting--;
        release(connection);
    }

    /** A connection attempt failed: the exchange that has waited longest ends as unsent. */
    void connectFailed() {
        connecting--;
        connections--;
        failFirstWaiting();
    }

    /**
     * Like {@link #connectFailed}, for a TCP connection that opened but failed its TLS handshake; its close is
     * reported by {@link #onClosed}.
     */
    void handshakeFailed() {
        connecting--;
        failFirstWaiting();
    }

    private void failFirstWaiting() {
        Exchange first = waiting.poll();
        if (first != null) {
            first.fail(Outcome.UNSENT);
        }
        if (!waiting.isEmpty()) {
            connectForWaiting();
        }
    }

    /** Hands an idle connection to the first waiting exchange, or keeps it for later. */
    void release(ClientConnection connection) {
        Exchange first = waiting.poll();
        if (first != null) {
            connection.send(first);
        } else if (closed) {
            connection.close();
        } else {
            idle.add(connection);
        }
    }

    /** A connection closed. Called before its exchange is resent or failed. */
    void onClosed(ClientConnection connection) {
        connections--;
        idle.remove(connection);
    }

    /** Opens a connection for a waiting exchange in place of one that closed. */
    void reconnectForWaiting() {
        if (!waiting.isEmpty()) {
            connectForWaiting();
        }
    }
}
