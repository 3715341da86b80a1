package burlarch.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Counters and latency histograms of one worker, merged at the end of a run. Latencies are in microseconds from
 * the time at which a request was due, so that a stalled server shows in every request due during the stall.
 */
final class LoadStatistics {
    static final long MAX_LATENCY_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OUTCOME_COUNT = Outcome.values().length;

    /** How a request ended for its client. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        LOST,
        UNANSWERED,
        LEFT,
        /** No connection became available before the timeout: nothing was sent. */
        UNSENT
    }

    /** Counts of the requests that were due in one second of the run. */
    static final class Second {
        final Histogram served = new Histogram(MAX_LATENCY_MICROS, 2);
        final long[] outcomes = new long[OUTCOME_COUNT];
        long late;

        void add(Second other) {
            served.add(other.served);
            late += other.late;
            for (int i = 0; i < OUTCOME_COUNT; i++) {
                outcomes[i] += other.outcomes[i];
            }
        }
    }

    final Histogram served = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    final Histogram responses = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    final Histogram service = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    /** The generator's own send delay, in nanoseconds: from when a request was due to when a worker took it. */
    final Histogram lag = new Histogram(MAX_LATENCY_MICROS * 1000, SIGNIFICANT_DIGITS);

    final Histogram[] byClass;
    final long[][] classOutcomes;
    final long[][] tenantOutcomes;
    final long[] lateByClass;
    final List<Second> seconds = new ArrayList<>();
    long retries;
    long connects;

    LoadStatistics(int classes, int tenants) {
        byClass = new Histogram[classes];
        for (int i = 0; i < classes; i++) {
            byClass[i] = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        }
        classOutcomes = new long[classes][OUTCOME_COUNT];
        tenantOutcomes = new long[tenants][OUTCOME_COUNT];
        lateByClass = new long[classes];
    }

    Second second(long dueNanos) {
        int index = (int) Math.max(0, dueNanos / 1_000_000_000L);
        while (seconds.size() <= index) {
            seconds.add(new Second());
        }
        return seconds.get(index);
    }

    /**
     * Counts a completed request.
     *
     * @param late whether it exceeded its class's latency aim
     */
    void record(PlannedRequest planned, Outcome outcome, long latencyNanos, long serviceNanos, boolean late) {
        long latencyMicros = Math.max(0, Math.min(MAX_LATENCY_MICROS, latencyNanos / 1000));
        Second second = second(planned.dueNanos());
        if (outcome == Outcome.SERVED) {
            served.recordValue(latencyMicros);
            byClass[planned.requestClass()].recordValue(latencyMicros);
            second.served.recordValue(latencyMicros);
            service.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, serviceNanos / 1000)));
            if (late) {
                lateByClass[planned.requestClass()]++;
                second.late++;
            }
        }
        if (outcome == Outcome.SERVED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED) {
            responses.recordValue(latencyMicros);
        }
        classOutcomes[planned.requestClass()][outcome.ordinal()]++;
        tenantOutcomes[planned.tenant()][outcome.ordinal()]++;
        second.outcomes[outcome.ordinal()]++;
        retries += planned.attemptIndex() > 0 ? 1 : 0;
    }

    void add(LoadStatistics other) {
        served.add(other.served);
        responses.add(other.responses);
        service.add(other.service);
        lag.add(other.lag);
        retries += other.retries;
        connects += other.connects;
        for (int i = 0; i < byClass.length; i++) {
            byClass[i].add(other.byClass[i]);
            lateByClass[i] += other.lateByClass[i];
            sum(classOutcomes[i], other.classOutcomes[i]);
        }
        for (int i = 0; i < tenantOutcomes.length; i++) {
            sum(tenantOutcomes[i], other.tenantOutcomes[i]);
        }
        for (int i = 0; i < other.seconds.size(); i++) {
            second(i * 1_000_000_000L).add(other.seconds.get(i));
        }
    }

    private static void sum(long[] totals, long[] addends) {
        for (int i = 0; i < totals.length; i++) {
            totals[i] += addends[i];
        }
    }
}
