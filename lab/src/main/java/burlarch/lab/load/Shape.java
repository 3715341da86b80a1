package burlarch.lab.load;

/**
 * How a load's rate goes over time: requests a second at a time in seconds. Shapes add up, so that a day is a
 * curve with a rush and some spikes on it. Pure functions.
 */
@FunctionalInterface
public interface Shape {
    /** @return requests a second, never negative */
    double rate(double seconds);

    static Shape constant(double rate) {
        return s -> rate;
    }

    /** Evenly from one rate to another over a span; before and after it the nearer of them. */
    static Shape ramp(double from, double to, double startS, double endS) {
        return s -> s <= startS ? from : s >= endS ? to : from + (to - from) * (s - startS) / (endS - startS);
    }

    /** One rate, and from a time on another. */
    static Shape step(double before, double after, double atS) {
        return s -> s < atS ? before : after;
    }

    /** Nothing but a burst: a rate for a span. */
    static Shape spike(double rate, double atS, double lengthS) {
        return s -> s >= atS && s < atS + lengthS ? rate : 0;
    }

    /**
     * An opening: within {@code riseS} from nothing to the peak, as people come in (a logistic curve), and
     * then a decline that halves every {@code halfLifeS}.
     */
    static Shape rush(double peak, double atS, double riseS, double halfLifeS) {
        return s -> {
            double sinceTop = s - atS - riseS;
            double rise = 1 / (1 + Math.exp(-12 * ((s - atS) / riseS - 0.5)));
            return peak * (sinceTop > 0 ? Math.pow(0.5, sinceTop / halfLifeS) : rise);
        };
    }

    /** A day: least at its start and end, most in the middle (a raised cosine). */
    static Shape day(double least, double most, double lengthS) {
        return s -> least + (most - least) * (1 - Math.cos(2 * Math.PI * s / lengthS)) / 2;
    }

    default Shape plus(Shape other) {
        return s -> rate(s) + other.rate(s);
    }
}
