package burlarch.router;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** HTTP client on a raw socket, which gives access to each byte. */
final class RawClient implements AutoCloseable {
    /** One response; {@code isComplete} is false if it was truncated. */
    record Response(int status, String head, String body, boolean isComplete) {
        String header(String name) {
            for (String line : head.split("\r\n")) {
                if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                    return line.substring(name.length() + 1).trim();
                }
            }
            return null;
        }
    }

    /** Result of a request: the response, or null if the connection ended before the head was complete. */
    record Reply(Response response) {
        /** Status of the response; 0 if there is none. */
        int status() {
            return response == null ? 0 : response.status();
        }

        boolean isCompleteSuccess() {
            return status() == 200 && response.isComplete();
        }
    }

    private static final int TIMEOUT_MILLIS = 10_000;

    private final Socket socket;
    private final InputStream input;

    RawClient(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setSoTimeout(TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        input = socket.getInputStream();
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Response exchange(String text) throws IOException {
        send(text);
        return readResponse();
    }

    /** Sends a request on a connection that may end at any time, and reads the response if there is one. */
    Reply tryExchange(String text) {
        try {
            return new Reply(exchange(text));
        } catch (IOException failure) {
            return new Reply(null);
        }
    }

    String readHead() throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int nextByte = input.read();
            if (nextByte < 0) {
                throw new EOFException("connection closed after: " + head);
            }
            head.write(nextByte);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    Response readResponse() throws IOException {
        String head = readHead();
        Response headOnly = new Response(Integer.parseInt(head.substring(9, 12)), head, "", false);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean isComplete;
        try {
            if (headOnly.header("Transfer-Encoding") != null) {
                while (readChunk(body)) {
                    continue;
                }
                isComplete = true;
            } else {
                int length = Integer.parseInt(headOnly.header("Content-Length"));
                body.write(input.readNBytes(length));
                isComplete = body.size() == length;
            }
        } catch (IOException truncated) {
            isComplete = false;
        }
        return new Response(headOnly.status, head, body.toString(StandardCharsets.ISO_8859_1), isComplete);
    }

    /** Reads one chunk into {@code body}. Returns false for the last chunk. */
    boolean readChunk(ByteArrayOutputStream body) throws IOException {
        int length = Integer.parseInt(readLine(), 16);
        byte[] bytes = input.readNBytes(length);
        body.write(bytes);
        if (bytes.length < length) {
            throw new EOFException();
        }
        readLine();
        return length > 0;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int nextByte = input.read();
            if (nextByte < 0) {
                throw new EOFException();
            }
            if (nextByte == '\n') {
                return line.toString().trim();
            }
            line.append((char) nextByte);
        }
    }

    /** Whether bytes of a response have arrived that were not read yet. */
    boolean hasReceivedBytes() throws IOException {
        return input.available() > 0;
    }

    /** Closes the sending direction; responses can still be received. */
    void shutdownOutput() throws IOException {
        socket.shutdownOutput();
    }

    /** Resets the connection, as happens when a process crashes. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Whether the connection ends without a response or with an error status. */
    boolean endsWithoutSuccess() {
        try {
            return readResponse().status() >= 400;
        } catch (IOException failure) {
            return true;
        }
    }

    /** Whether the router has closed this connection without sending further bytes. */
    boolean isClosedByPeer() throws IOException {
        try {
            return input.read() < 0;
        } catch (java.net.SocketException reset) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
