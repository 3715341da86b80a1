package burlarch.lab.load;

import burlarch.audit.Digest;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Reads the body of a multi-get's answer: {@code id status length} LF, the body, LF, for each line. */
final class MultiGetAnswer {
    /** One line's end. */
    record Line(int status, long bodyDigest) {}

    private MultiGetAnswer() {}

    /** @return the lines by id, up to the first that can't be read */
    static Map<String, Line> read(byte[] body) {
        Map<String, Line> lines = new HashMap<>();
        int at = 0;
        while (at < body.length) {
            int end = at;
            while (end < body.length && body[end] != '\n') {
                end++;
            }
            String[] head = new String(body, at, end - at, StandardCharsets.US_ASCII).split(" ");
            if (head.length != 3 || !head[1].matches("[0-9]{3}") || !head[2].matches("[0-9]{1,8}")) {
                break;
            }
            int from = end + 1;
            int length = Integer.parseInt(head[2]);
            if (length < 0 || from + length >= body.length || body[from + length] != '\n') {
                break;
            }
            lines.put(
                    head[0],
                    new Line(Integer.parseInt(head[1]), Digest.of(Arrays.copyOfRange(body, from, from + length))));
            at = from + length + 1;
        }
        return lines;
    }
}
