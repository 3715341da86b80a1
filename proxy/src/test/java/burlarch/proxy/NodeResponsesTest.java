package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Malformed responses of nodes, and valid responses followed by unexpected bytes. */
@Timeout(60)
class NodeResponsesTest {
    private static final String VALID_HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";

    @Test
    void informationalResponsesAreSkipped() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response = fixture.read("k");
            FakeServer.Received nodeRequest = fixture.cache.next();
            nodeRequest.write("HTTP/1.1 102 Processing\r\n\r\n");
            nodeRequest.write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + VALID_HEAD + "v");
            assertEquals("v", response.get().body());
            assertEquals(1, fixture.cache.connections.get());
            response = fixture.read("k");
            fixture.cache.next().answer("200 OK", "w");
            assertEquals("w", response.get().body());
            assertEquals(1, fixture.cache.connections.get(), "the connection is reused");
        }
    }

    /** Bytes behind a response would be read as the response to the connection's next call. */
    @Test
    void bytesBehindResponseCloseConnectionAndAreNotServed() throws Exception {
        for (String trailingBytes : List.of(VALID_HEAD + "v", "noise", "HTTP/1.1 200 OK\r\nContent-Le", VALID_HEAD)) {
            try (Fixture fixture = new Fixture()) {
                CompletableFuture<HttpResponse<String>> response = fixture.read("k");
                CompletableFuture<HttpResponse<String>> otherResponse = fixture.read("l");
                FakeServer.Received nodeRequest = fixture.cache.next();
                FakeServer.Received otherNodeRequest = fixture.cache.next();
                nodeRequest.write(VALID_HEAD + nodeRequest.uri.substring(6) + trailingBytes);
                otherNodeRequest.answer("200 OK", otherNodeRequest.uri.substring(6));
                assertEquals("k", response.get().body());
                assertEquals("l", otherResponse.get().body());
                nodeRequest.channel.closeFuture().sync();
                response = fixture.read("m");
                fixture.cache.next().answer("200 OK", "m");
                assertEquals("m", response.get().body());
            }
        }
    }

    @Test
    void bytesOnIdleConnectionCloseIt() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> response = fixture.read("k");
            FakeServer.Received nodeRequest = fixture.cache.next();
            nodeRequest.answer("200 OK", "v");
            assertEquals("v", response.get().body());
            nodeRequest.write("late");
            nodeRequest.channel.closeFuture().sync();
        }
    }

    /** The request may have run: the read is sent to another node, the order fails. */
    @Test
    void malformedResponseFailsAttemptThatMayHaveRun() throws Exception {
        for (String malformed : List.of(
                "\u0001\u0002 noise\r\n\r\n",
                "HTTP/1.1 200\r\n\r\nv",
                "HTTP/1.1 200 OK\r\nno colon\r\nContent-Length: 1\r\n\r\nv",
                "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 8\r\n\r\n12345678",
                "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nv",
                "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nv",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nvvv",
                "HTTP/1.1 200 OK\r\nX-Pad: " + "p".repeat(20_000))) {
            try (Fixture fixture = new Fixture()) {
                CompletableFuture<HttpResponse<String>> order = fixture.send("PUT", "/order/k", "v");
                fixture.origin.next().write(malformed);
                assertEquals(502, order.get().statusCode(), malformed);
                assertTrue(fixture.origin.hasNoRequests(), malformed);
                CompletableFuture<HttpResponse<String>> read = fixture.read("k");
                fixture.cache.next().write(malformed);
                fixture.origin.next().answer("200 OK", "whole");
                assertEquals("whole", read.get().body(), malformed);
            }
        }
    }

    /** Such a response may have been truncated: nothing shows that it is complete. */
    @Test
    void responseDelimitedByConnectionEndIsNotServed() throws Exception {
        try (Fixture fixture = new Fixture()) {
            CompletableFuture<HttpResponse<String>> order = fixture.send("PUT", "/order/k", "v");
            FakeServer.Received nodeRequest = fixture.origin.next();
            nodeRequest.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            nodeRequest.channel.close();
            assertEquals(502, order.get().statusCode());
        }
    }

    /** Some sites have bodies beyond the protocol's 64 KiB: they must be served in full, or at worst not at all. */
    @Test
    void longResponseIsServedInFull() throws Exception {
        for (int length : new int[] {64 * 1024, 64 * 1024 + 4097, 220_000, BodyBudget.MAX_BODY_BYTES}) {
            for (boolean chunked : new boolean[] {false, true}) {
                try (Fixture fixture = new Fixture()) {
                    CompletableFuture<HttpResponse<String>> read = fixture.read("k");
                    String body = longBody(length);
                    if (chunked) {
                        fixture.cache
                                .next()
                                .write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + Integer.toHexString(length) + "\r\n" + body + "\r\n0\r\n\r\n");
                    } else {
                        fixture.cache.next().answer("200 OK", body);
                    }
                    assertEquals(200, read.get().statusCode());
                    assertTrue(read.get().body().equals(body), length + " " + chunked);
                }
            }
        }
    }

    @Test
    void tooLongOrEndlessResponseEndsOnlyItsAttempt() throws Exception {
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        for (String endless : List.of(
                "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\nv",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.repeat(17))) {
            try (Fixture fixture = new Fixture()) {
                CompletableFuture<HttpResponse<String>> read = fixture.read("k");
                FakeServer.Received nodeRequest = fixture.cache.next();
                nodeRequest.writeIfOpen(endless);
                nodeRequest.channel.closeFuture().sync();
                fixture.origin.next().answer("200 OK", "whole");
                assertEquals("whole", read.get().body());
            }
        }
    }

    private static String longBody(int length) {
        StringBuilder body = new StringBuilder(length + 16);
        for (int i = 0; body.length() < length; i++) {
            body.append(i).append(' ');
        }
        body.setLength(length);
        return body.toString();
    }
}
