package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client of the fleet: each try has an id and a connection of its own. */
final class FleetClient {
    private static final int CONNECT_MILLIS = 1000;

    private final EventRecord record;

    FleetClient(EventRecord record) {
        this.record = record;
    }

    /**
     * What a client got for one try.
     *
     * @param status of the answer; 0 if the connection ended without one
     * @param complete whether the whole answer arrived
     * @param timedOut whether the client waited in vain until its deadline
     */
    record Answer(int status, boolean complete, boolean timedOut) {}

    /** Sends one try and waits for its answer. */
    Answer send(
            InetSocketAddress router, String host, String path, String requestId, long deadlineMillis, String fields) {
        int status = 0;
        boolean complete = false;
        boolean timedOut = false;
        record.add("client sends request %s to %s", requestId, router.getHostString());
        try (Socket socket = new Socket()) {
            socket.connect(router, CONNECT_MILLIS);
            socket.setSoTimeout((int) deadlineMillis);
            byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
            String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + requestId
                    + "\r\nX-Request-Deadline: " + deadlineMillis + "\r\n" + fields + "Content-Length: " + body.length
                    + "\r\n\r\n{}";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            HttpHead answer = HttpHead.read(in);
            if (answer != null) {
                status = answer.status();
                answer.readResponseBody(in);
                complete = true;
            }
        } catch (SocketTimeoutException late) {
            timedOut = true;
        } catch (IOException brokenOff) {
            // The answer stays incomplete.
        }
        record.add("client got %d for request %s%s", status, requestId, complete ? "" : ", not whole");
        return new Answer(status, complete, timedOut);
    }
}
