package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * A server of a service: it accepts connections, answers one request at a time on each, and announces itself to the
 * controllers. It rejects what is meant for another server or has no id, as the pages say.
 */
abstract class ServerStandIn implements AutoCloseable {
    private static final int BACKLOG = 256;

    private final String id;
    private final String service;
    private final String ip;
    private final EventRecord record;
    private final ControlClient control;
    private final ServerSocket listener = new ServerSocket();
    private volatile String state = "ready";
    private volatile boolean announces = true;
    private volatile boolean closed;
    private long sequence;

    ServerStandIn(String id, String service, String ip, EventRecord record, ControlClient control) throws IOException {
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.record = record;
        this.control = control;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), LoopbackNetwork.SERVER_PORT), BACKLOG);
    }

    String id() {
        return id;
    }

    EventRecord record() {
        return record;
    }

    String address() {
        return ip + ":" + LoopbackNetwork.SERVER_PORT;
    }

    /** Returns the JSON list of models of an announcement. */
    String modelsJson() {
        return "[]";
    }

    /** Whether its calls reach the controllers at the moment. */
    boolean reachesControllers() {
        return true;
    }

    /** Returns how many requests it can work on at once. */
    abstract int capacity();

    /** Answers a call below /burlarch/. */
    abstract void answerControlCall(HttpHead head, byte[] body, Connection connection) throws IOException;

    /** Answers a request that is meant for this server. */
    abstract void answerRequest(HttpHead head, byte[] body, Connection connection)
            throws IOException, InterruptedException;

    /** Starts to accept connections and to announce itself. */
    void start() {
        startThread("accept-" + id, this::acceptConnections);
        startThread("beat-" + id, this::sendBeats);
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void sendBeats() {
        try {
            while (announces && !closed) {
                if (reachesControllers()) {
                    control.callUntilAccepted("PUT", path(), nextAnnouncement());
                }
                Thread.sleep(Fleet.HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the path of this server's announcements. */
    String path() {
        return "/burlarch/instances/" + id;
    }

    /** Returns the body of the next announcement, whose sequence is above that of all before. */
    synchronized String nextAnnouncement() {
        sequence++;
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"hall\","
                + "\"config_version\":\"v1\",\"capacity\":" + capacity() + ",\"state\":\"" + state
                + "\",\"warmup_left_ms\":0,\"stage\":\"hybrid\",\"models\":" + modelsJson() + ",\"sequence\":"
                + sequence + "}";
    }

    /** Announces the end and sends no further announcement. Returns whether the end was acknowledged. */
    boolean leave() {
        announces = false;
        return control.callUntilAccepted("DELETE", path(), null);
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                Socket socket = listener.accept();
                startThread("serve-" + id, () -> serve(socket));
            } catch (IOException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Connection connection = new Connection(socket, in);
            for (HttpHead head = HttpHead.read(in); head != null; head = HttpHead.read(in)) {
                byte[] body = head.readRequestBody(in);
                answer(head, body, connection);
                connection.keep();
            }
        } catch (IOException brokenOff) {
            // The router has closed the connection.
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(HttpHead head, byte[] body, Connection connection) throws IOException, InterruptedException {
        if (head.target().startsWith("/burlarch/")) {
            answerControlCall(head, body, connection);
            return;
        }
        String requestId = head.get("X-Request-Id");
        record.add("server %s receives request %s", id, requestId);
        if (requestId == null) {
            connection.send("HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        String target = head.get("X-Target-Instance");
        if (target != null && !target.equals(id)) {
            connection.send(rejection(421, "Misdirected Request", requestId, ""));
            return;
        }
        answerRequest(head, body, connection);
    }

    /** Returns an answer that states that the request was not run. */
    final String rejection(int status, String reason, String requestId, String otherFields) {
        return "HTTP/1.1 " + status + " " + reason + "\r\nX-Request-Id: " + requestId + "\r\nX-Not-Executed: 1\r\n"
                + otherFields + "Keep-Alive: timeout=30\r\nContent-Length: 0\r\n\r\n";
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }

    /** The writing side of one connection. Answers and surplus bytes may come from different threads. */
    static final class Connection {
        private final Socket socket;
        private final InputStream in;
        private final OutputStream out;
        private boolean kept;

        Connection(Socket socket, InputStream in) throws IOException {
            this.socket = socket;
            this.in = in;
            this.out = socket.getOutputStream();
        }

        /** Whether the peer has reset the connection; an orderly end is no reset. Used by the reading thread only. */
        boolean isReset() {
            try {
                socket.setSoTimeout(1);
                in.mark(1);
                in.read();
                in.reset();
                return false;
            } catch (SocketTimeoutException stillOpen) {
                return false;
            } catch (IOException reset) {
                return true;
            } finally {
                endProbe();
            }
        }

        private void endProbe() {
            try {
                socket.setSoTimeout(0);
            } catch (IOException closed) {
                // Nothing is read from it any more.
            }
        }

        /** Records that a request on this connection was answered. */
        void keep() {
            kept = true;
        }

        /** Whether a request was answered on this connection before. */
        boolean isKept() {
            return kept;
        }

        /** Sends bytes at once. */
        synchronized void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
