package burlarch.lab.load;

import java.util.Arrays;

/** Ranks by Zipf's law, with the offset of Mandelbrot's: rank {@code r} weighs {@code (r + offset)^-s}. */
final class Zipf {
    private final double[] cumulative;

    Zipf(int count, double exponent, double offset) {
        cumulative = new double[count];
        double sum = 0;
        for (int rank = 0; rank < count; rank++) {
            sum += Math.pow(rank + 1 + offset, -exponent);
            cumulative[rank] = sum;
        }
        for (int rank = 0; rank < count; rank++) {
            cumulative[rank] /= sum;
        }
    }

    /** @param unit evenly spread in [0, 1) */
    int rank(double unit) {
        int at = Arrays.binarySearch(cumulative, unit);
        return Math.min(cumulative.length - 1, at < 0 ? -at - 1 : at + 1);
    }
}
