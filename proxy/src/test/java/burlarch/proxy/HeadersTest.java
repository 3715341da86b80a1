package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Locale;
import org.junit.jupiter.api.Test;

/** Retry-After values equal those that a formatter would produce. */
class HeadersTest {
    @Test
    void timeIsFormattedAsSecondsRoundedToTheMillisecond() {
        for (long millis : new long[] {1, 9, 10, 99, 100, 999, 1000, 1001, 1010, 2000, 61_234}) {
            assertEquals(String.format(Locale.ROOT, "%.3f", millis / 1e3), Headers.formatSeconds(millis * 1_000_000));
        }
        assertEquals("0.000", Headers.formatSeconds(499_999));
        assertEquals("0.001", Headers.formatSeconds(500_000));
        assertEquals("1.000", Headers.formatSeconds(999_999_999));
    }
}
