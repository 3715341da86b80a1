package burlarch.proxy.multiget;

import burlarch.proxy.Rejection;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** One line of a multi-get's body: a request's id and its key. */
record Line(String id, String key) {
    /** The key becomes the last part of a path: what would end it, or begin another part, is not one. */
    private static final Pattern FORM = Pattern.compile("[!-~]{1,128} [!-~&&[^/?#]]{1,1024}");

    /** Reads a whole body; one wrong line spoils it, as its client may have mistaken the others too. */
    static List<Line> parse(String body, int most) throws Rejection {
        // The last line may end like the others or with the body.
        String[] texts = body.split("\r?\n", -1);
        int count = texts[texts.length - 1].isEmpty() ? texts.length - 1 : texts.length;
        if (count == 0 || count > most) {
            throw new Rejection(HttpResponseStatus.BAD_REQUEST);
        }
        List<Line> lines = new ArrayList<>(count);
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < count; i++) {
            int blank = texts[i].indexOf(' ');
            if (!FORM.matcher(texts[i]).matches() || !ids.add(texts[i].substring(0, blank))) {
                throw new Rejection(HttpResponseStatus.BAD_REQUEST);
            }
            lines.add(new Line(texts[i].substring(0, blank), texts[i].substring(blank + 1)));
        }
        return lines;
    }
}
