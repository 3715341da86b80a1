package burlarch.proxy.multiget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import burlarch.proxy.Rejection;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Parsing of a multi-get request body. */
class KeyRequestTest {
    @Test
    void everyLineTerminatorIsAccepted() throws Exception {
        List<KeyRequest> expected = List.of(new KeyRequest("a1", "prestamo-1"), new KeyRequest("b2", "prestamo-1"));
        for (String body : new String[] {
            "a1 prestamo-1\nb2 prestamo-1", "a1 prestamo-1\nb2 prestamo-1\n", "a1 prestamo-1\r\nb2 prestamo-1\r\n"
        }) {
            assertEquals(expected, KeyRequest.parse(body, 2), body);
        }
    }

    @Test
    void oneInvalidLineRejectsTheWholeBody() {
        String tooLongKey = "x".repeat(1025);
        for (String body : new String[] {
            "",
            "\n",
            "a1",
            "a1 ",
            " k",
            "a1  k",
            "a1 k m",
            "a1 k\n\nb2 k",
            "\na1 k",
            "a1 k\nb2",
            "a1 k\na1 m",
            "a1 k/m",
            "a1 k?x=1",
            "a1 k#m",
            "a1 k\rb2",
            "a1 k\u00e9",
            "a1\tk",
            "a1 " + tooLongKey,
            "y".repeat(129) + " k"
        }) {
            Rejection rejection = assertThrows(Rejection.class, () -> KeyRequest.parse(body, 32), body);
            assertEquals(400, rejection.status.code());
        }
    }

    @Test
    void tooManyLinesAreRejected() throws Exception {
        assertEquals(2, KeyRequest.parse("a k\nb k\n", 2).size());
        assertThrows(Rejection.class, () -> KeyRequest.parse("a k\nb k\nc k\n", 2));
    }
}
