package burlarch.fleet.rehearsal;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What the rehearsal sends requests to: says yes to all, in the forms that engines and plain services use.
 */
final class StandInEngine implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final long HOLD_MILLIS = 200;
    private static final long EVENT_PAUSE_MILLIS = 5;
    private static final int EVENTS = 4;
    /** Every so many plain requests one is turned away. */
    private static final int TURNED_AWAY = 5;

    private final ServerSocket listener;
    private final AtomicInteger plainRequests = new AtomicInteger();
    private final AtomicInteger kvEvents = new AtomicInteger();
    private volatile long version = 1;

    StandInEngine(InetAddress address) throws IOException {
        listener = new ServerSocket(0, BACKLOG, address);
        daemon(this::accept);
    }

    /** IP:PORT. */
    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    /** Version of the weights that it was last ordered to hold. */
    long version() {
        return version;
    }

    private static void daemon(Runnable work) {
        Thread thread = new Thread(work, "stand-in-engine");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket peer = listener.accept();
                daemon(() -> serve(peer));
            }
        } catch (IOException closed) {
            // The rehearsal is over.
        }
    }

    private void serve(Socket peer) {
        try (peer) {
            BufferedInputStream input = new BufferedInputStream(peer.getInputStream());
            for (HttpMessage next = HttpMessage.read(input); next != null; next = HttpMessage.read(input)) {
                answer(next, peer.getOutputStream());
            }
        } catch (IOException closed) {
            // The router has closed it.
        }
    }

    private void answer(HttpMessage request, OutputStream output) throws IOException {
        String target = request.target();
        if (target.startsWith("/burlarch/kv-events")) {
            pause(HOLD_MILLIS);
            int number = kvEvents.incrementAndGet();
            write(
                    output,
                    whole(
                            request,
                            200,
                            "",
                            "{\"epoch\":1,\"next_page_token\":" + number + ",\"lost\":false,\"events\":[[" + number
                                    + ",\"+\",\"s\",\"5c1e\",800,\"m\"]]}"));
        } else if (target.startsWith("/burlarch/report")) {
            write(
                    output,
                    whole(
                            request,
                            200,
                            "",
                            "{\"stage\":\"hybrid\",\"models\":" + models()
                                    + ",\"busy\":false,\"sequence\":0,\"queued\":0,\"running\":0,\"kv_used\":0,"
                                    + "\"kv_total\":90000,\"handles\":0}"));
        } else if (target.startsWith("/burlarch/order")) {
            version = Rehearsal.NAMED_VERSION;
            write(output, whole(request, 202, "", "{}"));
        } else if (target.startsWith("/stream/")) {
            stream(request, output);
        } else if (plainRequests.incrementAndGet() % TURNED_AWAY == 0) {
            write(output, whole(request, 503, "X-Not-Executed: full\r\n", ""));
        } else {
            write(output, whole(request, 200, "X-Server-Load: 1,0,8\r\n", "done"));
        }
    }

    /** What it says of its models, as in announcements and reports. */
    String models() {
        return "[{\"name\":\"m\",\"config_version\":" + version + ",\"adapters\":[]}]";
    }

    private void stream(HttpMessage request, OutputStream output) throws IOException {
        write(
                output,
                head(
                        request,
                        200,
                        "Content-Type: text/event-stream\r\nVersions: " + version
                                + "\r\nTransfer-Encoding: chunked\r\n"));
        for (int id = 1; id <= EVENTS; id++) {
            pause(EVENT_PAUSE_MILLIS);
            String event = "id: " + id + "\ndata: token\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(output, "0\r\n\r\n");
    }

    private static String whole(HttpMessage request, int status, String more, String body) {
        return head(request, status, more + "Content-Length: " + body.length() + "\r\n") + body;
    }

    private static String head(HttpMessage request, int status, String more) {
        String id = request.header("x-request-id");
        return "HTTP/1.1 " + status + " Said\r\n" + (id == null ? "" : "X-Request-Id: " + id + "\r\n")
                + "X-Response-Signature: stamp\r\nKeep-Alive: timeout=10\r\n" + more + "\r\n";
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
