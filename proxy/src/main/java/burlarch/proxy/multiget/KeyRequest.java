package burlarch.proxy.multiget;

import burlarch.proxy.Rejection;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** One line of a multi-get request body: a request id and a key, separated by a blank. */
record KeyRequest(String id, String key) {
    /** The key becomes the last segment of a path, so it must not contain a path, query or fragment delimiter. */
    private static final Pattern LINE_PATTERN = Pattern.compile("[!-~]{1,128} [!-~&&[^/?#]]{1,1024}");

    /**
     * Parses a whole body. One invalid line rejects all of it, because the client may have got the others wrong too.
     *
     * @param maxLines maximum number of lines
     * @throws Rejection with status 400 if there are no lines or too many, one is invalid, or an id is repeated
     */
    static List<KeyRequest> parse(String body, int maxLines) throws Rejection {
        // The line terminator of the last line is optional.
        String[] lines = body.split("\r?\n", -1);
        int count = lines[lines.length - 1].isEmpty() ? lines.length - 1 : lines.length;
        if (count == 0 || count > maxLines) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
        List<KeyRequest> keyRequests = new ArrayList<>(count);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < count; i++) {
            int blankIndex = lines[i].indexOf(' ');
            if (!LINE_PATTERN.matcher(lines[i]).matches() || !ids.add(lines[i].substring(0, blankIndex))) {
                throw new Rejection(HttpResponseStatus.BAD_REQUEST);
            }
            keyRequests.add(new KeyRequest(lines[i].substring(0, blankIndex), lines[i].substring(blankIndex + 1)));
        }
        return keyRequests;
    }
}
