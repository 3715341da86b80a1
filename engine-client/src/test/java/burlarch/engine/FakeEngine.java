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

/** A server on loopback that gives prepared answers in turn and keeps what it was asked. */
final class FakeEngine extends Handler.Abstract implements AutoCloseable {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final BlockingQueue<Prepared> prepared = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> asked = new LinkedBlockingQueue<>();

    private record Prepared(int status, String body, String requestId) {}

    FakeEngine() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(this);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    FakeEngine answers(int status, String body) {
        prepared.add(new Prepared(status, body, null));
        return this;
    }

    FakeEngine answersAnother(int status, String body, String requestId) {
        prepared.add(new Prepared(status, body, requestId));
        return this;
    }

    /** The next call: method, path with query, Wait-Ms, X-Target-Instance and body, by blanks. */
    String asked() throws InterruptedException {
        return asked.poll(5, TimeUnit.SECONDS);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        asked.add((request.getMethod() + " " + request.getHttpURI().getPathQuery() + " "
                        + request.getHeaders().get("Wait-Ms") + " "
                        + request.getHeaders().get("X-Target-Instance")
                        + " " + Content.Source.asString(request))
                .trim());
        Prepared answer = prepared.poll(5, TimeUnit.SECONDS);
        response.setStatus(answer.status());
        if (answer.requestId() != null) {
            response.getHeaders().put("X-Request-Id", answer.requestId());
        }
        response.write(true, ByteBuffer.wrap(answer.body().getBytes(StandardCharsets.UTF_8)), callback);
        return true;
    }

    @Override
    public void close() throws Exception {
        server.stop();
    }
}
