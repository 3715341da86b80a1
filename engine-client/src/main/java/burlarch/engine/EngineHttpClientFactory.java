package burlarch.engine;

import java.util.concurrent.Executor;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.Scheduler;

/** Makes the HTTP client for calls to engines beside requests, from parts that the process has already. */
public final class EngineHttpClientFactory {
    private static final long CONNECT_MILLIS = 800;
    private static final long IDLE_MILLIS = 5_000;
    private static final int CONNECTIONS_PER_ENGINE = 2;

    private EngineHttpClientFactory() {}

    /** A started client. */
    public static HttpClient start(Executor executor, Scheduler scheduler, ByteBufferPool buffers) throws Exception {
        ClientConnector connector = new PlainConnector();
        connector.setSelectors(1);
        connector.setExecutor(executor);
        connector.setScheduler(scheduler);
        connector.setByteBufferPool(buffers);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(executor);
        client.setScheduler(scheduler);
        client.setByteBufferPool(buffers);
        client.setConnectTimeout(CONNECT_MILLIS);
        client.setIdleTimeout(IDLE_MILLIS);
        client.setMaxConnectionsPerDestination(CONNECTIONS_PER_ENGINE);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.start();
        client.getContentDecoderFactories().clear();
        return client;
    }

    /** Engines are called without TLS: its providers and the system's certificates need not load. */
    private static final class PlainConnector extends ClientConnector {
        @Override
        protected SslContextFactory.Client newSslContextFactory() {
            return new SslContextFactory.Client() {
                @Override
                protected void doStart() {}
            };
        }
    }
}
