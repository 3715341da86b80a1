package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static burlarch.routing.planner.Fixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KvTransferSpeedTest {
    private final KvTransferSpeed transferSpeed = new KvTransferSpeed();

    @Test
    void aSlowLinkIsLearnedAndForgotten() {
        for (int i = 0; i < 4; i++) {
            double expected = 60 * MILLI * transferSpeed.slowdown(i * 100 * MILLI);
            transferSpeed.onTransferEnded(expected, 480 * MILLI - expected, i * 100 * MILLI);
        }
        assertThat(transferSpeed.slowdown(300 * MILLI)).isBetween(2.0, 8.0);
        assertThat(transferSpeed.slowdown(4 * SECOND)).isEqualTo(1);
    }

    @Test
    void latenessExplainedByOtherPrefillingIsNoSlowdown() {
        transferSpeed.onTransferEnded(60 * MILLI, 140 * MILLI, 0);
        assertThat(transferSpeed.slowdown(0)).isEqualTo(1);
    }

    @Test
    void shortTransfersAreIgnored() {
        transferSpeed.onTransferEnded(6 * MILLI, 900 * MILLI, 0);
        assertThat(transferSpeed.slowdown(0)).isEqualTo(1);
    }
}
