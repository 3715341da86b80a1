package burlarch.lab.load;

import burlarch.standins.model.Draw;
import java.util.Arrays;

/**
 * When each request is due, fixed before the first is sent. The times are those at which the integral of the
 * shape's rate passes the targets: whole numbers for an even stream, sums of exponential draws for a Poisson
 * process (the time-change theorem; Devroye, Non-Uniform Random Variate Generation, VI.1.3).
 */
public final class Schedule {
    /** More than any run here needs; 8 bytes each. */
    private static final int MOST = 50_000_000;
    /** The rate is taken as constant within such a stretch. */
    private static final double STRETCH_S = 0.001;

    private Schedule() {}

    /**
     * @return nanoseconds from the start, ascending
     * @throws IllegalArgumentException where it would be over 50 million
     */
    public static long[] of(Shape shape, double seconds, boolean poisson, long seed) {
        long[] due = new long[1024];
        int count = 0;
        double passed = 0;
        double target = poisson ? exponential(seed, 0) : 0.5;
        int stretches = (int) Math.ceil(seconds / STRETCH_S);
        for (int i = 0; i < stretches; i++) {
            double startS = i * STRETCH_S;
            double lengthS = Math.min(STRETCH_S, seconds - startS);
            double rate = Math.max(0, shape.rate(startS + lengthS / 2));
            double atEnd = passed + rate * lengthS;
            while (target < atEnd) {
                if (count == due.length) {
                    if (count >= MOST) {
                        throw new IllegalArgumentException("over " + MOST + " requests");
                    }
                    due = Arrays.copyOf(due, Math.min(MOST, 2 * count));
                }
                due[count++] = Math.round((startS + (target - passed) / rate) * 1e9);
                target += poisson ? exponential(seed, count) : 1;
            }
            passed = atEnd;
        }
        return Arrays.copyOf(due, count);
    }

    private static double exponential(long seed, long index) {
        return -Math.log(1 - Draw.unit(Draw.mix(seed * 0x9e3779b97f4a7c15L + Draw.mix(index + 1))));
    }
}
