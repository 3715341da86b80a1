package burlarch.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Fake engine on loopback: records the bytes of each request and lets a script respond on the raw socket. */
final class ScriptedEngine implements AutoCloseable {
    /** One request as received; {@code connection} is the number of its connection, starting at 1. */
    record Received(String head, byte[] body, int connection) {
        String requestLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }

        /** The value of a header, or null. */
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    /** Script that responds to one request. */
    interface Script {
        void respond(Received received, Socket socket, OutputStream output) throws Exception;
    }

    private final ServerSocket listener;
    private final BlockingQueue<Received> received = new LinkedBlockingQueue<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final AtomicInteger connections = new AtomicInteger();
    private final CopyOnWriteArrayList<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Script script;

    ScriptedEngine(Script script) throws IOException {
        this.script = script;
        this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemonThread(this::accept);
    }

    private static void startDaemonThread(Runnable work) {
        Thread thread = new Thread(work, "fake-engine");
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    void setScript(Script newScript) {
        script = newScript;
    }

    int requests() {
        return requestCount.get();
    }

    int connections() {
        return connections.get();
    }

    Received nextRequest() throws InterruptedException {
        Received next = received.poll(5, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no request was received");
        }
        return next;
    }

    /** Returns a complete response with status 200 and a Content-Length. */
    static String completeResponse(Received received, String extraHeaders, String body) {
        return responseHead(received, 200, extraHeaders + "Content-Length: " + body.length() + "\r\n") + body;
    }

    static String responseHead(Received received, int status, String extraHeaders) {
        return "HTTP/1.1 " + status + " Said\r\nX-Request-Id: " + received.header("X-Request-Id")
                + "\r\nX-Response-Signature: sig." + received.header("X-Request-Id") + "\r\n" + extraHeaders + "\r\n";
    }

    static byte[] latin1(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Resets a connection, as happens when a process crashes. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                int connectionNumber = connections.incrementAndGet();
                startDaemonThread(() -> serve(socket, connectionNumber));
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }

    private void serve(Socket socket, int connectionNumber) {
        try (socket) {
            InputStream input = socket.getInputStream();
            while (!socket.isClosed()) {
                String head = readHead(input);
                if (head == null) {
                    return;
                }
                Received headOnly = new Received(head, new byte[0], connectionNumber);
                String length = headOnly.header("Content-Length");
                byte[] body = length == null ? new byte[0] : input.readNBytes(Integer.parseInt(length));
                Received request = new Received(head, body, connectionNumber);
                requestCount.incrementAndGet();
                received.add(request);
                script.respond(request, socket, socket.getOutputStream());
                socket.getOutputStream().flush();
            }
        } catch (Exception closed) {
            // The peer has disconnected, or the script has failed.
        }
    }

    /** Reads a head up to its empty line. Returns null if the connection ends before that. */
    static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
