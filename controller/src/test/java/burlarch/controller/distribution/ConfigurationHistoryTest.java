package burlarch.controller.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.DeltaMismatchException;
import burlarch.configuration.DocumentDelta;
import burlarch.transport.FrameCodec;
import burlarch.transport.FrameException;
import burlarch.transport.NodeMessage.ConfigurationChange;
import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests that the retained versions are bounded in number and size, and that each delta leads to the newest version. */
class ConfigurationHistoryTest {
    private static final int HEADER_BYTES = 4;
    private static final int ADDED_VERSIONS = 10_000;

    private final FrameCodec codec = new FrameCodec();
    private final ConfigurationHistory history = new ConfigurationHistory(codec);

    @Test
    void numberOfRetainedVersionsIsBounded() throws Exception {
        for (int version = 1; version <= ADDED_VERSIONS; version++) {
            history.add(version, document(version, 100));
            assertThat(history.size()).isLessThanOrEqualTo(ConfigurationHistory.MAX_VERSIONS);
        }
        long oldest = ADDED_VERSIONS - ConfigurationHistory.MAX_VERSIONS + 1;
        assertThat(change(oldest).baseVersion()).isEqualTo(oldest);
        assertThat(change(oldest - 1).carriesCompleteDocument()).isTrue();
    }

    @Test
    void retainedBytesAreBoundedAndNewestIsKept() throws Exception {
        int largeBytes = ConfigurationHistory.MAX_OLDER_BYTES - 10;
        history.add(1, document(1, largeBytes));
        history.add(2, document(2, largeBytes));
        assertThat(history.size()).isEqualTo(2);
        history.add(3, document(3, 2 * largeBytes));
        assertThat(history.size()).isEqualTo(2);
        history.add(4, document(4, 10));
        assertThat(history.size()).isEqualTo(1);
        assertThat(change(3).carriesCompleteDocument()).isTrue();
    }

    @Test
    void eachDeltaLeadsToNewestVersion() throws Exception {
        history.add(5, document(5, 1_000));
        history.add(9, document(9, 1_000));
        assertThat(applyChange(change(5), document(5, 1_000))).isEqualTo(document(9, 1_000));
        assertThat(applyChange(change(7), DocumentDelta.NO_BASE)).isEqualTo(document(9, 1_000));
        history.add(10, document(10, 1_000));
        assertThat(applyChange(change(5), document(5, 1_000))).isEqualTo(document(10, 1_000));
    }

    private static byte[] applyChange(ConfigurationChange change, byte[] base) throws DeltaMismatchException {
        return DocumentDelta.apply(base, change.delta());
    }

    private ConfigurationChange change(long base) throws FrameException {
        byte[] frame = history.frameFrom(base);
        return (ConfigurationChange) codec.decode(frame, HEADER_BYTES, frame.length - HEADER_BYTES);
    }

    private static byte[] document(int version, int length) {
        byte[] document = new byte[length];
        new Random(length).nextBytes(document);
        return Arrays.copyOf(document, length + version % 7);
    }
}
