package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Batches as routers of the release before wrote them: routers of both run in one fleet. */
class BatchGoldenTest {
    private static final GoldenFiles BATCHES = new GoldenFiles("batches");

    static Stream<String> names() {
        return GoldenBatches.examples().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void aBatchOfTheReleaseBeforeIsRead(String name) throws MalformedBatchException {
        assertThat(KvUpdateBatchCodec.decode(BATCHES.bytes(name)))
                .isEqualTo(GoldenBatches.examples().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aBatchIsWrittenAsTheReleaseBeforeDid(String name) {
        assertThat(KvUpdateBatchCodec.encode(GoldenBatches.examples().get(name)))
                .isEqualTo(BATCHES.bytes(name));
    }

    @Test
    void everyGoldenBatchHasAnExample() {
        assertThat(BATCHES.hexNames())
                .containsExactlyInAnyOrderElementsOf(GoldenBatches.examples().keySet());
    }
}
