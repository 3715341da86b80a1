package burlarch.routing.index;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ConfirmedKeysTest {
    private final ConfirmedKeys keys = new ConfirmedKeys();

    @Test
    void aKeyThatWasNotAddedIsNotContained() {
        keys.add(5);
        assertThat(keys.mayContain(5)).isTrue();
        assertThat(keys.mayContain(6)).isFalse();
        assertThat(keys.mayContain(-5)).isFalse();
    }

    @Test
    void theFewKeysOfALargeFleetSeldomDisplaceOneAnother() {
        long[] added = new Random(1).longs(2_000).toArray();
        int contained = 0;
        for (long key : added) {
            keys.add(key);
        }
        for (long key : added) {
            contained += keys.mayContain(key) ? 1 : 0;
        }
        assertThat(contained).isGreaterThan(1_800);
    }
}
