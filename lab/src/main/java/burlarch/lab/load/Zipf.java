package burlarch.lab.load;

import java.util.Arrays;

/** Zipf-Mandelbrot distribution over ranks: rank {@code r} has weight {@code (r + offset)^-exponent}. */
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

    /** @param uniform a uniform draw from [0, 1) */
    int rank(double uniform) {
        int index = Arrays.binarySearch(cumulative, uniform);
        return Math.min(cumulative.length - 1, index < 0 ? -index - 1 : index + 1);
    }
}
