package burlarch.controller.state;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.ZlibCompression;
import burlarch.golden.GoldenFiles;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.DataFormatException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the encoding of states, which are stored on disk and sent between controllers, with that of previous
 * releases.
 */
class SystemStateGoldenTest {
    private static final GoldenFiles STATES = new GoldenFiles("states");
    private static final int FORMAT_BYTES = 1;
    private static final byte COMPRESSED_FORMAT = 1;
    private static final int MAX_DECOMPRESSED_BYTES = 1 << 20;
    private static final List<String> OLDER_FORMATS = List.of("older-plain-cbor", "older-without-taken-changes");

    static Stream<String> names() {
        return GoldenStates.byFileName().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void stateOfPreviousReleaseIsDecoded(String name) {
        SystemState read = SystemStateCodec.decode(STATES.bytes(name));

        assertThat(read)
                .usingRecursiveComparison()
                .isEqualTo(GoldenStates.byFileName().get(name));
    }

    /** Compares the decompressed bytes, because the compressed bytes depend on the machine's zlib. */
    @ParameterizedTest
    @MethodSource("names")
    void stateIsEncodedAsInPreviousRelease(String name) throws DataFormatException {
        byte[] written = SystemStateCodec.encode(GoldenStates.byFileName().get(name));

        assertThat(written[0]).isEqualTo(COMPRESSED_FORMAT).isEqualTo(STATES.bytes(name)[0]);
        assertThat(decompress(written)).isEqualTo(decompress(STATES.bytes(name)));
    }

    /** Older releases stored plain CBOR. */
    @Test
    void uncompressedStateIsDecoded() {
        assertThat(SystemStateCodec.decode(STATES.bytes("older-plain-cbor")))
                .usingRecursiveComparison()
                .isEqualTo(GoldenStates.byFileName().get("all"));
    }

    /** Still older releases stored applied changes in another format, which is no longer read. */
    @Test
    void appliedChangesInOldFormatAreForgotten() {
        SystemState read = SystemStateCodec.decode(STATES.bytes("older-without-taken-changes"));

        assertThat(read.configurationVersion()).isEqualTo(9);
        assertThat(read.weights()).containsEntry("m", 2L);
        assertThat(read.owners()).containsEntry("weights", new Lease("controller-1", 4));
        assertThat(read.appliedChanges().size()).isZero();
        assertThat(read.appliedChanges().forgottenVersion()).isEqualTo(9);
    }

    @Test
    void everyGoldenFileIsTested() {
        assertThat(STATES.hexNames())
                .containsExactlyInAnyOrderElementsOf(
                        Stream.concat(names(), OLDER_FORMATS.stream()).toList());
    }

    private static byte[] decompress(byte[] payload) throws DataFormatException {
        return ZlibCompression.decompress(payload, FORMAT_BYTES, MAX_DECOMPRESSED_BYTES);
    }
}
