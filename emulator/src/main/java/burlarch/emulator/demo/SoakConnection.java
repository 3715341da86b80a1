package burlarch.emulator.demo;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A client's connection to a router, over a plain socket, so that the client decides how long it uses it. One request
 * at a time; not thread-safe.
 */
final class SoakConnection implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int CHUNK_SIZE_RADIX = 16;

    private final Socket socket = new Socket();
    private final InputStream input;

    /**
     * A response.
     *
     * @param complete false if the connection ended within the body
     */
    record Response(int status, Map<String, String> headers, String body, boolean complete) {
        boolean closesConnection() {
            return !complete || "close".equalsIgnoreCase(headers.get("connection"));
        }
    }

    /** Opens a connection. Throws IOException if the router does not accept it. */
    SoakConnection(String ip, int port, int readTimeoutMillis) throws IOException {
        try {
            socket.connect(new InetSocketAddress(ip, port), CONNECT_TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(readTimeoutMillis);
            input = new BufferedInputStream(socket.getInputStream());
        } catch (IOException refused) {
            socket.close();
            throw refused;
        }
    }

    /** Sends a complete request. */
    void send(byte[] request) throws IOException {
        socket.getOutputStream().write(request);
        socket.getOutputStream().flush();
    }

    /**
     * Reads the response to the request that was sent.
     *
     * @param pauseMillis pause after each chunk of the body, as a slow reader makes
     * @throws IOException if the connection ended before the head was complete, or the read timed out
     */
    Response receive(long pauseMillis) throws IOException, InterruptedException {
        String statusLine = readLine();
        int status = Integer.parseInt(statusLine.split(" ")[1]);
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = readBody(headers, body, pauseMillis);
        return new Response(status, headers, body.toString(StandardCharsets.UTF_8), complete);
    }

    private boolean readBody(Map<String, String> headers, ByteArrayOutputStream body, long pauseMillis)
            throws IOException, InterruptedException {
        try {
            if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
                readChunks(body, pauseMillis);
            } else {
                readExactly(Integer.parseInt(headers.getOrDefault("content-length", "0")), body);
            }
            return true;
        } catch (EOFException cut) {
            return false;
        }
    }

    private void readChunks(ByteArrayOutputStream body, long pauseMillis) throws IOException, InterruptedException {
        while (true) {
            int size = Integer.parseInt(readLine().split(";")[0].trim(), CHUNK_SIZE_RADIX);
            readExactly(size, body);
            readLine();
            if (size == 0) {
                return;
            }
            if (pauseMillis > 0) {
                Thread.sleep(pauseMillis);
            }
        }
    }

    private void readExactly(int size, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = input.readNBytes(size);
        body.write(bytes);
        if (bytes.length < size) {
            throw new EOFException("connection ended within a body");
        }
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            if (next == '\n') {
                int length = line.length();
                return length > 0 && line.charAt(length - 1) == '\r' ? line.substring(0, length - 1) : line.toString();
            }
            line.append((char) next);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
