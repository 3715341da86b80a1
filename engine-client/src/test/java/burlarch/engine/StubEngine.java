package burlarch.engine;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** HTTP server on loopback that sends prepared responses in order and records the requests. */
final class StubEngine extends Handler.Abstract implements AutoCloseable {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final BlockingQueue<PreparedResponse> preparedResponses = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

    private record PreparedResponse(int status, String body, String requestId) {}

    StubEngine() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    StubEngine respondsWith(int status, String body) {
        preparedResponses.add(new PreparedResponse(status, body, null));
        return this;
    }

    StubEngine respondsWithRequestId(int status, String body, String requestId) {
        preparedResponses.add(new PreparedResponse(status, body, requestId));
        return this;
    }

    /** Returns the next request: method, path with query, Wait-Ms, X-Target-Instance and body, separated by blanks. */
    String nextRequest() throws InterruptedException {
        return requests.poll(5, TimeUnit.SECONDS);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        requests.add((request.getMethod() + " " + request.getHttpURI().getPathQuery() + " "
                        + request.getHeaders().get("Wait-Ms") + " "
                        + request.getHeaders().get("X-Target-Instance")
                        + " " + Content.Source.asString(request))
                .trim());
        PreparedResponse nextResponse = preparedResponses.poll(5, TimeUnit.SECONDS);
        response.setStatus(nextResponse.status());
        if (nextResponse.requestId() != null) {
            response.getHeaders().put("X-Request-Id", nextResponse.requestId());
        }
        response.write(true, ByteBuffer.wrap(nextResponse.body().getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
