package burlarch.router.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Which requests a draining router accepts at which time. A request sent more than 3 s after the signal must get its
 * complete response; one sent earlier may be aborted if its instance is still at work in the last sixth of the grace
 * period.
 */
class DrainScheduleTest {
    /** Requests sent up to this time after the signal may be aborted in the last sixth of the grace period. */
    private static final long EXEMPT_MILLIS = 3000;
    /** Assumed delay until the process receives the signal. */
    private static final long SIGNAL_DELAY_MILLIS = 400;

    private static final long LONG_MILLIS = 3_600_000;
    private static final long TRANSIT_MILLIS = 120;

    private static final long[] GRACE_MILLIS = {4000, 5000, 8000, 12_000, 20_000, 30_000};

    @Test
    void lateAcceptedRequestEndsBeforeTheProcess() {
        for (long graceMillis : GRACE_MILLIS) {
            DrainSchedule schedule = DrainSchedule.within(graceMillis, TRANSIT_MILLIS);
            for (long elapsedMillis = 0; elapsedMillis < graceMillis; elapsedMillis += 10) {
                for (long remainingMillis = 10; remainingMillis <= graceMillis; remainingMillis += 10) {
                    boolean isExempt = elapsedMillis + SIGNAL_DELAY_MILLIS <= EXEMPT_MILLIS
                            && schedule.endAtMillis() >= graceMillis * 5 / 6;
                    boolean endsInTime = elapsedMillis + remainingMillis < schedule.endAtMillis();
                    assertThat(!schedule.accepts(elapsedMillis, remainingMillis) || isExempt || endsInTime)
                            .as("grace %d, at %d, remaining %d", graceMillis, elapsedMillis, remainingMillis)
                            .isTrue();
                }
            }
        }
    }

    /** Guards against streams that are cut before the last sixth of the grace period begins (LOST). */
    @ParameterizedTest
    @ValueSource(longs = {4000, 5000, 8000, 12_000, 20_000, 30_000})
    void whatAnInstanceHasSentBeforeTheLastSixthIsForwarded(long graceMillis) {
        for (long transitMillis : new long[] {20, 120, 200}) {
            DrainSchedule schedule = DrainSchedule.within(graceMillis, transitMillis);
            assertThat(schedule.isOver(graceMillis * 5 / 6 + transitMillis - 1)).isFalse();
            assertThat(graceMillis - schedule.endAtMillis()).isGreaterThanOrEqualTo(Math.min(1500, graceMillis / 12));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {4000, 8000, 30_000})
    void everythingIsAcceptedUntilTheLoadBalancerHasRemovedTheRouter(long graceMillis) {
        DrainSchedule schedule = DrainSchedule.within(graceMillis, TRANSIT_MILLIS);
        assertThat(schedule.accepts(Math.min(2000, graceMillis / 2) - 1, LONG_MILLIS))
                .isTrue();
        assertThat(schedule.accepts(schedule.rejectAtMillis(), LONG_MILLIS)).isFalse();
    }

    @Test
    void shortRequestIsAcceptedWhileItEndsInTime() {
        DrainSchedule schedule = DrainSchedule.within(8000, TRANSIT_MILLIS);
        assertThat(schedule.accepts(5000, 1000)).isTrue();
        assertThat(schedule.accepts(5000, 2000)).isFalse();
        assertThat(schedule.accepts(7000, 10)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 1500, 4000, 8000, 30_000})
    void stepsAreInOrderWithinTheGracePeriod(long graceMillis) {
        DrainSchedule schedule = DrainSchedule.within(graceMillis, TRANSIT_MILLIS);
        assertThat(schedule.closeConnectionsAtMillis()).isLessThan(schedule.rejectAtMillis());
        assertThat(schedule.rejectAtMillis()).isLessThan(schedule.endAtMillis());
        assertThat(schedule.endAtMillis()).isBetween(graceMillis * 5 / 6, graceMillis - 1);
        assertThat(schedule.isOver(schedule.endAtMillis() - 1)).isFalse();
        assertThat(schedule.isOver(schedule.endAtMillis())).isTrue();
    }
}
