package burlarch.lab.load;

import burlarch.standins.model.SeededRandom;
import java.util.Arrays;

/**
 * Due times of all requests, computed before the first is sent. They are the times at which the integral of the
 * shape's rate crosses successive targets: integers for evenly spaced arrivals, sums of exponential draws for a
 * Poisson process (time-change theorem; Devroye, Non-Uniform Random Variate Generation, VI.1.3).
 */
public final class Schedule {
    /** Memory bound: each due time takes 8 bytes. */
    private static final int MAX_REQUESTS = 50_000_000;
    /** The rate is treated as constant within a step of this length. */
    private static final double STEP_SECONDS = 0.001;

    private Schedule() {}

    /**
     * Computes the due times of a load.
     *
     * @return nanoseconds from the start, ascending
     * @throws IllegalArgumentException if there would be more than 50 million requests
     */
    public static long[] of(Shape shape, double seconds, boolean poisson, long seed) {
        long[] dueTimes = new long[1024];
        int count = 0;
        double integral = 0;
        double target = poisson ? exponential(seed, 0) : 0.5;
        int steps = (int) Math.ceil(seconds / STEP_SECONDS);
        for (int i = 0; i < steps; i++) {
            double stepStartS = i * STEP_SECONDS;
            double stepLengthS = Math.min(STEP_SECONDS, seconds - stepStartS);
            double rate = Math.max(0, shape.rate(stepStartS + stepLengthS / 2));
            double integralAtEnd = integral + rate * stepLengthS;
            while (target < integralAtEnd) {
                if (count == dueTimes.length) {
                    if (count >= MAX_REQUESTS) {
                        throw new IllegalArgumentException("over " + MAX_REQUESTS + " requests");
                    }
                    dueTimes = Arrays.copyOf(dueTimes, Math.min(MAX_REQUESTS, 2 * count));
                }
                dueTimes[count++] = Math.round((stepStartS + (target - integral) / rate) * 1e9);
                target += poisson ? exponential(seed, count) : 1;
            }
            integral = integralAtEnd;
        }
        return Arrays.copyOf(dueTimes, count);
    }

    private static double exponential(long seed, long index) {
        return -Math.log(
                1 - SeededRandom.unit(SeededRandom.mix(seed * 0x9e3779b97f4a7c15L + SeededRandom.mix(index + 1))));
    }
}
