package burlarch.golden;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** HTTP client for tests: sends requests as text over a plain socket on loopback and returns responses as lines. */
public final class RawHttp {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String CONTENT_LENGTH_PREFIX = "content-length:";

    private RawHttp() {}

    /**
     * Sends one request on a connection of its own and reads the response.
     *
     * @param request head and body; the lines of the head end with CR and LF
     * @return the status line, the header lines sorted and without {@code Date}, and the body if there is one
     */
    public static List<String> exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream output = socket.getOutputStream();
            output.write(request.getBytes(StandardCharsets.UTF_8));
            output.flush();
            return lines(readMessage(socket.getInputStream()));
        }
    }

    /**
     * Reads one message: the head, and a body of the length that the head states. If the stream ends within the head,
     * returns what was read.
     */
    public static String readMessage(InputStream input) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!decode(bytes).endsWith(HEAD_END)) {
            int nextByte = input.read();
            if (nextByte < 0) {
                return decode(bytes);
            }
            bytes.write(nextByte);
        }
        bytes.write(input.readNBytes(bodyLength(decode(bytes))));
        return decode(bytes);
    }

    /** Returns the first line of a message, its header lines sorted and without {@code Date}, and its body. */
    public static List<String> lines(String message) {
        int headEnd = message.indexOf(HEAD_END);
        List<String> lines = new ArrayList<>();
        if (headEnd < 0) {
            lines.add("no response");
            return lines;
        }
        List<String> head = message.substring(0, headEnd).lines().toList();
        lines.add(head.get(0));
        head.stream()
                .skip(1)
                .filter(line -> !line.toLowerCase(Locale.ROOT).startsWith("date:"))
                .sorted()
                .forEach(line -> lines.add("  " + line));
        String body = message.substring(headEnd + HEAD_END.length());
        if (!body.isEmpty()) {
            lines.add("  " + body);
        }
        return lines;
    }

    private static int bodyLength(String head) {
        return head.lines()
                .map(line -> line.toLowerCase(Locale.ROOT))
                .filter(line -> line.startsWith(CONTENT_LENGTH_PREFIX))
                .mapToInt(line -> Integer.parseInt(
                        line.substring(CONTENT_LENGTH_PREFIX.length()).strip()))
                .findFirst()
                .orElse(0);
    }

    private static String decode(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
