package burlarch.fleet.training;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.EOFException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Parsing of HTTP messages by the training run's client and engine. */
class HttpMessageTest {
    private static InputStream bytes(String text) {
        return new ByteArrayInputStream(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void successiveMessagesAreReadFromOneStream() throws Exception {
        InputStream input = bytes("POST /a?b HTTP/1.1\r\nHost: h\r\ncontent-length: 3\r\n\r\nabc"
                + "HTTP/1.1 503 No\r\nX-Last: v \r\n\r\n");
        HttpMessage request = HttpMessage.read(input);
        assertThat(request.target()).isEqualTo("/a?b");
        assertThat(request.body()).isEqualTo("abc");
        assertThat(request.header("host")).isEqualTo("h");
        assertThat(request.header("none")).isNull();
        HttpMessage response = HttpMessage.read(input);
        assertThat(response.status()).isEqualTo(503);
        assertThat(response.header("x-last")).isEqualTo("v");
        assertThat(response.body()).isEmpty();
        assertThat(HttpMessage.read(input)).isNull();
    }

    @Test
    void chunkedBodyIsDecoded() throws Exception {
        InputStream input = bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nA\r\n"
                + "0123456789\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n");
        assertThat(HttpMessage.read(input).body()).isEqualTo("abc0123456789");
        assertThat(HttpMessage.read(input).status()).isEqualTo(200);
    }

    @Test
    void truncatedChunkedBodyThrowsEofException() {
        InputStream input = bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
        assertThatThrownBy(() -> HttpMessage.read(input)).isInstanceOf(EOFException.class);
    }
}
