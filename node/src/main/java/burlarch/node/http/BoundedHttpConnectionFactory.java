package burlarch.node.http;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/** Factory of {@link BoundedHttpConnection}s that share their bounds. */
public class BoundedHttpConnectionFactory extends HttpConnectionFactory {
    private final ConnectionBounds bounds;

    /** Creates a factory whose connections use the given configuration, including later changes of it. */
    public BoundedHttpConnectionFactory(HttpConfiguration configuration, ConnectionBounds bounds) {
        super(configuration);
        this.bounds = bounds;
    }

    /** The bounds that all connections of this factory share. */
    protected final ConnectionBounds bounds() {
        return bounds;
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(
                new BoundedHttpConnection(getHttpConfiguration(), connector, endPoint, bounds), connector, endPoint);
    }
}
