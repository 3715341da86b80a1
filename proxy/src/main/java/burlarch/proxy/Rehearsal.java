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
 * What a proxy is rehearsed with, on loopback: two caches, an origin and discovery, each a few lines, and one
 * client. Not for service. Every way that a request can go is gone once at least, as what is not loaded here
 * is loaded later, while requests wait.
 */
final class Rehearsal implements AutoCloseable {
    /** Requests of each kind; few, as it is loaded and not compiled here. */
    private static final int ROUNDS = 40;

    private static final String MISS_KEY = "miss";
    private static final String SILENT_KEY = "silent";
    private static final String RESET_KEY = "reset";
    /** The least that the module needs: classes, a tenant and the origin's kind. */
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
    private final String list;

    private Rehearsal() throws IOException {
        StringBuilder instances = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            boolean origin = i == 2;
            ServerSocket node = listen(request -> answer(request, origin));
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
        list = "{\"generation\":41,\"reset\":true,\"instances\":[" + instances + "]}";
    }

    static Rehearsal open() throws IOException {
        return new Rehearsal();
    }

    ProxyConfig config() throws IOException {
        ServerSocket discovery = listen(request -> request.contains("stream=1")
                ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length() + 1)
                        + "\r\n" + list + "\n\r\n1\r\n\n\r\n"
                : "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        return new ProxyConfig(
                "rehearsal",
                new InetSocketAddress(loopback, 0),
                (InetSocketAddress) discovery.getLocalSocketAddress(),
                1,
                ProxyConfig.SOCKETS_LEAST,
                Json.parse(list.getBytes(StandardCharsets.UTF_8)),
                Json.parse(SETTINGS.getBytes(StandardCharsets.UTF_8)));
    }

    /** Asks in all ways, over two connections, and waits for the answers. */
    void play(InetSocketAddress proxy) throws IOException {
        for (int connection = 0; connection < 2; connection++) {
            try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
                client.setTcpNoDelay(true);
                client.setSoTimeout(2000);
                InputStream in = new BufferedInputStream(client.getInputStream());
                for (int i = 0; i < ROUNDS; i++) {
                    String id = "r" + connection + "-" + i;
                    ask(client, in, "GET", "read", "k" + i, id, 500);
                    ask(client, in, "GET", "read", MISS_KEY + i, id + "m", 500);
                    ask(client, in, "PUT", "pay", "k" + i, id + "p", 500);
                }
                ask(client, in, "GET", "read", RESET_KEY, "e" + connection, 500);
                ask(client, in, "GET", "read", SILENT_KEY, "s" + connection, 100);
                ask(client, in, "GET", "read", "k", "h" + connection, 1);
                ask(client, in, "GET", "none", "k", "n" + connection, 500);
            }
        }
        try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
            client.getOutputStream()
                    .write("GET /_health HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            client.getInputStream().readAllBytes();
        }
        // A client that leaves while it waits.
        try (Socket client = new Socket(proxy.getAddress(), proxy.getPort())) {
            write(client, "GET", "read", SILENT_KEY, "l", 500);
        }
    }

    private static void ask(
            Socket client, InputStream in, String method, String kind, String key, String id, int timeoutMs)
            throws IOException {
        write(client, method, kind, key, id, timeoutMs);
        head(in);
    }

    private static void write(Socket client, String method, String kind, String key, String id, int timeoutMs)
            throws IOException {
        client.getOutputStream()
                .write((method + " /" + kind + "/" + key + " HTTP/1.1\r\nHost: r\r\n"
                                + "X-Request-ID: " + id + "\r\nX-Priority-Class: " + kind + "\r\nX-Tenant-Id: t\r\n"
                                + "X-Cost: 1000\r\nX-Timeout-Ms: " + timeoutMs
                                + (method.equals("PUT")
                                        ? "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 2\r\n\r\nok"
                                        : "\r\n\r\n"))
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Null for an end without one, and empty for silence. */
    private static String answer(String request, boolean origin) {
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

    /** What a stand-in says to a request. */
    private interface Party {
        String answer(String request);
    }

    private ServerSocket listen(Party party) throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        daemon(() -> {
            while (!socket.isClosed()) {
                try {
                    Socket peer = socket.accept();
                    daemon(() -> serve(peer, party));
                } catch (IOException e) {
                    return;
                }
            }
        });
        return socket;
    }

    private static void serve(Socket peer, Party party) {
        try (peer) {
            InputStream in = new BufferedInputStream(peer.getInputStream());
            for (String request = head(in); request != null; request = head(in)) {
                String answer = party.answer(request);
                if (answer == null) {
                    peer.setSoLinger(true, 0);
                    return;
                }
                peer.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The proxy has closed it.
        }
    }

    /** Reads one message. @return its head; null at the end */
    private static String head(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || head.indexOf("\r\n\r\n", head.length() - 4) < 0) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        int at = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ");
        if (at >= 0) {
            int from = at + "content-length: ".length();
            in.readNBytes(Integer.parseInt(head.substring(from, head.indexOf("\r", from))));
        }
        return head.toString();
    }

    private static void daemon(Runnable task) {
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
