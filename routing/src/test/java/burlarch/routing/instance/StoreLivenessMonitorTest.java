package burlarch.routing.instance;

import static burlarch.routing.planner.Fixture.MILLI;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class StoreLivenessMonitorTest {
    private final StoreLivenessMonitor monitor = new StoreLivenessMonitor();

    private void save(int count, long fromNanos) {
        for (int i = 0; i < count; i++) {
            monitor.onSaveDue(fromNanos + i * 50 * MILLI);
        }
    }

    @Test
    void severalUnreportedSavesMeanThatTheStoreIsDown() {
        monitor.onEventsReceived();
        save(3, 0);
        assertThat(monitor.isUnresponsive(400 * MILLI)).isFalse();
        assertThat(monitor.isUnresponsive(600 * MILLI)).isTrue();
    }

    @Test
    void anyReportMeansThatTheStoreIsUp() {
        monitor.onEventsReceived();
        save(5, 0);
        monitor.onEventsReceived();
        assertThat(monitor.isUnresponsive(600 * MILLI)).isFalse();
    }

    @Test
    void aSingleUnreportedSaveIsIgnored() {
        monitor.onEventsReceived();
        save(1, 0);
        assertThat(monitor.isUnresponsive(5_000 * MILLI)).isFalse();
    }

    @Test
    void aStoreThatHasNeverReportedIsAssumedToBeUp() {
        save(9, 0);
        assertThat(monitor.isUnresponsive(5_000 * MILLI)).isFalse();
    }
}
