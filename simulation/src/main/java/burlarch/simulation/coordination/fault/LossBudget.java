package burlarch.simulation.coordination.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Accounts for how many controllers are lost at which time, against what the deployment tolerates at once. A controller
 * is lost while it is down, frozen, slowed or partitioned and while its disk is at fault, and for
 * {@link #CATCH_UP_SECONDS} after it is back, or after the start of its replacement. Times are seconds.
 */
final class LossBudget {
    /** One second more than a deployment's usual {@code catch_up_s}, as figures are rounded. */
    static final double CATCH_UP_SECONDS = 5;

    private static final double STEP_SECONDS = 0.25;

    private record LossSpan(double from, double to, int controllers) {}

    private final int tolerance;
    private final List<LossSpan> spans = new ArrayList<>();

    LossBudget(int tolerance) {
        this.tolerance = tolerance;
    }

    /** Whether so many more controllers may be lost in a span; the time to catch up is added here. */
    private boolean admits(double from, double to, int controllers) {
        double end = to + CATCH_UP_SECONDS;
        int most = lostAt(from);
        for (LossSpan span : spans) {
            if (span.from > from && span.from < end) {
                most = Math.max(most, lostAt(span.from));
            }
        }
        return most + controllers <= tolerance;
    }

    private int lostAt(double moment) {
        int lost = 0;
        for (LossSpan span : spans) {
            lost += span.from <= moment && moment < span.to ? span.controllers : 0;
        }
        return lost;
    }

    /** The first time from {@code from} to {@code latest} at which the loss is admitted; empty where there is none. */
    OptionalDouble earliest(double from, double latest, double length, int controllers) {
        for (double at = from; at <= latest; at += STEP_SECONDS) {
            if (admits(at, at + length, controllers)) {
                return OptionalDouble.of(at);
            }
        }
        return OptionalDouble.empty();
    }

    /** Records a loss, whether it is admitted or not. */
    void reserve(double from, double to, int controllers) {
        spans.add(new LossSpan(from, to + CATCH_UP_SECONDS, controllers));
    }
}
