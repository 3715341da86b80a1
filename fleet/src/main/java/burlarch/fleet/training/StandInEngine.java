package burlarch.fleet.training;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Minimal HTTP server that acts as an engine and as a plain service in the training run. It rejects some plain
 * requests, so that the router's retry path runs, and serves all others. It uses one daemon thread per connection.
 */
final class StandInEngine implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final long KV_EVENTS_DELAY_MILLIS = 200;
    private static final long TOKEN_INTERVAL_MILLIS = 5;
    private static final int TOKENS_PER_STREAM = 4;
    /** One in this number of plain requests is rejected as not executed. */
    private static final int REJECTION_INTERVAL = 5;

    private final ServerSocket listener;
    private final AtomicInteger plainRequests = new AtomicInteger();
    private final AtomicInteger kvEvents = new AtomicInteger();
    private volatile long version = 1;

    StandInEngine(InetAddress address) throws IOException {
        listener = new ServerSocket(0, BACKLOG, address);
        startDaemon(this::accept);
    }

    /** The address that it listens on, as IP:PORT. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Weights version of the last order; 1 before the first one. */
    long version() {
        return version;
    }

    private static void startDaemon(Runnable work) {
        Thread thread = new Thread(work, "stand-in-engine");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                startDaemon(() -> serve(connection));
            }
        } catch (IOException closed) {
            // close() was called at the end of the run.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedInputStream input = new BufferedInputStream(connection.getInputStream());
            for (HttpMessage request = HttpMessage.read(input); request != null; request = HttpMessage.read(input)) {
                respond(request, connection.getOutputStream());
            }
        } catch (IOException closed) {
            // The router closed the connection.
        }
    }

    private void respond(HttpMessage request, OutputStream output) throws IOException {
        String target = request.target();
        if (target.startsWith("/burlarch/kv-events")) {
            pause(KV_EVENTS_DELAY_MILLIS);
            int number = kvEvents.incrementAndGet();
            write(
                    output,
                    completeResponse(
                            request,
                            200,
                            "",
                            "{\"epoch\":1,\"next_page_token\":" + number + ",\"lost\":false,\"events\":[[" + number
                                    + ",\"+\",\"s\",\"5c1e\",800,\"m\"]]}"));
        } else if (target.startsWith("/burlarch/report")) {
            write(
                    output,
                    completeResponse(
                            request,
                            200,
                            "",
                            "{\"stage\":\"hybrid\",\"models\":" + models()
                                    + ",\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,"
                                    + "\"kv_total\":90000,\"handles\":0}"));
        } else if (target.startsWith("/burlarch/order")) {
            version = ArchiveTrainingRun.NAMED_VERSION;
            write(output, completeResponse(request, 202, "", "{}"));
        } else if (target.startsWith("/stream/")) {
            stream(request, output);
        } else if (plainRequests.incrementAndGet() % REJECTION_INTERVAL == 0) {
            write(output, completeResponse(request, 503, "X-Not-Executed: full\r\n", ""));
        } else {
            write(output, completeResponse(request, 200, "X-Server-Load: 1,0,8\r\n", "done"));
        }
    }

    /** The JSON list of its models for heartbeats and reports. */
    String models() {
        return "[{\"name\":\"m\",\"config_version\":" + version + ",\"adapters\":[]}]";
    }

    private void stream(HttpMessage request, OutputStream output) throws IOException {
        write(
                output,
                responseHead(
                        request,
                        200,
                        "Content-Type: text/event-stream\r\nVersions: " + version
                                + "\r\nTransfer-Encoding: chunked\r\n"));
        for (int id = 1; id <= TOKENS_PER_STREAM; id++) {
            pause(TOKEN_INTERVAL_MILLIS);
            String event = "id: " + id + "\ndata: token\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(output, "0\r\n\r\n");
    }

    private static String completeResponse(HttpMessage request, int status, String extraHeaders, String body) {
        return responseHead(request, status, extraHeaders + "Content-Length: " + body.length() + "\r\n") + body;
    }

    private static String responseHead(HttpMessage request, int status, String extraHeaders) {
        String id = request.header("x-request-id");
        return "HTTP/1.1 " + status + " Said\r\n" + (id == null ? "" : "X-Request-Id: " + id + "\r\n")
                + "X-Response-Signature: stamp\r\nKeep-Alive: timeout=10\r\n" + extraHeaders + "\r\n";
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
