package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RandomIdsTest {
    @Test
    void identitiesDiffer() {
        Set<Long> drawn = new HashSet<>();
        for (int i = 0; i < 1_000; i++) {
            drawn.add(RandomIds.nonZero());
        }
        assertThat(drawn).hasSize(1_000).doesNotContain(0L);
    }

    @Test
    void asManyBytesAsWantedAreDrawn() {
        assertThat(RandomIds.bytes(12)).hasSize(12).isNotEqualTo(RandomIds.bytes(12));
        assertThat(RandomIds.bytes(0)).isEmpty();
    }
}
