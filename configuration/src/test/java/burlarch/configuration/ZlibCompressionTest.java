package burlarch.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import java.util.Random;
import java.util.zip.DataFormatException;
import org.junit.jupiter.api.Test;

/**
 * Tests the round trip, and that corrupt input is rejected before it fills the memory: compressed bytes come from other
 * nodes and from disks.
 */
class ZlibCompressionTest {
    private static final int MAX_BYTES = 1 << 20;

    @Test
    void decompressionRestoresTheInput() throws DataFormatException {
        Random random = new Random(1);
        for (int length : new int[] {0, 1, 1_000, 100_000, MAX_BYTES}) {
            byte[] bytes = new byte[length];
            random.nextBytes(bytes);
            assertThat(ZlibCompression.decompress(ZlibCompression.compress(bytes), 0, MAX_BYTES))
                    .isEqualTo(bytes);
        }
    }

    @Test
    void rejectsTruncatedOversizedAndTrailingInput() {
        byte[] compressed = ZlibCompression.compress(new byte[MAX_BYTES]);
        assertThatThrownBy(() -> ZlibCompression.decompress(compressed, 0, MAX_BYTES - 1))
                .isInstanceOf(DataFormatException.class);
        assertThatThrownBy(() -> ZlibCompression.decompress(Arrays.copyOf(compressed, 50), 0, MAX_BYTES))
                .isInstanceOf(DataFormatException.class);
        assertThatThrownBy(() ->
                        ZlibCompression.decompress(Arrays.copyOf(compressed, compressed.length + 1), 0, MAX_BYTES))
                .isInstanceOf(DataFormatException.class);
        assertThatThrownBy(() -> ZlibCompression.decompress(new byte[0], 0, MAX_BYTES))
                .isInstanceOf(DataFormatException.class);
    }
}
