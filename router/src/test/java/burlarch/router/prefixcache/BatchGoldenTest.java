package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Batches are compatible with those of the previous release, as routers of both releases run in one fleet. */
class BatchGoldenTest {
    private static final GoldenFiles GOLDEN_FILES = new GoldenFiles("batches");

    static Stream<String> names() {
        return GoldenBatches.examples().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void batchOfThePreviousReleaseIsDecoded(String name) throws MalformedBatchException {
        assertThat(KvUpdateBatchCodec.decode(GOLDEN_FILES.bytes(name)))
                .isEqualTo(GoldenBatches.examples().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void batchIsEncodedAsByThePreviousRelease(String name) {
        assertThat(KvUpdateBatchCodec.encode(GoldenBatches.examples().get(name)))
                .isEqualTo(GOLDEN_FILES.bytes(name));
    }

    @Test
    void everyGoldenBatchHasAnExample() {
        assertThat(GOLDEN_FILES.hexNames())
                .containsExactlyInAnyOrderElementsOf(GoldenBatches.examples().keySet());
    }
}
