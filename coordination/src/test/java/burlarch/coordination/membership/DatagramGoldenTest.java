package burlarch.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Compatibility with the datagrams of the previous release: nodes of both releases run in one fleet. */
class DatagramGoldenTest {
    private static final GoldenFiles DATAGRAMS = new GoldenFiles("datagrams");

    static Stream<String> names() {
        return GoldenDatagrams.examples().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void datagramOfThePreviousReleaseIsDecoded(String name) {
        Optional<SwimMessage> decoded = SwimCodec.decode(DATAGRAMS.bytes(name));

        assertThat(decoded).contains(GoldenDatagrams.examples().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void messageIsEncodedAsInThePreviousRelease(String name) {
        byte[] encoded = SwimCodec.encode(GoldenDatagrams.examples().get(name));

        assertThat(encoded).isEqualTo(DATAGRAMS.bytes(name));
    }

    @Test
    void everyMessageKindHasAGoldenDatagram() {
        Set<Class<?>> coveredKinds = new HashSet<>();
        GoldenDatagrams.examples().values().forEach(message -> coveredKinds.add(message.getClass()));
        Set<Class<?>> kinds = new HashSet<>(Arrays.asList(SwimMessage.class.getPermittedSubclasses()));
        kinds.removeIf(kind -> !kind.isRecord());

        assertThat(coveredKinds).isEqualTo(kinds);
        assertThat(DATAGRAMS.hexNames())
                .containsExactlyInAnyOrderElementsOf(GoldenDatagrams.examples().keySet());
    }
}
