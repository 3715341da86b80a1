package burlarch.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of literal addresses, and rejection of other texts. */
class LiteralAddressesTest {
    @Test
    void literalAddressesWithAPortAreParsed() {
        assertEquals(8081, LiteralAddresses.parse("127.0.0.1:8081").getPort());
        assertEquals(
                "0:0:0:0:0:0:0:1",
                LiteralAddresses.parse("[::1]:1").getAddress().getHostAddress());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "127.0.0.1:",
                "127.0.0.1:0",
                "127.0.0.1:http",
                "127.0.0.1:-1",
                "localhost:80",
                "",
                "127.0.0.1",
                "127.0.0.1:123456",
                "127.0.0.1:99999"
            })
    void otherTextsAreRejected(String text) {
        String message = assertThrows(IllegalArgumentException.class, () -> LiteralAddresses.parse(text))
                .getMessage();
        assertEquals(
                true,
                message.contains("no port: " + text)
                        || message.contains("not a literal address: " + text)
                        || message.contains("out of range"),
                message);
    }
}
