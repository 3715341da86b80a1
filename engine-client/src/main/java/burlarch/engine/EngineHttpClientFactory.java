package burlarch.engine;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Factory of the HTTP client for control calls to engines and KV stores. The client uses the threads, the scheduler
 * and the buffers that the process has already.
 */
public final class EngineHttpClientFactory {
    private static final long CONNECT_TIMEOUT_MILLIS = 800;
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_CONNECTIONS_PER_ENGINE = 2;

    private EngineHttpClientFactory() {}

    /**
     * Creates and starts a client without TLS, redirects and content decoding; the caller stops it.
     *
     * @throws Exception if the client cannot be started
     */
    public static HttpClient start(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
        ClientConnector connector = new PlaintextConnector();
        connector.setSelectors(1);
        connector.setExecutor(executor);
        connector.setScheduler(scheduler);
        connector.setByteBufferPool(buffers);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(executor);
        client.setScheduler(scheduler);
        client.setByteBufferPool(buffers);
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ENGINE);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.start();
        client.getContentDecoderFactories().clear();
        return client;
    }

    /** Connector without TLS: it loads neither the TLS providers nor the certificates of the system. */
    private static final class PlaintextConnector extends ClientConnector {
        @Override
        protected SslContextFactory.Client newSslContextFactory() {
            return new SslContextFactory.Client() {
                @Override
                protected void doStart() {}
            };
        }
    }
}
