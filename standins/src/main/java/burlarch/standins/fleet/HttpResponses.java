package burlarch.standins.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes the HTTP responses of the platform's protocol. */
final class HttpResponses {
    private HttpResponses() {}

    /** Returns a 200 response; {@code cacheStatus} is the value of X-Cache-Status, or null for no such header. */
    static ByteBuf ok(byte[] body, String cacheStatus) {
        return of("200 OK", cacheStatus == null ? "" : "X-Cache-Status: " + cacheStatus + "\r\n", body);
    }

    /** Returns the response of a cache that does not hold the key. */
    static ByteBuf miss(boolean pending) {
        return of("404 Not Found", "X-Cache-Status: " + (pending ? "pending" : "miss") + "\r\n", new byte[0]);
    }

    static ByteBuf error() {
        return of("500 Internal Server Error", "", new byte[0]);
    }

    /** Returns the response to a request that was rejected before execution. */
    static ByteBuf rejected() {
        return of("503 Service Unavailable", "X-Not-Processed: 1\r\n", new byte[0]);
    }

    /** Returns a response; each line of {@code headers} ends with CR LF. */
    static ByteBuf of(String status, String headers, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(head, body);
    }
}
