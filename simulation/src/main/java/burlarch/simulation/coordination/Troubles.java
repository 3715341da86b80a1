package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws troubles for a fleet. Within what its tolerance allows: of the disks, no more are lost than that; or
 * one after the other with calm between them and no other trouble.
 */
final class Troubles {
    private static final double FIRST_SECOND = 4;
    private static final int MOST_TROUBLES = 7;
    private static final double CALM_BETWEEN = 8;
    private static final double LONGEST = 6;
    private static final double NEARBY = 0.3;

    private final Random random;
    private final FleetPlan plan;
    private final double lastSecond;
    private final List<String> lines = new ArrayList<>();
    private final List<Double> moments = new ArrayList<>();
    private int disksLeft;
    private int sparesLeft;

    private Troubles(FleetPlan plan, Random random) {
        this.plan = plan;
        this.random = random;
        lastSecond = plan.seconds() - CoordinationRun.CALM_SECONDS - 1.0;
        disksLeft = plan.tolerance();
        sparesLeft = plan.spares();
    }

    static List<String> draw(FleetPlan plan, Random random) {
        Troubles troubles = new Troubles(plan, random);
        if (random.nextInt(6) == 0) {
            troubles.oneDiskAfterTheOther();
        } else {
            int count = 1 + random.nextInt(MOST_TROUBLES);
            for (int i = 0; i < count; i++) {
                troubles.any();
            }
            troubles.lastFault();
        }
        Collections.sort(troubles.lines);
        return troubles.lines;
    }

    private void oneDiskAfterTheOther() {
        int number = 1 + random.nextInt(plan.controllers());
        for (double at = FIRST_SECOND + random.nextDouble(); at < lastSecond; at += CALM_BETWEEN) {
            add(at, "wipe " + FleetPlan.controller(number) + " for 1");
            number = number % plan.controllers() + 1;
        }
    }

    private void any() {
        double at = moment();
        double length = 0.2 + random.nextDouble() * random.nextDouble() * LONGEST;
        String span = " for " + figure(length);
        switch (random.nextInt(18)) {
            case 0 -> add(at, "kill " + core() + span);
            case 1 -> add(at, "power " + core() + span);
            case 2 -> add(at, "freeze " + core() + span);
            case 3 -> add(at, "kill core-* for " + figure(0.2 + random.nextDouble()));
            case 4 -> add(at, "power core-* for " + figure(0.2 + random.nextDouble()));
            case 5, 6 -> cutInTwo(at, span, "from");
            case 7 -> cutInTwo(at, span, "to");
            case 8 -> add(at, "cut router-1 " + (random.nextBoolean() ? "from " : "to ") + core() + span);
            case 9 -> add(at, "disk-full " + core() + span);
            case 10 -> add(at, "disk-stall " + core() + span);
            case 11 -> add(at, "loss " + figure(random.nextDouble() * 0.5) + span);
            case 12 -> add(at, "delay 0.01 " + figure(0.02 + random.nextDouble() * 0.3) + span);
            case 13 -> add(at, (random.nextBoolean() ? "freeze " : "kill ") + "router-"
                    + (1 + random.nextInt(plan.routers())) + span);
            case 14, 15 -> wipe(at, span);
            case 16 -> newestGone(at, length);
            default -> replace(at);
        }
    }

    /** Often close to the begin of another trouble, or to its end. */
    private double moment() {
        double at = FIRST_SECOND + random.nextDouble() * (lastSecond - FIRST_SECOND);
        if (!moments.isEmpty() && random.nextBoolean()) {
            at = moments.get(random.nextInt(moments.size())) + random.nextGaussian() * NEARBY;
        }
        return Math.min(lastSecond, Math.max(FIRST_SECOND, at));
    }

    /** A minority is behind; as it comes back, all others go, one of them to return with an empty disk. */
    private void newestGone(double at, double length) {
        if (disksLeft == 0) {
            return;
        }
        disksLeft--;
        List<Integer> numbers = new ArrayList<>(IntStream.rangeClosed(1,
                plan.controllers()).boxed().toList());
        Collections.shuffle(numbers, random);
        int behind = (plan.controllers() - 1) / 2;
        String verb = List.of("freeze ", "kill ", "power ").get(random.nextInt(3));
        numbers.subList(0, behind).forEach(number -> add(at, verb + FleetPlan.controller(number) + " for "
                + figure(length)));
        double back = at + length - random.nextDouble() * NEARBY;
        add(back, "wipe " + FleetPlan.controller(numbers.get(behind)) + " for 0.2");
        numbers.subList(behind + 1, numbers.size()).forEach(number -> add(back,
                (random.nextBoolean() ? "power " : "freeze ") + FleetPlan.controller(number) + " for "
                + figure(1 + 2 * random.nextDouble())));
    }

    /**
     * Some controllers on one side, the others on the other. Routers, operators and engines reach both, or
     * some of them the first only and the rest the second only.
     */
    private void cutInTwo(double at, String span, String way) {
        List<Integer> numbers = new ArrayList<>(IntStream.rangeClosed(1,
                plan.controllers()).boxed().toList());
        Collections.shuffle(numbers, random);
        List<String> side = new ArrayList<>(numbers.stream().map(FleetPlan::controller).toList());
        List<String> rest = side.subList(1 + random.nextInt(plan.controllers() - 1), side.size());
        if (random.nextBoolean()) {
            String others = String.join(",", rest);
            rest.clear();
            add(at, "cut " + String.join(",", side) + " " + way + " " + others + span);
            return;
        }
        rest.clear();
        for (String other : List.of("router-1", "operator-1", "operator-2", "engine-1")) {
            if (random.nextInt(3) == 0) {
                side.add(other);
            }
        }
        add(at, "cut " + String.join(",", side) + " " + way + " others" + span);
    }

    private void wipe(double at, String span) {
        if (disksLeft > 0) {
            disksLeft--;
            add(at, "wipe " + core() + span);
        }
    }

    private void replace(double at) {
        if (disksLeft > 0 && sparesLeft > 0) {
            disksLeft--;
            add(at, "retire " + core());
            String spare = FleetPlan.controller(plan.controllers() + sparesLeft);
            double start = at + random.nextDouble() * 2;
            add(start, "start " + spare);
            if (random.nextBoolean()) {
                add(start, "cut " + spare + " from " + twoCores() + " for " + figure(LONGEST));
            }
            sparesLeft--;
        }
    }

    private void lastFault() {
        double at = plan.seconds() - CoordinationRun.LAST_FAULT_SECONDS - 1.5 - random.nextDouble();
        switch (random.nextInt(4)) {
            case 0 -> add(at, "power core-* for 1");
            case 1 -> add(at, "kill core-* for 0.8");
            case 2 -> {
                if (disksLeft > 0) {
                    add(at, "wipe " + core() + " for 1.2");
                    add(at, "power core-* for 1");
                }
            }
            default -> { }
        }
    }

    private String twoCores() {
        int one = random.nextInt(plan.controllers());
        int other = (one + 1 + random.nextInt(plan.controllers() - 1)) % plan.controllers();
        return FleetPlan.controller(one + 1) + "," + FleetPlan.controller(other + 1);
    }

    private String core() {
        return FleetPlan.controller(1 + random.nextInt(plan.controllers()));
    }

    private void add(double at, String what) {
        moments.add(at);
        lines.add("at " + String.format(Locale.ROOT, "%06.3f", at) + " " + what);
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
