package burlarch.routing.index;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class SegmentTableTest {
    @Test
    void agreesWithAMapOverRandomChanges() {
        for (int seed = 0; seed < 50; seed++) {
            Random random = new Random(seed);
            SegmentTable table = new SegmentTable(10_000, Long.MAX_VALUE);
            Map<Long, Integer> expectedTokens = new HashMap<>();
            for (int step = 0; step < 3_000; step++) {
                long key = random.nextInt(300);
                if (random.nextInt(3) == 0) {
                    table.remove(key);
                    expectedTokens.remove(key);
                } else {
                    int tokens = 1 + random.nextInt(1_000);
                    table.put(key, tokens, (short) (key % 3), step, false);
                    expectedTokens.put(key, tokens);
                }
            }
            table.removeGroup((short) 1);
            expectedTokens.keySet().removeIf(key -> key % 3 == 1);
            for (long key = 0; key < 300; key++) {
                assertThat(table.tokens(key)).isEqualTo(expectedTokens.getOrDefault(key, 0));
            }
            assertThat(table.size()).isEqualTo(expectedTokens.size());
            assertThat(table.tokenSum())
                    .isEqualTo(expectedTokens.values().stream()
                            .mapToLong(count -> count)
                            .sum());
        }
    }

    @Test
    void staysWithinBothBoundsAndEvictsOldEntries() {
        SegmentTable table = new SegmentTable(100, 5_000);
        for (int i = 0; i < 10_000; i++) {
            table.put(i * 7919L, 30 + i % 50, (short) 0, i, false);
            assertThat(table.size()).isLessThanOrEqualTo(100);
            assertThat(table.tokenSum()).isLessThanOrEqualTo(5_000);
        }
        int recent = 0;
        for (int i = 9_970; i < 10_000; i++) {
            recent += table.tokens(i * 7919L) > 0 ? 1 : 0;
        }
        assertThat(recent).isGreaterThanOrEqualTo(28);
    }

    @Test
    void aSegmentLargerThanTheBoundEvictsAllOthers() {
        SegmentTable table = new SegmentTable(10, 100);
        table.put(1, 50, (short) 0, 0, false);
        table.put(2, 500, (short) 0, 1, false);
        assertThat(table.tokens(1)).isZero();
        assertThat(table.tokens(2)).isEqualTo(500);
    }
}
