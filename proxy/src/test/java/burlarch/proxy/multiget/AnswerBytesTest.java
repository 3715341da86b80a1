package burlarch.proxy.multiget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The bound on what waits for the other lines or for a slow client. */
class AnswerBytesTest {
    @Test
    void whatIsHeldNeverPassesTheBound() {
        AnswerBytes bytes = new AnswerBytes(10);
        assertTrue(bytes.take(6));
        assertFalse(bytes.take(5));
        assertTrue(bytes.take(4));
        bytes.release(6);
        assertEquals(4, bytes.held());
        assertTrue(bytes.take(6));
    }
}
