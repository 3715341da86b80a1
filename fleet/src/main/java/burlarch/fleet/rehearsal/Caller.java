package burlarch.fleet.rehearsal;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client or operator on one connection. */
final class Caller implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 3000;

    private final Socket socket = new Socket();
    private final BufferedInputStream input;

    Caller(InetSocketAddress address) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.connect(address, TIMEOUT_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends one request and reads its answer. */
    HttpMessage ask(String method, String target, String headers, String body) throws IOException {
        send(method, target, headers, body);
        HttpMessage answer = HttpMessage.read(input);
        if (answer == null) {
            throw new EOFException("closed without an answer to " + method + " " + target);
        }
        return answer;
    }

    /** Sends one request; {@code headers} end with a line break each. */
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
