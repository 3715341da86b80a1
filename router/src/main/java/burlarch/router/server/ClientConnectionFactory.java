package burlarch.router.server;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * Creates client connections that differ from Jetty's in two points.
 *
 * <ul>
 *   <li>The chunked framing is left to {@link ClientResponse}. Jetty sends the line end of a chunk together
 *       with the next chunk: a client that waits for it would receive each event too late.
 *   <li>A request whose body was cut off by the end of input is never taken for complete.
 * </ul>
 */
public final class ClientConnectionFactory extends HttpConnectionFactory {
    /** A factory whose connections follow that configuration, also when it changes later. */
    public ClientConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        return configure(new UnframedConnection(getHttpConfiguration(), connector, endPoint), connector, endPoint);
    }

    private static final class UnframedConnection extends HttpConnection {
        UnframedConnection(HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
            super(configuration, connector, endPoint);
        }

        @Override
        protected RequestHandler newRequestHandler() {
            return new CompleteRequests();
        }

        @Override
        protected HttpGenerator newHttpGenerator() {
            return new UnframedGenerator();
        }

        /**
         * Reports each request that the end of input has cut off within its body. Jetty takes a chunked body
         * for complete if only the last line end is missing, and may end one silently after the bytes of a
         * chunk.
         */
        private final class CompleteRequests extends RequestHandler {
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

    /** Announces chunks in the head, and expects a body that is already framed. */
    private static final class UnframedGenerator extends HttpGenerator {
        @Override
        public boolean isChunking() {
            return false;
        }
    }
}
