package burlarch.fleet.controller.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SystemStateCodecTest {
    private static final SystemState FULL = new SystemState(7, new byte[] {'{', '}'},
            List.of(new TakenChange(3, "ab"), new TakenChange(7, "cd")), Map.of("m", 2L, "n", 1L),
            Map.of("k", new Lease("one", 4)), 5);

    @Test
    void comesBackAsItWas() {
        assertThat(SystemStateCodec.decode(SystemStateCodec.encode(FULL))).usingRecursiveComparison()
                .isEqualTo(FULL);
        assertThat(SystemStateCodec.decode(SystemStateCodec.encode(SystemState.EMPTY)))
                .usingRecursiveComparison().isEqualTo(SystemState.EMPTY);
    }

    @Test
    void noPayloadIsTheEmptyState() {
        assertThat(SystemStateCodec.decode(new byte[0])).isSameAs(SystemState.EMPTY);
        assertThat(SystemStateCodec.decode(null)).isSameAs(SystemState.EMPTY);
    }

    @Test
    void equalStatesHaveEqualBytes() {
        byte[] once = SystemStateCodec.encode(FULL);
        assertThat(SystemStateCodec.encode(SystemStateCodec.decode(once))).isEqualTo(once);
    }

    @Test
    void brokenBytesAreRefused() {
        byte[] whole = SystemStateCodec.encode(FULL);
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        assertThatThrownBy(() -> SystemStateCodec.decode(half)).isInstanceOf(UncheckedIOException.class);
    }

    @Test
    void digestsAreCutToABound() {
        assertThat(new TakenChange(1, "0".repeat(64)).digest()).hasSize(32);
        assertThat(new TakenChange(1, "0".repeat(64))).isEqualTo(new TakenChange(1, "0".repeat(32)));
    }
}
