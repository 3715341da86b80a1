package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The proxy itself rejects invalid requests: none of them reaches the decision policy or a node. */
@Timeout(60)
class BadInputTest {
    private static Fixture proxy;

    @BeforeAll
    static void start() throws Exception {
        proxy = new Fixture();
    }

    @AfterEach
    void assertNothingForwarded() {
        assertTrue(proxy.cache.hasNoRequests());
        assertTrue(proxy.origin.hasNoRequests());
    }

    @AfterAll
    static void stop() {
        proxy.close();
    }

    /**
     * Text of a valid request with the given headers ({@code "Name: value"}). A given header replaces the default
     * of that name or is added; one without a value ({@code "Name:"}) removes the default.
     */
    static String request(String method, String path, String body, String... headers) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: x\r\n");
        String[] defaultHeaders = {
            "X-Request-ID: raw-" + path, "X-Tenant-Id: acme", "X-Timeout-Ms: 15000", "Content-Length: " + body.length()
        };
        for (String header : defaultHeaders) {
            String name = header.substring(0, header.indexOf(':') + 1);
            boolean replaced = false;
            for (String givenHeader : headers) {
                replaced |= givenHeader.startsWith(name);
            }
            text.append(replaced ? "" : header + "\r\n");
        }
        for (String header : headers) {
            text.append(header.endsWith(":") ? "" : header + "\r\n");
        }
        return text + "\r\n" + body;
    }

    private static int status(String text) throws IOException {
        String answer = proxy.raw(text);
        assertTrue(answer.startsWith("HTTP/1.1 "), "response: " + answer);
        return Integer.parseInt(answer.substring(9, 12));
    }

    private static int status(String method, String path, String... headers) throws IOException {
        String[] headersWithClose = Arrays.copyOf(headers, headers.length + 1);
        headersWithClose[headers.length] = "Connection: close";
        return status(request(method, path, "", headersWithClose));
    }

    @Test
    void malformedRequestsAreAnswered400() throws IOException {
        assertEquals(400, status("nonsense\r\n\r\n"));
        assertEquals(400, status("GET /look/k HTTP/1.1\r\nno colon here\r\n\r\n"));
    }

    /** Guards against request smuggling: two implementations would disagree on where the body ends. */
    @Test
    void ambiguousFramingIsAnswered400AndCloses() throws IOException {
        String smuggledRequest = BadInputTest.request("GET", "/look/hidden", "");
        String[] framings = {
            "Content-Length: 4\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: xchunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            "Content-Length: 4\r\nContent-Length: 5",
            "Content-Length: -1",
            "Content-Length: 4x",
            "Content-Length: 99999999999999999999"
        };
        for (String framing : framings) {
            String answer = proxy.raw("PUT /order/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: framed\r\n"
                    + "X-Timeout-Ms: 15000\r\n" + framing + "\r\n\r\n0\r\n\r\n" + smuggledRequest);
            assertTrue(answer.startsWith("HTTP/1.1 400 "), framing + ": " + answer);
            assertEquals(2, answer.split("HTTP/1.1 ").length, framing + ": " + answer);
        }
    }

    @Test
    void oversizedHeadIsAnswered431() throws IOException {
        assertEquals(431, status("GET /look/k HTTP/1.1\r\nX-Long: " + "x".repeat(20_000)));
    }

    @Test
    void malformedOrMissingTimeoutIsAnswered400() throws IOException {
        for (String timeout : new String[] {"-1", "0", "soon", "1.5", "99999999999999999999", ""}) {
            assertEquals(400, status("GET", "/look/k", "X-Timeout-Ms: " + timeout), timeout);
        }
        assertEquals(400, status("GET", "/look/k", "X-Timeout-Ms:"), "none");
    }

    @Test
    void malformedCostIsAnswered400() throws IOException {
        assertEquals(400, status("GET", "/look/k", "X-Cost: much"));
    }

    @Test
    void missingRequestIdIsAnswered400() throws IOException {
        assertEquals(400, status("GET", "/look/k", "X-Request-ID:"));
    }

    @Test
    void writeOfTokenClassWithoutIdempotencyKeyIsAnswered400() throws IOException {
        assertEquals(400, status("PUT", "/note/k"));
    }

    @Test
    void unknownPathsAreAnswered404() throws IOException {
        assertEquals(404, status("GET", "/"));
        assertEquals(404, status("GET", "/nothing/here"));
        assertEquals(404, status("GET", "/nothing/here", "X-Priority-Class: nothing"));
        assertEquals(404, status("GET", "/_other"));
        assertEquals(404, status("GET", "/note/k", "X-Priority-Class: look"), "header and path name different classes");
    }

    @Test
    void unsupportedMethodsAreAnswered405() throws IOException {
        assertEquals(405, status("POST", "/look/k"));
        assertEquals(405, status("DELETE", "/look/k"));
        assertEquals(405, status("PUT", "/_health"));
        String answer = proxy.raw(request("POST", "/look/k", "", "Connection: close"));
        assertTrue(answer.contains("\r\nallow: GET, PUT"), answer);
    }

    @Test
    void bodyAboveMaximumIsAnswered413() throws IOException {
        assertEquals(
                413,
                status("PUT /order/k HTTP/1.1\r\nHost: x\r\nContent-Length: " + (BodyBudget.MAX_BODY_BYTES + 1)
                        + "\r\n\r\n"));
        String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
        assertEquals(
                413,
                status("PUT /order/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + chunk.repeat(BodyBudget.MAX_BODY_BYTES / 0x10000) + "1\r\nx\r\n"));
    }
}
