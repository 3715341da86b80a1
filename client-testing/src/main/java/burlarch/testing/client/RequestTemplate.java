package burlarch.testing.client;

import java.util.function.IntFunction;

/**
 * An ordinary request to one port, which a {@link Misbehavior} makes odd.
 *
 * @param path target of the request
 * @param headerLines the lines that an ordinary request has, each with its line end, by the number of the request
 * @param maxHeadBytes size limit of a head that the port accepts
 */
public record RequestTemplate(String path, IntFunction<String> headerLines, int maxHeadBytes) {
    /** Returns the head up to the last ordinary line, without the empty line that ends it. */
    String head(String method, int number) {
        return method + " " + path + " HTTP/1.1\r\n" + headerLines.apply(number);
    }
}
