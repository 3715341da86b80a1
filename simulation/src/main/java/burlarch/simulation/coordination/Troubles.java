package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Draws troubles for a fleet. Within what its tolerance allows: of the disks, no more are lost than that; or one after
 * the other with calm between them and no other trouble.
 */
final class Troubles {
    private static final double FIRST_SECOND = 4;
    private static final int MOST_TROUBLES = 7;
    private static final double CALM_BETWEEN = 8;
    private static final double LONGEST = 6;

    private final Random random;
    private final FleetPlan plan;
    private final double lastSecond;
    private final List<String> lines = new ArrayList<>();
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
        double at = FIRST_SECOND + random.nextDouble() * (lastSecond - FIRST_SECOND);
        double length = 0.2 + random.nextDouble() * random.nextDouble() * LONGEST;
        String span = " for " + figure(length);
        switch (random.nextInt(16)) {
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
            case 14 -> wipe(at, span);
            default -> replace(at);
        }
    }

    /** Some controllers with some routers, operators and engines on one side, all others on the other. */
    private void cutInTwo(double at, String span, String way) {
        List<Integer> numbers = new ArrayList<>(IntStream.rangeClosed(1, plan.controllers()).boxed().toList());
        Collections.shuffle(numbers, random);
        List<String> side = new ArrayList<>();
        numbers.subList(0, 1 + random.nextInt(plan.controllers() - 1))
                .forEach(number -> side.add(FleetPlan.controller(number)));
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
            add(at + random.nextDouble() * 2, "start " + FleetPlan.controller(plan.controllers() + sparesLeft));
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

    private String core() {
        return FleetPlan.controller(1 + random.nextInt(plan.controllers()));
    }

    private void add(double at, String what) {
        lines.add("at " + String.format(Locale.ROOT, "%06.3f", at) + " " + what);
    }

    private static String figure(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
