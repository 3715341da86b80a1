package burlarch.standins.fleet;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** The answers of the protocol page, as bytes. */
final class Answers {
    private Answers() {}

    static ByteBuf ok(byte[] body, String cacheStatus) {
        return of("200 OK", cacheStatus == null ? "" : "X-Cache-Status: " + cacheStatus + "\r\n", body);
    }

    static ByteBuf miss(boolean pending) {
        return of("404 Not Found", "X-Cache-Status: " + (pending ? "pending" : "miss") + "\r\n", new byte[0]);
    }

    static ByteBuf error() {
        return of("500 Internal Server Error", "", new byte[0]);
    }

    static ByteBuf turnedAway() {
        return of("503 Service Unavailable", "X-Not-Processed: 1\r\n", new byte[0]);
    }

    static ByteBuf of(String status, String headers, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        return Unpooled.wrappedBuffer(head, body);
    }
}
