package burlarch.proxy;

import burlarch.wire.Json;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Workload for the training run that records which classes a proxy loads: two fake caches, a fake origin and a
 * fake discovery service on loopback, and one client. Not used in production. It exercises every path that a
 * request can take at least once, as a class that is not loaded here is loaded later, while requests wait.
 */
final class ClassLoadingWorkload implements AutoCloseable {
    /** Requests of each kind on one connection; few, as classes need to be loaded here, not compiled. */
    private static final int REQUESTS_PER_KIND = 40;

    /** Keys for which the caches respond with 404, never respond, or reset the connection. */
    private static final String MISS_KEY = "miss";

    private static final String SILENT_KEY = "silent";
    private static final String RESET_KEY = "reset";
    /** Minimal settings of the decision module: request classes, a tenant and the origin's machine type. */
    private static final String SETTINGS =
            """
            {"replicas_of_me":1,"membership_mode":"on_request","quantum_ns":5000000,"request_classes":[
            {"name":"read","aim_ns":300000000,"deadline_ns":600000000,"repeat":"pure","worth":1},
            {"name":"pay","aim_ns":300000000,"deadline_ns":600000000,"repeat":"token","key_scope":"all",
            "memory_span_ns":1000000000,"worth":5}],"zones":["a"],
            "tenants":[{"name":"t","fraction":1,"quota_per_s":10}],"models":["cache","origin"],
            "specifics":{"mode":"aside","origin_kind":1},"limits":{"attempts_cap":4,"cancel":true,
            "may_duplicate":false,"retry_after":true,"max_retry_after_ns":2000000000,
            "connect_timeout_ns":250000000,"idle_close_ns":4000000000},
            "obligations":{"cold_from":0.2,"cold_ns":1000000000,"fall_multiple":3,"fall_ns":1000000000}}""";

    private final List<ServerSocket> sockets = new ArrayList<>();
    private final String memberList;

    private ClassLoadingWorkload() throws IOException {
        StringBuilder instances = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            boolean origin = i == 2;
            ServerSocket node = listen(request -> respond(request, origin));
            instances
                    .append(i == 0 ? "" : ",")
                    .append("{\"instanceId\":\"s-")
                    .append(i)
                    .append("\",\"hostPort\":\"")
                    .append(node.getInetAddress().getHostAddress())
                    .append(':')
                    .append(node.getLocalPort())
                    .append("\",\"zone\":\"a\",\"machineType\":\"")
                    .append(origin ? "origin" : "cache")
                    .append("\",\"cell\":0,\"lifecycle\":\"SERVING\",\"weight\":1.0,\"startedAtMs\":0}");
        }
        memberList = "{\"generation\":41,\"reset\":true,\"instances\":[" + instances + "]}";
    }

    /** Starts the fake nodes. */
    static ClassLoadingWorkload open() throws IOException {
        return new ClassLoadingWorkload();
    }

    /** Starts the fake discovery service and returns the configuration of a proxy that uses it. */
    ProxyConfig config() throws IOException {
        ServerSocket discovery = listen(request -> request.contains("stream=1")
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(memberList.length() + 1)
                        + "\r\n" + memberList + "\n\r\n1\r\n\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Length: " + memberList.length() + "\r\n\r\n" + memberList);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        return new ProxyConfig(
                "rehearsal",
                new InetSocketAddress(loopback, 0),
                (InetSocketAddress) discovery.getLocalSocketAddress(),
                1,
                ProxyConfig.MIN_SOCKETS,
                Json.parse(memberList.getBytes(StandardCharsets.UTF_8)),
                Json.parse(SETTINGS.getBytes(StandardCharsets.UTF_8)));
    }

    /** Sends requests of all kinds over two connections and waits for the responses. */
    void play(InetSocketAddress proxy) throws IOException {
        for (int connection = 0; connection < 2; connection++) {
            try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
                client.setTcpNoDelay(true);
                client.setSoTimeout(2000);
                InputStream in = new BufferedInputStream(client.getInputStream());
                for (int i = 0; i < REQUESTS_PER_KIND; i++) {
                    String id = "r" + connection + "-" + i;
                    exchange(client, in, "GET", "read", "k" + i, id, 500);
                    exchange(client, in, "GET", "read", MISS_KEY + i, id + "m", 500);
                    exchange(client, in, "PUT", "pay", "k" + i, id + "p", 500);
                }
                exchange(client, in, "GET", "read", RESET_KEY, "e" + connection, 500);
                exchange(client, in, "GET", "read", SILENT_KEY, "s" + connection, 100);
                exchange(client, in, "GET", "read", "k", "h" + connection, 1);
                exchange(client, in, "GET", "none", "k", "n" + connection, 500);
            }
        }
        try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
            client.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        // A client that disconnects while its request is open.
        try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
            write(client, "GET", "read", SILENT_KEY, "l", 500);
        }
    }

    /** Sends a request and waits for its response. */
    private static void exchange(
            Socket client, InputStream in, String method, String requestClass, String key, String id, int timeoutMs)
            throws IOException {
        write(client, method, requestClass, key, id, timeoutMs);
        readMessage(in);
    }

    private static void write(Socket client, String method, String requestClass, String key, String id, int timeoutMs)
            throws IOException {
        client.getOutputStream()
                .write((method + " /" + requestClass + "/" + key + " HTTP/1.1\r\nHost: r\r\n"
                                + "X-Request-ID: " + id + "\r\nX-Priority-Class: " + requestClass
                                + "\r\nX-Tenant-Id: t\r\n"
                                + "X-Cost: 1000\r\nX-Timeout-Ms: " + timeoutMs
                                + (method.equals("PUT")
                                        ? "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\nok"
                                        : "\r\n\r\n"))
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** A fake node's response: null to reset the connection, empty to send nothing. */
    private static String respond(String request, boolean origin) {
        if (request.contains(SILENT_KEY)) {
            return "";
        }
        if (request.contains(RESET_KEY) && !origin) {
            return null;
        }
        return request.contains(MISS_KEY) && !origin
                ? "HTTP/1.1 404 Not Found\r\nX-Cache: miss\r\nContent-Length: 0\r\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nContent-Length: 2\r\n\r\nok";
    }

    /** Computes a fake server's response to a request: null to reset the connection, empty to send nothing. */
    private interface Responder {
        String respond(String request);
    }

    private ServerSocket listen(Responder responder) throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        startDaemonThread(() -> {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    startDaemonThread(() -> serve(connection, responder));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return socket;
    }

    private static void serve(Socket connection, Responder responder) {
        try (connection) {
            InputStream in = new BufferedInputStream(connection.getInputStream());
            for (String request = readMessage(in); request != null; request = readMessage(in)) {
                String response = responder.respond(request);
                if (response == null) {
                    connection.setSoLinger(true, 0);
                    return;
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }

    /**
     * Reads one message with its body.
     *
     * @return its head; null at the end of the stream
     */
    private static String readMessage(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || head.indexOf("\r\n\r\n", head.length() - 4) < 0) {
            int nextByte = in.read();
            if (nextByte < 0) {
                return null;
            }
            head.append((char) nextByte);
        }
        int headerStart = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        if (headerStart >= 0) {
            int valueStart = headerStart + "content-length: ".length();
            in.readNBytes(Integer.parseInt(head.substring(valueStart, head.indexOf("\r", valueStart))));
        }
        return head.toString();
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "burlarch-rehearsal");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }
}
