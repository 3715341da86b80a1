package burlarch.lab.load;

import burlarch.audit.Digest;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Parser of multi-get response bodies: for each line {@code id status length} LF, the body, LF. */
final class MultiGetResponse {
    /** Result of one line. */
    record Line(int status, long bodyDigest) {}

    private MultiGetResponse() {}

    /** @return the results by request id, up to the first line that is malformed */
    static Map<String, Line> read(byte[] body) {
        Map<String, Line> lines = new HashMap<>();
        int position = 0;
        while (position < body.length) {
            int headerEnd = position;
            while (headerEnd < body.length && body[headerEnd] != '\n') {
                headerEnd++;
            }
            String[] header = new String(body, position, headerEnd - position, StandardCharsets.US_ASCII).split(" ");
            if (header.length != 3 || !header[1].matches("[0-9]{3}") || !header[2].matches("[0-9]{1,8}")) {
                break;
            }
            int bodyStart = headerEnd + 1;
            int length = Integer.parseInt(header[2]);
            if (length < 0 || bodyStart + length >= body.length || body[bodyStart + length] != '\n') {
                break;
            }
            lines.put(
                    header[0],
                    new Line(
                            Integer.parseInt(header[1]),
                            Digest.of(Arrays.copyOfRange(body, bodyStart, bodyStart + length))));
            position = bodyStart + length + 1;
        }
        return lines;
    }
}
