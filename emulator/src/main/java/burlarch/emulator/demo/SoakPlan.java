package burlarch.emulator.demo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults and changes of one soak, drawn by its seed. They come in series: within a series they follow each other so
 * closely that they overlap, and after it the fleet has some seconds of calm.
 */
final class SoakPlan {
    private static final int MIN_SERIES_STEPS = 2;
    private static final int MAX_SERIES_STEPS = 6;
    private static final long MAX_STEP_GAP_MILLIS = 1_500;
    private static final long MIN_CALM_MILLIS = 2_000;
    private static final long MAX_CALM_MILLIS = 9_000;
    private static final long MIN_LENGTH_MILLIS = 200;
    private static final long MAX_LENGTH_MILLIS = 1_500;
    /** Of so many replacements of instances one is followed by a kill of all processes. */
    private static final int REPLACEMENTS_PER_KILL = 3;

    private static final long MIN_KILL_DELAY_MILLIS = 600;
    private static final long MAX_KILL_DELAY_MILLIS = 1_600;

    /**
     * One fault or change.
     *
     * @param atMillis when it begins, after the start of the traffic
     * @param target index of the router or controller, if the fault strikes one
     * @param lengthMillis how long a pause or an outage lasts, or how late a heartbeat is beyond it
     */
    record Step(long atMillis, SoakFault fault, int target, long lengthMillis) {}

    private SoakPlan() {}

    /** Draws the steps that begin within a time, in their order. */
    static List<Step> draw(long seed, long millis, int routers, int controllers) {
        Random random = new Random(seed);
        List<Step> steps = new ArrayList<>();
        long atMillis = MIN_CALM_MILLIS;
        while (atMillis < millis) {
            int count = MIN_SERIES_STEPS + random.nextInt(MAX_SERIES_STEPS - MIN_SERIES_STEPS + 1);
            for (int i = 0; i < count && atMillis < millis; i++) {
                Step step = drawStep(random, atMillis, routers, controllers);
                steps.add(step);
                if (step.fault().endsInstance() && random.nextInt(REPLACEMENTS_PER_KILL) == 0) {
                    steps.add(killAfter(random, step));
                }
                atMillis += random.nextLong(MAX_STEP_GAP_MILLIS);
            }
            atMillis += random.nextLong(MIN_CALM_MILLIS, MAX_CALM_MILLIS);
        }
        return steps.stream()
                .filter(step -> step.atMillis() < millis)
                .sorted(Comparator.comparingLong(Step::atMillis))
                .toList();
    }

    /** All processes are killed once the end of an instance is acknowledged, and before its late heartbeat arrives. */
    private static Step killAfter(Random random, Step replacement) {
        long killMillis = replacement.atMillis() + random.nextLong(MIN_KILL_DELAY_MILLIS, MAX_KILL_DELAY_MILLIS);
        return new Step(killMillis, SoakFault.KILL_ALL, 0, MIN_LENGTH_MILLIS);
    }

    private static Step drawStep(Random random, long atMillis, int routers, int controllers) {
        SoakFault fault = SoakFault.values()[random.nextInt(SoakFault.values().length)];
        int target = random.nextInt(fault.target() == SoakFault.Target.CONTROLLER ? controllers : routers);
        return new Step(atMillis, fault, target, random.nextLong(MIN_LENGTH_MILLIS, MAX_LENGTH_MILLIS));
    }
}
