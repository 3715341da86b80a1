package burlarch.router;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpGenerator;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * Makes connections that leave the framing of chunks to {@link ClientResponse}, and take no request for whole
 * that its client's end has cut. Jetty's own framing sends the line end behind a chunk with the next one
 * only: a client that waits for it would see each event too late.
 */
final class ClientConnectionFactory extends HttpConnectionFactory {
    ClientConnectionFactory(HttpConfiguration configuration) {
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
            return new WholeRequests();
        }

        @Override
        protected HttpGenerator newHttpGenerator() {
            return new UnframedGenerator();
        }

        /**
         * Tells of each request that the end of input cut within its body. Jetty's own takes a chunked body
         * for whole where only the last line end is missing, and may end one in silence behind a chunk's
         * bytes.
         */
        private final class WholeRequests extends RequestHandler {
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

    /** Announces chunks in the head, and takes the body as framed already. */
    private static final class UnframedGenerator extends HttpGenerator {
        @Override
        public boolean isChunking() {
            return false;
        }
    }
}
