package burlarch.simulation.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

/** Writes the steps of drawn troubles as lines of a scenario. Times are seconds. */
final class FaultStepWriter {
    /** Between the ends of two controllers that are restarted in turn. */
    static final double ROLL_GAP = 1.2;

    private static final double NEARBY = 0.3;
    private static final double LONGEST_HERD = 1;
    private static final double REST_OF_CUT = 6;
    private static final int ZONES = 3;

    private record Past(double from, double to, String controller) {}

    private final FleetPlan plan;
    private final Random random;
    private final boolean bound;
    private final List<String> lines = new ArrayList<>();
    private final List<Past> past = new ArrayList<>();
    private int sparesUsed;
    private int turn;

    /** @param bound whether no more may be lost at once than the deployment bears */
    FaultStepWriter(FleetPlan plan, Random random, boolean bound) {
        this.plan = plan;
        this.bound = bound;
        this.random = random;
    }

    List<String> lines() {
        List<String> sorted = new ArrayList<>(lines);
        Collections.sort(sorted);
        return sorted;
    }

    boolean hasSpare() {
        return sparesUsed < plan.spares();
    }

    void add(double at, String what) {
        lines.add("at " + String.format(Locale.ROOT, "%06.3f", at) + " " + what);
    }

    void lasting(double at, double length, String what) {
        add(at, what + " for " + format(length));
        String[] words = what.split(" ");
        if (!words[0].equals("when") && words.length > 1 && words[1].startsWith("@")) {
            past.add(new Past(at, at + length, words[1]));
        }
    }

    void repeated(double at, int times, double gap, String what) {
        for (int i = 0; i < times; i++) {
            add(at + i * gap, what);
        }
    }

    void cut(double at, double length, String who, String way, String whom) {
        add(at, "cut " + who + " " + way + " " + whom + " for " + format(length));
    }

    void cutController(double at, double length, String controller) {
        cut(at, length, controller, "from", "core-*");
        past.add(new Past(at, at + length, controller));
    }

    /** Also from all machines of other zones. */
    void cutNear(double at, double length) {
        int number = 1 + random.nextInt(plan.controllers());
        List<String> far = new ArrayList<>(List.of("core-*"));
        IntStream.rangeClosed(1, plan.routers())
                .filter(i -> i % ZONES != number % ZONES)
                .forEach(i -> far.add("router-" + i));
        IntStream.rangeClosed(1, plan.engines())
                .filter(i -> i % ZONES != number % ZONES)
                .forEach(i -> far.add("engine-" + i));
        IntStream.rangeClosed(1, plan.servers())
                .filter(i -> i % ZONES != number % ZONES)
                .forEach(i -> far.add("server-" + i));
        cut(at, length, FleetPlan.controller(number), "from", String.join(",", far));
    }

    void cutOneWay(double at, double length) {
        String controller = anyCore();
        if (coin()) {
            cut(at, length, controller, "to", "core-*");
        } else {
            cut(at, length, "core-*", "to", controller);
        }
    }

    /** The settings name the one that is cut off first, and machines start with these. */
    void cutSeeds(double at, double length) {
        String controller = anyCore();
        cutController(at, length, controller);
        add(at, "seeds " + controller);
        add(at + random.nextDouble(), "kill " + router() + " for 0.5");
    }

    /** The one that is cut off restarts, then the others. */
    void cutBoth(double at, double length) {
        String controller = anyCore();
        cutController(at, length, controller);
        double restart = at + length / 3;
        add(restart, "kill " + controller + " for 0.5");
        add(restart + 1, "kill core-* for 0.5");
    }

    void cutLure(double at, double length) {
        String controller = anyCore();
        cutController(at, length, controller);
        add(at, "lure " + controller + " for " + format(length));
    }

    void cutReset(double at, double length) {
        String controller = anyCore();
        add(at, "break " + controller + " 1");
        cutController(at, length, controller);
    }

    /**
     * Some controllers on one side, the others on the other. Routers, operators and engines reach both, or
     * some of them the first only and the rest the second only.
     */
    void cutInTwo(double at, double length, String way) {
        List<String> all = new ArrayList<>(IntStream.rangeClosed(1, plan.controllers())
                .mapToObj(FleetPlan::controller)
                .toList());
        Collections.shuffle(all, random);
        int size = 1 + random.nextInt(plan.controllers() - 1);
        List<String> side = new ArrayList<>(all.subList(0, size));
        if (coin()) {
            cut(at, length, String.join(",", side), way, String.join(",", all.subList(size, all.size())));
            return;
        }
        for (String other : List.of("router-1", "operator-1", "operator-2", "engine-1", "server-1")) {
            if (random.nextInt(3) == 0) {
                side.add(other);
            }
        }
        cut(at, length, String.join(",", side), way, "others");
    }

    /** A minority is behind; as it comes back, all others go, one of them to return with an empty disk. */
    void newestGone(double at, double length) {
        List<String> all = new ArrayList<>(IntStream.rangeClosed(1, plan.controllers())
                .mapToObj(number -> "@" + number)
                .toList());
        Collections.shuffle(all, random);
        int behind = (plan.controllers() - 1) / 2;
        String verb = List.of("freeze ", "kill ", "power ").get(random.nextInt(3));
        all.subList(0, behind).forEach(one -> add(at, verb + one + " for " + format(length)));
        double back = at + length - random.nextDouble() * NEARBY;
        add(back, "wipe " + all.get(behind) + " for 0.2");
        all.subList(behind + 1, all.size())
                .forEach(one -> add(
                        back, (coin() ? "power " : "freeze ") + one + " for " + format(1 + 2 * random.nextDouble())));
    }

    /** One after the other: SIGTERM, and a start soon after. */
    void rollAll(double at) {
        for (int i = 0; i < plan.controllers(); i++) {
            add(at + i * ROLL_GAP, "term @" + (i + 1) + " for 0.7");
        }
    }

    /** Where losses are not bound, the new one may find some of the others cut off at first. */
    void replace(double at, String verb, String controller) {
        String spare = FleetPlan.controller(plan.controllers() + ++sparesUsed);
        double later = 0.5 + 1.5 * random.nextDouble();
        add(at, verb + " " + controller + " " + spare + " " + format(later));
        if (!bound && random.nextInt(4) == 0) {
            cut(at, REST_OF_CUT, spare, "from", anyCore() + "," + anyCore());
        }
    }

    /** A call to a controller as its trouble ends, or during it. */
    void meet(String call, String how) {
        if (past.isEmpty()) {
            return;
        }
        Past trouble = past.get(random.nextInt(past.size()));
        double at = coin()
                ? trouble.to + random.nextDouble() * NEARBY
                : trouble.from + random.nextDouble() * (trouble.to - trouble.from);
        add(at, call + trouble.controller + how);
    }

    /** Instances leave soon after a trouble has ended. */
    void drainAfter() {
        if (!past.isEmpty()) {
            Past trouble = past.get(random.nextInt(past.size()));
            add(trouble.to + random.nextDouble(), "drain " + instance());
        }
    }

    void closing(double at, String when, String... steps) {
        for (String step : steps) {
            add(at, when + step + " for " + format(0.8 + 0.6 * random.nextDouble()));
        }
    }

    /** As many controllers as may lose their disks, that one among them. */
    String lostDisks(String first) {
        Set<String> lost = new LinkedHashSet<>(List.of(first));
        while (lost.size() < plan.tolerance()) {
            lost.add(anyCore());
        }
        return String.join(",", lost);
    }

    String anyCore() {
        return "@" + (1 + random.nextInt(plan.controllers()));
    }

    String coreInTurn() {
        return "@" + (1 + turn++ % plan.controllers());
    }

    String router() {
        return "router-" + (1 + random.nextInt(plan.routers()));
    }

    String instance() {
        int number = random.nextInt(plan.engines() + plan.servers());
        return number < plan.engines() ? "engine-" + (1 + number) : "server-" + (1 + number - plan.engines());
    }

    String anyWay() {
        return coin() ? "from" : "to";
    }

    boolean coin() {
        return random.nextBoolean();
    }

    double herdSeconds() {
        return 0.2 + 0.8 * LONGEST_HERD * random.nextDouble();
    }

    String figure(double most) {
        return figure(0, most);
    }

    String figure(double least, double most) {
        return format(least + random.nextDouble() * (most - least));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
