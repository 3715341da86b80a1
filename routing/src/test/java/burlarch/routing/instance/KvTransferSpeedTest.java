package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static burlarch.routing.planner.Fixture.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class KvTransferSpeedTest {
    private final KvTransferSpeed moves = new KvTransferSpeed();

    @Test
    void aSlowLinkShowsAndIsForgotten() {
        for (int i = 0; i < 4; i++) {
            double expected = 60 * MILLI * moves.slowness(i * 100 * MILLI);
            moves.onTransferEnded(expected, 480 * MILLI - expected, i * 100 * MILLI);
        }
        assertThat(moves.slowness(300 * MILLI)).isBetween(2.0, 8.0);
        assertThat(moves.slowness(4 * SECOND)).isEqualTo(1);
    }

    @Test
    void latenessThatOthersReadingExplainsIsNoSlowness() {
        moves.onTransferEnded(60 * MILLI, 140 * MILLI, 0);
        assertThat(moves.slowness(0)).isEqualTo(1);
    }

    @Test
    void shortMovesTellNothing() {
        moves.onTransferEnded(6 * MILLI, 900 * MILLI, 0);
        assertThat(moves.slowness(0)).isEqualTo(1);
    }
}
