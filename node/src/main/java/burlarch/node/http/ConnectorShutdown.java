package burlarch.node.http;

import java.nio.channels.ServerSocketChannel;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.IO;

/** Steps of the graceful shutdown of a Jetty connector that accepts connections on its selector. */
public final class ConnectorShutdown {
    private ConnectorShutdown() {}

    /**
     * Closes the listening socket of a connector without acceptor threads, so that the system refuses new connections.
     * The connections that the connector has accepted stay open. Has no effect if the socket is closed already.
     */
    public static void stopListening(ServerConnector connector) {
        // Without acceptor threads, the connector's own close leaves the server socket open.
        IO.close((ServerSocketChannel) connector.getTransport());
        // The socket keeps listening until its selector runs once more, so wake the selector.
        for (ManagedSelector selector : connector.getContainedBeans(ManagedSelector.class)) {
            selector.submit(ignored -> {});
        }
    }

    /**
     * Closes the connections that the connector has accepted. Without this, their peers wait until the process has
     * exited, which takes a JVM up to 0.3 s in which no thread reads from them.
     */
    public static void closeConnections(ServerConnector connector) {
        for (EndPoint endPoint : connector.getConnectedEndPoints()) {
            endPoint.close();
        }
    }
}
