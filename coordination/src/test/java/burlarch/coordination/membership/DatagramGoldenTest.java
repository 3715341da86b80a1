package burlarch.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Datagrams as the release before wrote them: nodes of both run in one fleet. */
class DatagramGoldenTest {
    private static final GoldenFiles DATAGRAMS = new GoldenFiles("datagrams");

    static Stream<String> names() {
        return GoldenDatagrams.examples().keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("names")
    void aDatagramOfTheReleaseBeforeIsRead(String name) {
        Optional<SwimMessage> read = SwimCodec.decode(DATAGRAMS.bytes(name));

        assertThat(read).contains(GoldenDatagrams.examples().get(name));
    }

    @ParameterizedTest
    @MethodSource("names")
    void aMessageIsWrittenAsTheReleaseBeforeDid(String name) {
        byte[] written = SwimCodec.encode(GoldenDatagrams.examples().get(name));

        assertThat(written).isEqualTo(DATAGRAMS.bytes(name));
    }

    @Test
    void everyKindOfMessageHasAGoldenDatagram() {
        Set<Class<?>> covered = new HashSet<>();
        GoldenDatagrams.examples().values().forEach(message -> covered.add(message.getClass()));
        Set<Class<?>> kinds = new HashSet<>(Arrays.asList(SwimMessage.class.getPermittedSubclasses()));
        kinds.removeIf(kind -> !kind.isRecord());

        assertThat(covered).isEqualTo(kinds);
        assertThat(DATAGRAMS.hexNames())
                .containsExactlyInAnyOrderElementsOf(GoldenDatagrams.examples().keySet());
    }

    /** Two members compare digests of their tables; of one table, both releases must have the same. */
    @Test
    void theDigestOfATableIsThatOfTheReleaseBefore() {
        MemberTable table = new MemberTable(10, 3);
        for (String name : List.of("a", "b", "c")) {
            MemberInfo info = new MemberInfo(name, "10.0.0.1:1", "router", "north", name.hashCode());
            table.apply(new MemberUpdate(info, 0, MemberState.ALIVE), 1, new java.util.ArrayList<>());
        }

        assertThat(Long.toHexString(table.digest()))
                .isEqualTo(DATAGRAMS.lines("table-digest.txt").get(0));
    }
}
