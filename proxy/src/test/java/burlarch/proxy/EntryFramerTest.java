package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What discovery's stream holds, in whatever form its objects are written. */
class EntryFramerTest {
    private static final String FLAT = "{\"generation\":1,\"instances\":[{\"a\":\"}]\\\"{\"}]}";
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
    /** As some writers indent: by no blanks at all. */
    private static final String BY_NOTHING = INDENTED.replace("  ", "").replace(": ", ":");

    private final List<String> seen = new ArrayList<>();
    private final EntryFramer framer = new EntryFramer(1000, new EntryFramer.Sink() {
        @Override
        public void object(String text) {
            seen.add(text);
        }

        @Override
        public void beat() {
            seen.add("beat");
        }

        @Override
        public void malformed() {
            seen.add("malformed");
        }
    });

    private boolean take(String text) {
        boolean kept = true;
        for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
            kept &= framer.take(b);
        }
        return kept;
    }

    @Test
    void anObjectCountsWithItsLastByteInWhateverFormItComes() {
        for (String form : List.of(FLAT, INDENTED, BY_NOTHING, INDENTED.replace("\n", "\r\n"))) {
            seen.clear();
            take("\n" + form.substring(0, form.length() - 1));
            assertEquals(List.of("beat"), seen, form);
            take(form.substring(form.length() - 1));
            assertEquals(List.of("beat", form), seen);
            take("\n\n\r\n" + FLAT + "  \n");
            assertEquals(List.of("beat", form, "beat", "beat", FLAT), seen, form);
        }
    }

    @Test
    void twoObjectsMayShareALine() {
        take(FLAT + FLAT + "\n" + INDENTED + " " + FLAT + "\n");
        assertEquals(List.of(FLAT, FLAT, INDENTED, FLAT), seen);
    }

    @Test
    void anObjectThatWasBrokenOffHidesNoLaterOne() {
        for (int most = 1; most < FLAT.length(); most++) {
            seen.clear();
            take(FLAT.substring(0, most) + "\n" + FLAT + "\n\n");
            assertEquals(List.of("malformed", FLAT, "beat"), seen, FLAT.substring(0, most));
        }
    }

    @Test
    void whatIsNoObjectIsOneFault() {
        take("noise\n[1,2]\n\"{\n}}\n" + FLAT + "\n");
        assertEquals(List.of("malformed", "malformed", "malformed", "malformed", FLAT), seen);
    }

    @Test
    void anObjectThatNeverEndsIsNotKept() {
        assertTrue(take("{\"generation\":\"" + "x".repeat(900)));
        assertFalse(take("x".repeat(200)));
    }
}
