package burlarch.fleet.router;

import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * Makes connections that leave the framing of chunks to {@link ClientAnswer}. Jetty's own framing sends the
 * line end behind a chunk with the next one only: a client that waits for it would see each event too late.
 */
final class FrontConnectionFactory extends HttpConnectionFactory {
    FrontConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(new UnframedConnection(getHttpConfiguration(), connector, endPoint), connector,
                endPoint);
    }

    private static final class UnframedConnection extends HttpConnection {
        UnframedConnection(HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
            super(configuration, connector, endPoint);
        }

        @Override
        protected HttpGenerator newHttpGenerator() {
            return new UnframedGenerator();
        }
    }

    /** Announces chunks in the head, and takes the body as framed already. */
    private static final class UnframedGenerator extends HttpGenerator {
        @Override
        public boolean isChunking() {
            return false;
        }
    }
}
