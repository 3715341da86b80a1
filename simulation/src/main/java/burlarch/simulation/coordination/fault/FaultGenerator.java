package burlarch.simulation.coordination.fault;

import burlarch.simulation.coordination.plan.FleetPlan;
import burlarch.simulation.coordination.plan.FleetTimings;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;

/**
 * Draws the faults of one run, in one of four ways:
 *
 * <pre>
 * of 20 seeds   losses ({@link LossPolicy})   faults
 * 7             unbounded                     a mix of up to seven, at any time
 * 2             unbounded                     a given pair of kinds, and up to two more
 * 7             within budget                 a sequence: each begins in, at the end of or soon after the one before
 * 4             within budget                 a given pair of kinds, and up to two more
 * </pre>
 *
 * <p>Three of four runs also have a closing fault. The order of the draws decides which scenario belongs to a seed.
 */
public final class FaultGenerator {
    private static final double FIRST_SECOND = 4;
    private static final int MAX_FAULTS = 7;
    private static final double MAX_LENGTH = 6;
    private static final double MAX_PARTITION = 20;
    private static final double NEARBY = 0.3;
    private static final double REPLACEMENT_LENGTH = 2;
    private static final int DRAWS_PER_NEWEST_GONE = 10;

    // Of so many ways those up to each number are the ones of the table above.
    private static final int WAYS = 20;
    private static final int UNBOUNDED_MIXES = 7;
    private static final int UNBOUNDED_PAIRS = 9;
    private static final int BUDGETED_SEQUENCES = 16;

    private final Random random;
    private final FleetPlan plan;
    private final FaultStepWriter steps;
    private final LossBudget budget;
    private final LossPolicy lossPolicy;
    private final List<FaultOccurrence> occurrences = new ArrayList<>();
    /** Time at which the last ordinary fault may begin. */
    private final double lastSecond;
    /** Disks that may still be lost where losses are unbounded. */
    private int disksLeft;

    private FaultGenerator(FleetPlan plan, Random random, LossPolicy lossPolicy) {
        this.plan = plan;
        this.random = random;
        this.lossPolicy = lossPolicy;
        steps = new FaultStepWriter(plan, random, lossPolicy);
        budget = new LossBudget(plan.tolerance());
        lastSecond = plan.seconds() - FleetTimings.FAULT_FREE_SECONDS - 1.0;
        disksLeft = plan.tolerance();
    }

    /**
     * Draws the faults of one run.
     *
     * @param pair number from which the two kinds follow where the draw is of a given pair
     */
    public static FaultSchedule draw(FleetPlan plan, Random random, long pair) {
        int way = random.nextInt(WAYS);
        FaultGenerator generator = new FaultGenerator(
                plan, random, way < UNBOUNDED_PAIRS ? LossPolicy.UNBOUNDED : LossPolicy.WITHIN_BUDGET);
        if (way < UNBOUNDED_MIXES) {
            generator.addMix();
            generator.addClosingFault();
        } else if (way < UNBOUNDED_PAIRS) {
            generator.addPair(pair);
            generator.addClosingFault();
        } else {
            // The closing fault goes first: it takes its part of the budget, whatever else is drawn.
            generator.addClosingFault();
            if (way < BUDGETED_SEQUENCES) {
                generator.addSequence();
            } else {
                generator.addPair(pair);
            }
        }
        return new FaultSchedule(generator.steps.lines(), generator.occurrences);
    }

    private void addMix() {
        int count = 1 + random.nextInt(MAX_FAULTS);
        for (int i = 0; i < count; i++) {
            schedule(drawKind(), drawTime());
        }
    }

    /** Faults one after the other, each within the one before, as it ends, or while what it cost is made good. */
    private void addSequence() {
        double at = FIRST_SECOND + 2 * random.nextDouble();
        int count = 2 + random.nextInt(MAX_FAULTS - 1);
        for (int i = 0; i < count && at < lastSecond; i++) {
            FaultKind kind = random.nextInt(5) < 2 ? drawKindLosingDisk() : drawKind();
            Optional<FaultOccurrence> placed = schedule(kind, at);
            if (placed.isPresent()) {
                at = drawTimeAfter(placed.get());
            }
        }
    }

    private double drawTimeAfter(FaultOccurrence last) {
        double length = last.to() - last.from();
        return switch (random.nextInt(3)) {
            case 0 -> last.from() + length * random.nextDouble();
            case 1 -> last.to() + NEARBY * random.nextGaussian();
            default -> last.to() + LossBudget.CATCH_UP_SECONDS * random.nextDouble();
        };
    }

    private void addPair(long number) {
        List<FaultKind> kinds = FaultKind.ordinary();
        int index = (int) Math.floorMod(number, (long) kinds.size() * kinds.size());
        Optional<FaultOccurrence> first = schedule(kinds.get(index / kinds.size()), drawTime());
        double second = first.map(this::drawTimeWithin).orElseGet(this::drawTime);
        schedule(kinds.get(index % kinds.size()), second);
        for (int i = random.nextInt(3); i > 0; i--) {
            schedule(drawKind(), drawTime());
        }
    }

    private double drawTimeWithin(FaultOccurrence fault) {
        return fault.from() + random.nextDouble() * (fault.to() - fault.from() + NEARBY);
    }

    /** Any kind; where losses are unbounded, the loss of the newest values is more likely than the others. */
    private FaultKind drawKind() {
        if (lossPolicy == LossPolicy.UNBOUNDED && random.nextInt(DRAWS_PER_NEWEST_GONE) == 0) {
            return FaultKind.NEWEST_GONE;
        }
        return drawFrom(FaultKind.ordinary());
    }

    private FaultKind drawKindLosingDisk() {
        return drawFrom(
                FaultKind.ordinary().stream().filter(FaultKind::losesDisk).toList());
    }

    private FaultKind drawFrom(List<FaultKind> kinds) {
        return kinds.get(random.nextInt(kinds.size()));
    }

    /** Any time, often close to the begin or the end of another fault. */
    private double drawTime() {
        double at = FIRST_SECOND + random.nextDouble() * (lastSecond - FIRST_SECOND);
        if (!occurrences.isEmpty() && random.nextBoolean()) {
            FaultOccurrence other = occurrences.get(random.nextInt(occurrences.size()));
            at = (random.nextBoolean() ? other.from() : other.to()) + random.nextGaussian() * NEARBY;
        }
        return Math.min(lastSecond, Math.max(FIRST_SECOND, at));
    }

    /**
     * Adds a fault at a time, or later where the budget demands it. Returns empty, and adds nothing, where the fault
     * doesn't fit, or where it would end before it begins: such an end would never come.
     */
    private Optional<FaultOccurrence> schedule(FaultKind kind, double wanted) {
        double length = Math.min(drawLength(kind), lastSecond + 1 - wanted);
        if (length <= 0) {
            return Optional.empty();
        }
        OptionalDouble at = lossPolicy == LossPolicy.WITHIN_BUDGET
                ? timeWithinBudget(kind, Math.max(FIRST_SECOND, wanted), length)
                : timeWithDiskLeft(kind, wanted);
        if (at.isEmpty() || kind.replacesController() && !steps.hasSpare()) {
            return Optional.empty();
        }
        return Optional.of(add(kind, at.getAsDouble(), length));
    }

    private FaultOccurrence add(FaultKind kind, double at, double length) {
        kind.write(steps, at, length);
        FaultOccurrence occurrence = new FaultOccurrence(kind, at, at + length);
        occurrences.add(occurrence);
        if (lossPolicy == LossPolicy.WITHIN_BUDGET) {
            reserve(occurrence);
        }
        return occurrence;
    }

    private OptionalDouble timeWithDiskLeft(FaultKind kind, double wanted) {
        if (kind.losesDisk() && disksLeft-- <= 0) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(wanted);
    }

    private OptionalDouble timeWithinBudget(FaultKind kind, double wanted, double length) {
        return switch (kind.loss()) {
            case ONE_CONTROLLER, ONE_DISK -> budget.earliest(wanted, lastSecond, length, 1);
            case MAJORITY_AND_DISK -> OptionalDouble.empty();
            default -> wanted > lastSecond ? OptionalDouble.empty() : OptionalDouble.of(wanted);
        };
    }

    private void reserve(FaultOccurrence fault) {
        switch (fault.kind().loss()) {
            case ONE_CONTROLLER, ONE_DISK -> budget.reserve(fault.from(), fault.to(), 1);
            case ALL_CONTROLLERS, CLOSING_DISK -> budget.reserve(fault.from(), fault.to(), plan.tolerance());
            default -> {
                // Costs nothing that the budget counts.
            }
        }
    }

    /** Length of a fault in seconds; draws nothing for kinds of a fixed length. */
    private double drawLength(FaultKind kind) {
        if (kind.replacesController()) {
            return REPLACEMENT_LENGTH;
        }
        if (kind == FaultKind.ROLL_TERM_TURN) {
            return FaultStepWriter.RESTART_INTERVAL * plan.controllers();
        }
        if (kind.partitionsController() && random.nextInt(3) == 0) {
            return MAX_PARTITION / 2 * (1 + random.nextDouble());
        }
        double part = random.nextDouble();
        return 0.2 + (random.nextInt(4) == 0 ? part : part * random.nextDouble()) * MAX_LENGTH;
    }

    /** Adds a fault at the end of the run, in three of four runs. */
    private void addClosingFault() {
        FaultKind kind = drawFrom(FaultKind.closing());
        boolean disksMayBeLost = lossPolicy == LossPolicy.WITHIN_BUDGET || disksLeft == plan.tolerance();
        boolean allowed = !kind.losesDisk() || disksMayBeLost;
        if (random.nextInt(4) == 0 || !allowed) {
            return;
        }
        double at = plan.seconds() - FleetTimings.CLOSING_FAULT_SECONDS - 1.5 - random.nextDouble();
        add(kind, at, 1);
    }
}
