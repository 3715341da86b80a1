package burlarch.review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a router: HTTP/1.1, one request at a time. Used by one thread. */
final class ClientConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /**
     * How a request ended.
     *
     * @param status of the answer, 0 if none began
     * @param complete whether the answer was complete
     */
    record Outcome(int status, boolean complete) {}

    private final Socket socket = new Socket();
    private final InputStream input;

    /** Connects to a router's address for clients. */
    ClientConnection(String ip) throws IOException {
        socket.connect(new InetSocketAddress(ip, LoopbackSubnet.FRONT_PORT), CONNECT_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends the head of a POST request, which announces a body of the given length. */
    void sendHead(String host, String path, String requestId, int bodyBytes, long deadlineMillis)
            throws IOException {
        String head = "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + requestId
                + "\r\nX-Request-Deadline: " + deadlineMillis + "\r\nX-Credential: " + CaseConfiguration.API_KEY
                + "\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
        sendBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Sends bytes of a body. */
    void sendBytes(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads an answer to its end. A connection that closes early gives an incomplete outcome. */
    Outcome readAnswer(int timeoutMillis) {
        int status = 0;
        try {
            socket.setSoTimeout(timeoutMillis);
            String statusLine = readLine();
            status = Integer.parseInt(statusLine.split(" ")[1]);
            int length = 0;
            boolean chunked = false;
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                String lowerCase = line.toLowerCase(Locale.ROOT);
                chunked |= lowerCase.equals("transfer-encoding: chunked");
                length = lowerCase.startsWith("content-length:") ? Integer.parseInt(line.substring(15).trim()) : length;
            }
            readBody(chunked, length);
            return new Outcome(status, true);
        } catch (IOException closed) {
            return new Outcome(status, false);
        }
    }

    private void readBody(boolean chunked, int length) throws IOException {
        if (!chunked) {
            skip(length);
            return;
        }
        int chunk;
        do {
            chunk = Integer.parseInt(readLine(), 16);
            skip(chunk);
            readLine();
        } while (chunk > 0);
    }

    private void skip(int bytes) throws IOException {
        if (input.readNBytes(bytes).length < bytes) {
            throw new EOFException("connection closed within the body");
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
