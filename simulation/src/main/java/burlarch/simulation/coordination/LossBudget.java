package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.List;

/**
 * How many controllers are lost when, against what the deployment bears at once. A controller is lost while
 * it is down, frozen, slowed or cut off, while its disk is in trouble, and for {@link #CATCH_UP_SECONDS}
 * after it is back, or after the start of the one that takes its place. Times are seconds.
 */
final class LossBudget {
    /** One second more than a deployment's usual {@code catch_up_s}, as figures are rounded. */
    static final double CATCH_UP_SECONDS = 5;

    private static final double STEP_SECONDS = 0.25;

    private record Span(double from, double to, int controllers) {}

    private final int tolerance;
    private final List<Span> spans = new ArrayList<>();

    LossBudget(int tolerance) {
        this.tolerance = tolerance;
    }

    /** Whether so many more may be lost from one moment to the other, the time to catch up not included. */
    boolean admits(double from, double to, int controllers) {
        double end = to + CATCH_UP_SECONDS;
        int most = lostAt(from);
        for (Span span : spans) {
            if (span.from > from && span.from < end) {
                most = Math.max(most, lostAt(span.from));
            }
        }
        return most + controllers <= tolerance;
    }

    private int lostAt(double moment) {
        int lost = 0;
        for (Span span : spans) {
            lost += span.from <= moment && moment < span.to ? span.controllers : 0;
        }
        return lost;
    }

    /** The first moment from {@code from} to {@code latest} that admits it; NaN where none does. */
    double earliest(double from, double latest, double length, int controllers) {
        for (double at = from; at <= latest; at += STEP_SECONDS) {
            if (admits(at, at + length, controllers)) {
                return at;
            }
        }
        return Double.NaN;
    }

    void take(double from, double to, int controllers) {
        spans.add(new Span(from, to + CATCH_UP_SECONDS, controllers));
    }
}
