package burlarch.simulation.coordination;

import burlarch.simulation.coordination.FaultCooccurrences.FaultOccurrence;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Draws troubles for a fleet, in one of two ways. Unbound: any at any time, but no more disks are lost in all
 * than the deployment bears. Bound: as a deployment's days go, controllers and disks may be lost again and
 * again, but never more at once than it bears; all of the core may restart at any time.
 */
final class FaultGenerator {
    private static final double FIRST_SECOND = 4;
    private static final int MOST_TROUBLES = 7;
    private static final double LONGEST = 6;
    private static final double LONGEST_CUT = 20;
    private static final double NEARBY = 0.3;
    private static final double REPLACEMENT_SECONDS = 2;
    private static final int ONE_NEWEST_GONE_IN = 10;
    private static final int WAYS = 20;
    private static final int UNBOUND_MIXES = 7;
    private static final int UNBOUND_PAIRS = 9;
    private static final int BOUND_SEQUENCES = 16;

    private final Random random;
    private final FleetPlan plan;
    private final FaultStepWriter steps;
    private final LossBudget budget;
    private final boolean bound;
    private final List<FaultOccurrence> drawn = new ArrayList<>();
    private final double lastSecond;
    private int disksLeft;

    private FaultGenerator(FleetPlan plan, Random random, boolean bound) {
        this.plan = plan;
        this.random = random;
        this.bound = bound;
        steps = new FaultStepWriter(plan, random, bound);
        budget = new LossBudget(plan.tolerance());
        lastSecond = plan.seconds() - CoordinationRun.FAULT_FREE_SECONDS - 1.0;
        disksLeft = plan.tolerance();
    }

    /** Steps of a scenario, and what they are. */
    record Draw(List<String> lines, List<FaultOccurrence> drawn) {}

    /** @param pair number that the kinds of a pair follow from, where the draw is to have a certain one */
    static Draw draw(FleetPlan plan, Random random, long pair) {
        int way = random.nextInt(WAYS);
        FaultGenerator troubles = new FaultGenerator(plan, random, way >= UNBOUND_PAIRS);
        if (way < UNBOUND_MIXES) {
            troubles.mix();
            troubles.lastFault();
        } else if (way < UNBOUND_PAIRS) {
            troubles.pair(pair);
            troubles.lastFault();
        } else {
            troubles.lastFault();
            if (way < BOUND_SEQUENCES) {
                troubles.sequence();
            } else {
                troubles.pair(pair);
            }
        }
        return new Draw(troubles.steps.lines(), troubles.drawn);
    }

    private void mix() {
        int count = 1 + random.nextInt(MOST_TROUBLES);
        for (int i = 0; i < count; i++) {
            place(any(), moment());
        }
    }

    /** One after the other, each within the one before, as it ends or after it. */
    private void sequence() {
        double at = FIRST_SECOND + 2 * random.nextDouble();
        int count = 2 + random.nextInt(MOST_TROUBLES - 1);
        for (int i = 0; i < count && at < lastSecond; i++) {
            FaultKind kind = random.nextInt(5) < 2 ? losingDisks() : any();
            FaultOccurrence last = place(kind, at);
            if (last != null) {
                double length = last.to() - last.from();
                at = switch (random.nextInt(3)) {
                    case 0 -> last.from() + length * random.nextDouble();
                    case 1 -> last.to() + NEARBY * random.nextGaussian();
                    default -> last.to() + LossBudget.CATCH_UP_SECONDS * random.nextDouble();
                };
            }
        }
    }

    private void pair(long number) {
        List<FaultKind> kinds = FaultKind.ordinary();
        int index = (int) Math.floorMod(number, (long) kinds.size() * kinds.size());
        FaultOccurrence first = place(kinds.get(index / kinds.size()), moment());
        double within =
                first == null ? moment() : first.from() + random.nextDouble() * (first.to() - first.from() + NEARBY);
        place(kinds.get(index % kinds.size()), within);
        for (int i = random.nextInt(3); i > 0; i--) {
            place(any(), moment());
        }
    }

    /** Where losses are not bound, more often than by lot what takes the newest value away. */
    private FaultKind any() {
        if (!bound && random.nextInt(ONE_NEWEST_GONE_IN) == 0) {
            return FaultKind.NEWEST_GONE;
        }
        List<FaultKind> kinds = FaultKind.ordinary();
        return kinds.get(random.nextInt(kinds.size()));
    }

    private FaultKind losingDisks() {
        List<FaultKind> kinds =
                FaultKind.ordinary().stream().filter(FaultKind::losesDisk).toList();
        return kinds.get(random.nextInt(kinds.size()));
    }

    /** Often close to the begin of another trouble, or to its end. */
    private double moment() {
        double at = FIRST_SECOND + random.nextDouble() * (lastSecond - FIRST_SECOND);
        if (!drawn.isEmpty() && random.nextBoolean()) {
            FaultOccurrence other = drawn.get(random.nextInt(drawn.size()));
            at = (random.nextBoolean() ? other.from() : other.to()) + random.nextGaussian() * NEARBY;
        }
        return Math.min(lastSecond, Math.max(FIRST_SECOND, at));
    }

    /**
     * Adds a trouble at that time, or later where too much is lost then; null where it doesn't fit, or where
     * it would end before it begins: such an end never comes.
     */
    private FaultOccurrence place(FaultKind kind, double wanted) {
        double length = Math.min(length(kind), lastSecond + 1 - wanted);
        if (length <= 0) {
            return null;
        }
        double at = bound ? placeInBudget(kind, Math.max(FIRST_SECOND, wanted), length) : placeFree(kind, wanted);
        if (Double.isNaN(at) || kind.replaces() && !steps.hasSpare()) {
            return null;
        }
        kind.add(steps, at, length);
        FaultOccurrence placed = new FaultOccurrence(kind, at, at + length);
        drawn.add(placed);
        if (bound) {
            take(placed);
        }
        return placed;
    }

    private double placeFree(FaultKind kind, double wanted) {
        if (kind.losesDisk() && disksLeft-- <= 0) {
            return Double.NaN;
        }
        return wanted;
    }

    private double placeInBudget(FaultKind kind, double wanted, double length) {
        return switch (kind.loss()) {
            case ONE, DISK -> budget.earliest(wanted, lastSecond, length, 1);
            case MANY_AND_DISK -> Double.NaN;
            default -> wanted > lastSecond ? Double.NaN : wanted;
        };
    }

    private void take(FaultOccurrence placed) {
        switch (placed.kind().loss()) {
            case ONE, DISK -> budget.take(placed.from(), placed.to(), 1);
            case ALL, CLOSING_DISK -> budget.take(placed.from(), placed.to(), plan.tolerance());
            default -> {}
        }
    }

    private double length(FaultKind kind) {
        if (kind.replaces()) {
            return REPLACEMENT_SECONDS;
        }
        if (kind == FaultKind.ROLL_TERM_TURN) {
            return FaultStepWriter.ROLL_GAP * plan.controllers();
        }
        if (kind.cutsController() && random.nextInt(3) == 0) {
            return LONGEST_CUT / 2 * (1 + random.nextDouble());
        }
        double part = random.nextDouble();
        return 0.2 + (random.nextInt(4) == 0 ? part : part * random.nextDouble()) * LONGEST;
    }

    /** Drawn first where losses are bound, so that nothing is lost as it strikes. */
    private void lastFault() {
        List<FaultKind> kinds = FaultKind.closing();
        FaultKind kind = kinds.get(random.nextInt(kinds.size()));
        boolean allowed = !kind.losesDisk() || bound || disksLeft == plan.tolerance();
        if (random.nextInt(4) == 0 || !allowed) {
            return;
        }
        double at = plan.seconds() - CoordinationRun.CLOSING_FAULT_SECONDS - 1.5 - random.nextDouble();
        kind.add(steps, at, 1);
        FaultOccurrence placed = new FaultOccurrence(kind, at, at + 1);
        drawn.add(placed);
        if (bound) {
            take(placed);
        }
    }
}
