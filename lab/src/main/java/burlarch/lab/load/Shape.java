package burlarch.lab.load;

/**
 * Rate of a load over time: requests per second as a pure function of the seconds since the start. Shapes can be
 * added, for example a daily curve with a rush and spikes on top.
 */
@FunctionalInterface
public interface Shape {
    /** @return requests per second, never negative */
    double rate(double seconds);

    static Shape constant(double rate) {
        return seconds -> rate;
    }

    /** Linear change between two rates over an interval; constant before and after it. */
    static Shape ramp(double from, double to, double startS, double endS) {
        return seconds -> seconds <= startS
                ? from
                : seconds >= endS ? to : from + (to - from) * (seconds - startS) / (endS - startS);
    }

    /** One rate before a point in time, another from then on. */
    static Shape step(double before, double after, double atS) {
        return seconds -> seconds < atS ? before : after;
    }

    /** A constant rate during an interval, zero outside it. */
    static Shape spike(double rate, double atS, double lengthS) {
        return seconds -> seconds >= atS && seconds < atS + lengthS ? rate : 0;
    }

    /**
     * A rush: rises from nothing to the peak within {@code riseS} along a logistic curve, then halves every
     * {@code halfLifeS}.
     */
    static Shape rush(double peak, double atS, double riseS, double halfLifeS) {
        return seconds -> {
            double sincePeak = seconds - atS - riseS;
            double rise = 1 / (1 + Math.exp(-12 * ((seconds - atS) / riseS - 0.5)));
            return peak * (sincePeak > 0 ? Math.pow(0.5, sincePeak / halfLifeS) : rise);
        };
    }

    /** A daily curve (raised cosine): minimum at the start and the end, maximum in the middle. */
    static Shape day(double min, double max, double lengthS) {
        return seconds -> min + (max - min) * (1 - Math.cos(2 * Math.PI * seconds / lengthS)) / 2;
    }

    default Shape plus(Shape other) {
        return seconds -> rate(seconds) + other.rate(seconds);
    }
}
