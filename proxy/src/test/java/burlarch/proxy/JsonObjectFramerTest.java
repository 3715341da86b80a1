package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Splitting discovery's stream into objects, for various layouts, truncated objects and invalid text. */
class JsonObjectFramerTest {
    private static final String SINGLE_LINE = "{\"generation\":1,\"instances\":[{\"a\":\"}]\\\"{\"}]}";
    private static final String INDENTED =
            """
            {
              "generation": 1,

              "instances": [
                {"instanceId": "s-1"},
                {
                  "instanceId": "s-2 }"
                }
              ]
            }""";
    /** Several lines without indentation, as some JSON writers produce. */
    private static final String UNINDENTED = INDENTED.replace("  ", "").replace(": ", ":");

    private final List<String> received = new ArrayList<>();
    private final JsonObjectFramer framer = new JsonObjectFramer(1000, new JsonObjectFramer.Sink() {
        @Override
        public void object(String text) {
            received.add(text);
        }

        @Override
        public void heartbeat() {
            received.add("beat");
        }

        @Override
        public void malformed() {
            received.add("malformed");
        }
    });

    private boolean take(String text) {
        boolean withinLimit = true;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            withinLimit &= framer.take(b);
        }
        return withinLimit;
    }

    @Test
    void objectOfAnyLayoutIsDeliveredWithItsLastByte() {
        for (String layout : List.of(SINGLE_LINE, INDENTED, UNINDENTED, INDENTED.replace("\n", "\r\n"))) {
            received.clear();
            take("\n" + layout.substring(0, layout.length() - 1));
            assertEquals(List.of("beat"), received, layout);
            take(layout.substring(layout.length() - 1));
            assertEquals(List.of("beat", layout), received);
            take("\n\n\r\n" + SINGLE_LINE + "  \n");
            assertEquals(List.of("beat", layout, "beat", "beat", SINGLE_LINE), received, layout);
        }
    }

    @Test
    void twoObjectsOnOneLineAreBothDelivered() {
        take(SINGLE_LINE + SINGLE_LINE + "\n" + INDENTED + " " + SINGLE_LINE + "\n");
        assertEquals(List.of(SINGLE_LINE, SINGLE_LINE, INDENTED, SINGLE_LINE), received);
    }

    @Test
    void truncatedObjectDoesNotHideLaterOnes() {
        for (int prefixLength = 1; prefixLength < SINGLE_LINE.length(); prefixLength++) {
            received.clear();
            take(SINGLE_LINE.substring(0, prefixLength) + "\n" + SINGLE_LINE + "\n\n");
            assertEquals(List.of("malformed", SINGLE_LINE, "beat"), received, SINGLE_LINE.substring(0, prefixLength));
        }
    }

    @Test
    void textThatIsNotAnObjectIsReportedMalformed() {
        take("noise\n[1,2]\n\"{\n}}\n" + SINGLE_LINE + "\n");
        assertEquals(List.of("malformed", "malformed", "malformed", "malformed", SINGLE_LINE), received);
    }

    @Test
    void objectAboveMaximumLengthIsRejected() {
        assertTrue(take("{\"generation\":\"" + "x".repeat(900)));
        assertFalse(take("x".repeat(200)));
    }
}
