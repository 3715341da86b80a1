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

/** Sends requests as text over a bare socket on loopback, and tells responses as lines. */
public final class RawHttp {
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final String HEAD_END = "\r\n\r\n";
    private static final String LENGTH = "content-length:";

    private RawHttp() {}

    /**
     * One request on a connection of its own.
     *
     * @param request head and body; the head's lines end with CR and LF
     * @return the status line, the header lines sorted and without {@code Date}, and the body where there is one
     */
    public static List<String> exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.UTF_8));
            out.flush();
            return lines(readMessage(socket.getInputStream()));
        }
    }

    /** Reads one message with a length, head and body. */
    public static String readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!text(bytes).endsWith(HEAD_END)) {
            int next = in.read();
            if (next < 0) {
                return text(bytes);
            }
            bytes.write(next);
        }
        bytes.write(in.readNBytes(bodyLength(text(bytes))));
        return text(bytes);
    }

    /** The first line of a message, its other header lines sorted and without {@code Date}, and its body. */
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
                .filter(line -> line.startsWith(LENGTH))
                .mapToInt(
                        line -> Integer.parseInt(line.substring(LENGTH.length()).strip()))
                .findFirst()
                .orElse(0);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
