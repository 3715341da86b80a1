package burlarch.fleet.training;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Minimal HTTP/1.1 client with one persistent connection. Calls block; not thread-safe. */
final class BlockingHttpClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 3000;

    private final Socket socket = new Socket();
    private final BufferedInputStream input;

    BlockingHttpClient(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.connect(address, TIMEOUT_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Sends one request and reads its response.
     *
     * @throws EOFException if the connection is closed before a response
     */
    HttpMessage call(String method, String target, String headers, String body) throws IOException {
        send(method, target, headers, body);
        HttpMessage response = HttpMessage.read(input);
        if (response == null) {
            throw new EOFException("connection closed before the response to " + method + " " + target);
        }
        return response;
    }

    /** Sends one request without reading the response; each line of {@code headers} ends with CRLF. */
    void send(String method, String target, String headers, String body) throws IOException {
        String text = method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + headers + "Content-Length: "
                + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
