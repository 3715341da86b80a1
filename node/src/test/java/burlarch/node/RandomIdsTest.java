package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests that ids differ, are never 0, and have the requested length. */
class RandomIdsTest {
    @Test
    void idsDifferAndAreNotZero() {
        Set<Long> ids = new HashSet<>();
        for (int i = 0; i < 1_000; i++) {
            ids.add(RandomIds.nonZero());
        }
        assertThat(ids).hasSize(1_000).doesNotContain(0L);
    }

    @Test
    void bytesReturnsRequestedNumberOfRandomBytes() {
        assertThat(RandomIds.bytes(12)).hasSize(12).isNotEqualTo(RandomIds.bytes(12));
        assertThat(RandomIds.bytes(0)).isEmpty();
    }
}
