package burlarch.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What one worker counts; merged at the end. Latencies are from when a request was due, in microseconds: a
 * server that stalls shows in all the requests that were due meanwhile.
 */
final class LoadStatistics {
    static final long LONGEST_MICROS = 600_000_000L;
    private static final int DIGITS = 3;
    private static final int OUTCOMES = Outcome.values().length;

    /** How a request ended for its client. */
    enum Outcome {
        SERVED,
        REFUSED,
        FAILED,
        LOST,
        UNANSWERED,
        LEFT,
        /** It never got a connection in its time: nothing was sent. */
        UNSENT
    }

    /** One second of the run, by when requests were due. */
    static final class Second {
        final Histogram served = new Histogram(LONGEST_MICROS, 2);
        final long[] outcomes = new long[OUTCOMES];
        long late;

        void add(Second other) {
            served.add(other.served);
            late += other.late;
            for (int i = 0; i < OUTCOMES; i++) {
                outcomes[i] += other.outcomes[i];
            }
        }
    }

    final Histogram served = new Histogram(LONGEST_MICROS, DIGITS);
    final Histogram answered = new Histogram(LONGEST_MICROS, DIGITS);
    final Histogram service = new Histogram(LONGEST_MICROS, DIGITS);
    /** The generator's own: from when a request was due to when it was taken in hand; in nanoseconds. */
    final Histogram lag = new Histogram(LONGEST_MICROS * 1000, DIGITS);

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
            byClass[i] = new Histogram(LONGEST_MICROS, DIGITS);
        }
        classOutcomes = new long[classes][OUTCOMES];
        tenantOutcomes = new long[tenants][OUTCOMES];
        lateByClass = new long[classes];
    }

    Second second(long dueNanos) {
        int at = (int) Math.max(0, dueNanos / 1_000_000_000L);
        while (seconds.size() <= at) {
            seconds.add(new Second());
        }
        return seconds.get(at);
    }

    /** @param late whether it was served behind its class's aim */
    void ended(PlannedRequest planned, Outcome outcome, long latencyNanos, long serviceNanos, boolean late) {
        long micros = Math.max(0, Math.min(LONGEST_MICROS, latencyNanos / 1000));
        Second second = second(planned.dueNanos());
        if (outcome == Outcome.SERVED) {
            served.recordValue(micros);
            byClass[planned.requestClass()].recordValue(micros);
            second.served.recordValue(micros);
            service.recordValue(Math.max(0, Math.min(LONGEST_MICROS, serviceNanos / 1000)));
            if (late) {
                lateByClass[planned.requestClass()]++;
                second.late++;
            }
        }
        if (outcome == Outcome.SERVED || outcome == Outcome.REFUSED || outcome == Outcome.FAILED) {
            answered.recordValue(micros);
        }
        classOutcomes[planned.requestClass()][outcome.ordinal()]++;
        tenantOutcomes[planned.tenant()][outcome.ordinal()]++;
        second.outcomes[outcome.ordinal()]++;
        retries += planned.tryNumber() > 0 ? 1 : 0;
    }

    void add(LoadStatistics other) {
        served.add(other.served);
        answered.add(other.answered);
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

    private static void sum(long[] to, long[] from) {
        for (int i = 0; i < to.length; i++) {
            to[i] += from[i];
        }
    }
}
