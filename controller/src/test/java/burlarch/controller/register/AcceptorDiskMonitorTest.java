package burlarch.controller.register;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.controller.register.AcceptorDiskMonitor.WriteResult;
import org.junit.jupiter.api.Test;

/** Tests when an acceptor abstains because of its disk, and when it takes part again. */
class AcceptorDiskMonitorTest {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final long CHECK_MILLIS = 250;

    private final AcceptorDiskMonitor monitor = new AcceptorDiskMonitor();
    private long nowMillis;

    private void runWriteTask(WriteResult result) {
        monitor.onTaskSubmitted(nowMillis * NANOS_PER_MILLI);
        monitor.onTaskEnded(result, nowMillis * NANOS_PER_MILLI);
    }

    private void advance(long millis) {
        long until = nowMillis + millis;
        while (nowMillis < until) {
            nowMillis += CHECK_MILLIS;
            monitor.check(nowMillis * NANOS_PER_MILLI);
        }
    }

    private void failUntilAbstaining() {
        runWriteTask(WriteResult.FAILED);
        advance(1_000);
        assertThat(monitor.abstains()).isTrue();
    }

    @Test
    void failedWritesMakeAcceptorAbstain() {
        runWriteTask(WriteResult.FAILED);
        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).isTrue();

        advance(1_000);

        assertThat(monitor.abstains()).isTrue();
        assertThat(monitor.abstainingSinceNanos()).isEqualTo(1_000 * NANOS_PER_MILLI);
    }

    @Test
    void shortFailureDoesNotMakeAcceptorAbstain() {
        runWriteTask(WriteResult.FAILED);
        advance(500);
        runWriteTask(WriteResult.SUCCEEDED);
        advance(5_000);

        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).isFalse();
    }

    @Test
    void hangingDiskMakesAcceptorAbstain() {
        monitor.onTaskSubmitted(0);
        advance(1_000);
        assertThat(monitor.abstains()).isFalse();
        assertThat(monitor.needsProbe()).as("a task is pending already").isFalse();

        advance(500);

        assertThat(monitor.abstains()).isTrue();
    }

    @Test
    void slowDiskThatMakesProgressIsUsable() {
        for (int i = 0; i < 40; i++) {
            monitor.onTaskSubmitted(nowMillis * NANOS_PER_MILLI);
            advance(250);
            monitor.onTaskEnded(WriteResult.SUCCEEDED, nowMillis * NANOS_PER_MILLI);
        }
        assertThat(monitor.abstains()).isFalse();
    }

    @Test
    void acceptorReturnsAfterSustainedSuccess() {
        failUntilAbstaining();
        runWriteTask(WriteResult.SUCCEEDED);
        advance(1_750);
        assertThat(monitor.abstains()).isTrue();

        advance(250);

        assertThat(monitor.abstains()).isFalse();
    }

    @Test
    void intermittentlyFailingDiskKeepsAcceptorAbstaining() {
        failUntilAbstaining();
        for (int i = 0; i < 10; i++) {
            runWriteTask(WriteResult.SUCCEEDED);
            advance(1_000);
            runWriteTask(WriteResult.FAILED);
            advance(1_000);
            assertThat(monitor.abstains()).isTrue();
        }
    }

    /** After a pause of the whole process, results of the disk are pending although the disk did not hang. */
    @Test
    void pauseOfProcessDoesNotMakeAcceptorAbstain() {
        monitor.onTaskSubmitted(0);
        nowMillis = 20_000;
        monitor.check(nowMillis * NANOS_PER_MILLI);
        monitor.onTaskEnded(WriteResult.SUCCEEDED, nowMillis * NANOS_PER_MILLI);
        advance(5_000);

        assertThat(monitor.abstains()).isFalse();
    }
}
