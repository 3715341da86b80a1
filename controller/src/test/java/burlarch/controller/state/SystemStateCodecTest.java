package burlarch.controller.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the encoding of states and of their applied changes. */
class SystemStateCodecTest {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final SystemState FULL_STATE = new SystemState(
            7,
            new byte[] {'{', '}'},
            AppliedChanges.NONE.with(new AppliedChange(3, 17)).with(new AppliedChange(7, -4)),
            Map.of("m", 2L, "n", 1L),
            Map.of("k", new Lease("one", 4)),
            5,
            DepartedInstances.NONE.with(List.of("i-1", "i-2")));

    @Test
    void decodedStateEqualsEncodedState() {
        assertThat(SystemStateCodec.decode(SystemStateCodec.encode(FULL_STATE)))
                .usingRecursiveComparison()
                .isEqualTo(FULL_STATE);
        assertThat(SystemStateCodec.decode(SystemStateCodec.encode(SystemState.EMPTY)))
                .usingRecursiveComparison()
                .isEqualTo(SystemState.EMPTY);
    }

    @Test
    void missingPayloadDecodesToEmptyState() {
        assertThat(SystemStateCodec.decode(new byte[0])).isSameAs(SystemState.EMPTY);
        assertThat(SystemStateCodec.decode(null)).isSameAs(SystemState.EMPTY);
    }

    @Test
    void equalStatesHaveEqualBytes() {
        byte[] encodedOnce = SystemStateCodec.encode(FULL_STATE);
        assertThat(SystemStateCodec.encode(SystemStateCodec.decode(encodedOnce)))
                .isEqualTo(encodedOnce);
    }

    @Test
    void truncatedBytesAreRejected() {
        byte[] encoded = SystemStateCodec.encode(FULL_STATE);
        byte[] truncated = Arrays.copyOf(encoded, encoded.length / 2);
        assertThatThrownBy(() -> SystemStateCodec.decode(truncated)).isInstanceOf(UncheckedIOException.class);
    }

    /**
     * A state from a release with another format of applied changes must decode, and its changes must count as
     * forgotten, so that none of them is rejected.
     */
    @Test
    void stateWithoutAppliedChangesCountsThemAsForgotten() throws IOException {
        ObjectNode olderState = (ObjectNode) CBOR.readTree(CBOR.writeValueAsBytes(FULL_STATE));
        olderState.remove("k");
        olderState.putArray("t").addObject().put("version", 7).put("digest", "cd");
        SystemState decoded = SystemStateCodec.decode(CBOR.writeValueAsBytes(olderState));
        assertThat(decoded.appliedChanges().forgottenVersion()).isEqualTo(7);
        assertThat(decoded.appliedChanges().size()).isZero();
    }

    /** The complete state is part of each promise and accept message, so the applied changes must stay small. */
    @Test
    void appliedChangeTakesNineBytes() {
        SystemState state = SystemState.EMPTY;
        int emptyBytes = SystemStateCodec.encode(state).length;
        for (int i = 0; i < AppliedChanges.MAX_CHANGES; i++) {
            long base = state.configurationVersion();
            state = state.withConfiguration(AppliedChange.put(base, base + 3, "d"), new byte[0]);
        }
        assertThat(state.appliedChanges().toBytes())
                .hasSizeBetween(9 * AppliedChanges.MAX_CHANGES, 9 * AppliedChanges.MAX_CHANGES + 16);
        int addedBytes = SystemStateCodec.encode(state).length - emptyBytes;
        assertThat(addedBytes).as("compressed").isLessThan(9 * AppliedChanges.MAX_CHANGES);
    }

    @Test
    void appliedChangesPreserveAnyVersionsAndFingerprints() {
        AppliedChanges changes = AppliedChanges.forgottenUpTo(5)
                .with(new AppliedChange(6, Long.MIN_VALUE))
                .with(new AppliedChange(1L << 40, -1))
                .with(new AppliedChange(Long.MAX_VALUE, 0));
        AppliedChanges decoded = AppliedChanges.fromBytes(changes.toBytes());
        assertThat(decoded.changes()).isEqualTo(changes.changes());
        assertThat(decoded.forgottenVersion()).isEqualTo(5);
    }

    @Test
    void damagedAppliedChangesAreRejected() {
        byte[] encoded = AppliedChanges.NONE
                .with(new AppliedChange(3, 1))
                .with(new AppliedChange(4, 1))
                .toBytes();
        for (int length = 0; length < encoded.length; length++) {
            byte[] truncatedPart = Arrays.copyOf(encoded, length);
            boolean atEndOfChange = length % 9 == 1;
            if (!atEndOfChange) {
                assertThatThrownBy(() -> AppliedChanges.fromBytes(truncatedPart))
                        .as("%d bytes", length)
                        .isInstanceOf(IllegalArgumentException.class);
            }
        }
        byte[] decreasingVersions = encoded.clone();
        decreasingVersions[10] = 0;
        assertThatThrownBy(() -> AppliedChanges.fromBytes(decreasingVersions))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
