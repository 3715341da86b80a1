package burlarch.router.server;

import burlarch.node.http.BoundedHttpConnection;
import burlarch.node.http.BoundedHttpConnectionFactory;
import burlarch.node.http.ConnectionBounds;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;

/**
 * Factory of client connections, which differ from other bounded connections in two points.
 *
 * <ul>
 *   <li>{@link ClientResponse} does the chunked framing. Jetty sends the line end of a chunk together with the next
 *       chunk, so that a client that waits for the line end would receive each event too late.
 *   <li>A request whose body is truncated by the end of input is never treated as complete.
 * </ul>
 */
public final class ClientConnectionFactory extends BoundedHttpConnectionFactory {
    /** Creates a factory whose connections use the given configuration, including later changes of it. */
    public ClientConnectionFactory(HttpConfiguration configuration, ConnectionBounds bounds) {
        super(configuration, bounds);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(
                new PreFramedConnection(getHttpConfiguration(), connector, endPoint, bounds()), connector, endPoint);
    }

    private static final class PreFramedConnection extends BoundedHttpConnection {
        PreFramedConnection(
                HttpConfiguration configuration, Connector connector, EndPoint endPoint, ConnectionBounds bounds) {
            super(configuration, connector, endPoint, bounds);
        }

        @Override
        protected RequestHandler newRequestHandler() {
            return new TruncationReportingHandler();
        }

        @Override
        protected HttpGenerator newHttpGenerator() {
            return new PreFramedGenerator();
        }

        /**
         * Reports each request whose body is truncated by the end of input. Jetty treats a chunked body as complete
         * if only the last line end is missing, and may end one without an error after the bytes of a chunk.
         */
        private final class TruncationReportingHandler extends BoundedRequestHandler {
            @Override
            public boolean messageComplete() {
                if (getParser().isAtEOF()) {
                    earlyEOF();
                    return false;
                }
                return super.messageComplete();
            }

            @Override
            public void badMessage(HttpException failure) {
                if (getParser().isAtEOF() && getHttpChannel().getRequest() != null) {
                    earlyEOF();
                } else {
                    super.badMessage(failure);
                }
            }
        }
    }

    /** Leaves the body as it is: it is already framed as chunks, which the head announces. */
    private static final class PreFramedGenerator extends HttpGenerator {
        @Override
        public boolean isChunking() {
            return false;
        }
    }
}
