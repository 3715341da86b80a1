package burlarch.controller.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.register.AcceptorDiskMonitor.WriteResult;
import org.junit.jupiter.api.Test;

class AcceptorDiskMonitorTest {
    private static final long MILLI = 1_000_000L;
    private static final long CHECK_MILLIS = 250;

    private final AcceptorDiskMonitor monitor = new AcceptorDiskMonitor();
    private long nowMillis;

    private void write(WriteResult result) {
        monitor.onTaskSubmitted(nowMillis * MILLI);
        monitor.onTaskEnded(result, nowMillis * MILLI);
    }

    private void pass(long millis) {
        long until = nowMillis + millis;
        while (nowMillis < until) {
            nowMillis += CHECK_MILLIS;
            monitor.check(nowMillis * MILLI);
        }
    }

    private void failUntilAbstaining() {
        write(WriteResult.FAILED);
        pass(1_000);
        assertThat(monitor.abstains()).isTrue();
    }

    @Test
    void aDiskThatRefusesWritesMakesTheAcceptorAbstain() {
        write(WriteResult.FAILED);
        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).isTrue();

        pass(1_000);

        assertThat(monitor.abstains()).isTrue();
        assertThat(monitor.abstainingSinceNanos()).isEqualTo(1_000 * MILLI);
    }

    @Test
    void aShortFailureIsNoReasonToAbstain() {
        write(WriteResult.FAILED);
        pass(500);
        write(WriteResult.SUCCEEDED);
        pass(5_000);

        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).isFalse();
    }

    @Test
    void aDiskThatHangsMakesTheAcceptorAbstain() {
        monitor.onTaskSubmitted(0);
        pass(1_000);
        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).as("a task is pending already").isFalse();

        pass(500);

        assertThat(monitor.abstains()).isTrue();
    }

    @Test
    void aSlowDiskThatMakesProgressIsUsable() {
        for (int i = 0; i < 40; i++) {
            monitor.onTaskSubmitted(nowMillis * MILLI);
            pass(250);
            monitor.onTaskEnded(WriteResult.SUCCEEDED, nowMillis * MILLI);
        }
        assertThat(monitor.abstains()).isFalse();
    }

    @Test
    void theAcceptorReturnsOnceTheDiskHasWorkedForAWhile() {
        failUntilAbstaining();
        write(WriteResult.SUCCEEDED);
        pass(1_750);
        assertThat(monitor.abstains()).isTrue();

        pass(250);

        assertThat(monitor.abstains()).isFalse();
    }

    @Test
    void aDiskThatFailsByTurnsStaysOut() {
        failUntilAbstaining();
        for (int i = 0; i < 10; i++) {
            write(WriteResult.SUCCEEDED);
            pass(1_000);
            write(WriteResult.FAILED);
            pass(1_000);
            assertThat(monitor.abstains()).isTrue();
        }
    }

    /** After a pause of the process itself the answers of the disk are merely unread. */
    @Test
    void aPauseOfTheProcessIsNoFailureOfTheDisk() {
        monitor.onTaskSubmitted(0);
        nowMillis = 20_000;
        monitor.check(nowMillis * MILLI);
        monitor.onTaskEnded(WriteResult.SUCCEEDED, nowMillis * MILLI);
        pass(5_000);

        assertThat(monitor.abstains()).isFalse();
    }
}
