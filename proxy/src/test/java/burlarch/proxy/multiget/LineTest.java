package burlarch.proxy.multiget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import burlarch.proxy.Rejection;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The form of a multi-get's body. */
class LineTest {
    @Test
    void readsALinePerKeyWhateverEndsThem() throws Exception {
        List<Line> lines = List.of(new Line("a1", "prestamo-1"), new Line("b2", "prestamo-1"));
        for (String body : new String[] {
            "a1 prestamo-1\nb2 prestamo-1", "a1 prestamo-1\nb2 prestamo-1\n", "a1 prestamo-1\r\nb2 prestamo-1\r\n"
        }) {
            assertEquals(lines, Line.parse(body, 2), body);
        }
    }

    @Test
    void oneWrongLineSpoilsTheBody() {
        String longest = "x".repeat(1025);
        for (String wrong : new String[] {
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
            "a1 " + longest,
            "y".repeat(129) + " k"
        }) {
            Rejection rejection = assertThrows(Rejection.class, () -> Line.parse(wrong, 32), wrong);
            assertEquals(400, rejection.status.code());
        }
    }

    @Test
    void theCountIsCapped() throws Exception {
        assertEquals(2, Line.parse("a k\nb k\n", 2).size());
        assertThrows(Rejection.class, () -> Line.parse("a k\nb k\nc k\n", 2));
    }
}
