package burlarch.simulation.coordination.fault;

import burlarch.simulation.coordination.plan.FleetNames;
import burlarch.simulation.coordination.plan.FleetPlan;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;

/**
 * Writes the steps of faults as lines of a scenario, and draws what a kind of fault leaves open. Times and lengths are
 * seconds. Each method draws in a fixed order, so that a seed always gives the same lines.
 */
final class FaultStepWriter {
    /** Interval between the restarts of controllers that are restarted in turn. */
    static final double RESTART_INTERVAL = 1.2;

    private static final double SHORTLY_AFTER = 0.3;
    private static final double MAX_MASS_FAILURE = 1;
    private static final double REPLACEMENT_PARTITION = 6;
    private static final int ZONES = 3;
    /** Time in which each instance sends at least one heartbeat. */
    private static final double HEARTBEATS_BEFORE_DRAIN = 1.3;
    /** Time after which most of the drains are acknowledged, and after which the leaves that follow them are. */
    private static final double DRAIN_ACKNOWLEDGED = 0.4;

    private static final double LEAVE_ACKNOWLEDGED = 2.8;
    /** Machines besides controllers that may be on one side of a split only. */
    private static final List<String> SPLIT_MACHINES =
            List.of("router-1", "operator-1", "operator-2", "engine-1", "server-1");

    /** A fault of a controller that was written before, so that later steps can refer to it. */
    private record ControllerFault(double from, double to, String controller) {}

    private final FleetPlan plan;
    private final Random random;
    private final LossPolicy lossPolicy;
    private final List<String> lines = new ArrayList<>();
    private final List<ControllerFault> earlierFaults = new ArrayList<>();
    private int sparesUsed;
    private int turn;

    FaultStepWriter(FleetPlan plan, Random random, LossPolicy lossPolicy) {
        this.plan = plan;
        this.random = random;
        this.lossPolicy = lossPolicy;
    }

    /** All lines, sorted by time. */
    List<String> lines() {
        List<String> sorted = new ArrayList<>(lines);
        Collections.sort(sorted);
        return sorted;
    }

    boolean hasSpare() {
        return sparesUsed < plan.spares();
    }

    /** A step without a length. */
    void add(double at, String step) {
        lines.add("at " + String.format(Locale.ROOT, "%06.3f", at) + " " + step);
    }

    /** A step that lasts for a length. */
    void addLasting(double at, double length, String step) {
        add(at, step + " for " + format(length));
        String[] words = step.split(" ");
        if (!words[0].equals("when") && words.length > 1 && words[1].startsWith("@")) {
            earlierFaults.add(new ControllerFault(at, at + length, words[1]));
        }
    }

    /** The same step several times, at an interval. */
    void addRepeated(double at, int times, double interval, String step) {
        for (int i = 0; i < times; i++) {
            add(at + i * interval, step);
        }
    }

    /** Steps of a fault at the end of the run, each for a drawn length. */
    void addClosing(double at, String when, String... steps) {
        for (String step : steps) {
            add(at, when + step + " for " + format(0.8 + 0.6 * random.nextDouble()));
        }
    }

    /** @param direction {@code from} for a partition both ways, {@code to} for one way */
    void partition(double at, double length, String first, String direction, String second) {
        add(at, "cut " + first + " " + direction + " " + second + " for " + format(length));
    }

    /** Holds up all that some machines send to others. */
    void holdUp(double at, double length, String first, String second) {
        add(at, "hold " + first + " to " + second + " for " + format(length));
    }

    /** Holds up all that controllers send to the engines while new weights are named, and then newer ones. */
    void holdUpOrders(double at, double length) {
        holdUp(at, length, "core-*", "engine-*");
        add(at, "call weights any");
        add(at + length / 2, "call weights any");
    }

    /**
     * Lets all instances end, and kills controllers and routers once the drains or the leaves are acknowledged. Copies
     * of heartbeats from before arrive afterwards.
     */
    void restartAllAfterDepartures(double at) {
        add(at, "late-copies 0.5 for " + format(HEARTBEATS_BEFORE_DRAIN));
        double drain = at + HEARTBEATS_BEFORE_DRAIN;
        add(drain, "drain engine-*,server-*");
        double kill = drain + (drawBoolean() ? DRAIN_ACKNOWLEDGED : LEAVE_ACKNOWLEDGED) + random.nextDouble();
        add(kill, "kill core-*,router-* for " + format(drawMassFailureSeconds()));
    }

    /** Partitions a controller from all others. */
    void partitionController(double at, double length, String controller) {
        partition(at, length, controller, "from", "core-*");
        earlierFaults.add(new ControllerFault(at, at + length, controller));
    }

    /** Partitions a controller from all others, and from routers and instances of other zones. */
    void partitionFromOtherZones(double at, double length) {
        int number = 1 + random.nextInt(plan.controllers());
        List<String> others = new ArrayList<>(List.of("core-*"));
        others.addAll(inOtherZones(number, plan.routers(), FleetNames::router));
        others.addAll(inOtherZones(number, plan.engines(), FleetNames::engine));
        others.addAll(inOtherZones(number, plan.servers(), FleetNames::server));
        partition(at, length, FleetNames.controller(number), "from", String.join(",", others));
    }

    private static List<String> inOtherZones(int number, int count, IntFunction<String> name) {
        return IntStream.rangeClosed(1, count)
                .filter(i -> i % ZONES != number % ZONES)
                .mapToObj(name)
                .toList();
    }

    /** Partitions a controller from all others, or all others from it, in one direction. */
    void partitionOneWay(double at, double length) {
        String controller = anyController();
        if (drawBoolean()) {
            partition(at, length, controller, "to", "core-*");
        } else {
            partition(at, length, "core-*", "to", controller);
        }
    }

    /** Partitions a controller that the settings name first, and restarts a router with these settings. */
    void partitionFirstSeed(double at, double length) {
        String controller = anyController();
        partitionController(at, length, controller);
        add(at, "seeds " + controller);
        add(at + random.nextDouble(), "kill " + router() + " for 0.5");
    }

    /** Partitions a controller; meanwhile it restarts, then all controllers do. */
    void partitionThenRestartAll(double at, double length) {
        String controller = anyController();
        partitionController(at, length, controller);
        double restart = at + length / 3;
        add(restart, "kill " + controller + " for 0.5");
        add(restart + 1, "kill core-* for 0.5");
    }

    /** Partitions a controller that instances call first meanwhile. */
    void partitionPreferred(double at, double length) {
        String controller = anyController();
        partitionController(at, length, controller);
        add(at, "lure " + controller + " for " + format(length));
    }

    /** Breaks all connections of a controller, then partitions it. */
    void resetThenPartition(double at, double length) {
        String controller = anyController();
        add(at, "break " + controller + " 1");
        partitionController(at, length, controller);
    }

    /**
     * Splits the controllers into two sides. Other machines reach both sides; or some reach the first side only and the
     * rest the second only.
     */
    void split(double at, double length, String direction) {
        List<String> all = shuffledControllers(FleetNames::controller);
        int size = 1 + random.nextInt(plan.controllers() - 1);
        List<String> side = new ArrayList<>(all.subList(0, size));
        if (drawBoolean()) {
            String otherSide = String.join(",", all.subList(size, all.size()));
            partition(at, length, String.join(",", side), direction, otherSide);
            return;
        }
        for (String other : SPLIT_MACHINES) {
            if (random.nextInt(3) == 0) {
                side.add(other);
            }
        }
        partition(at, length, String.join(",", side), direction, "others");
    }

    private List<String> shuffledControllers(IntFunction<String> selector) {
        List<String> all = new ArrayList<>(
                IntStream.rangeClosed(1, plan.controllers()).mapToObj(selector).toList());
        Collections.shuffle(all, random);
        return all;
    }

    /**
     * Lets a minority miss the newest values. As it comes back, all other controllers fail, one of them with the loss
     * of its disk.
     */
    void loseNewestHolders(double at, double length) {
        List<String> all = shuffledControllers(number -> "@" + number);
        int behind = (plan.controllers() - 1) / 2;
        String verb = List.of("freeze ", "kill ", "power ").get(random.nextInt(3));
        all.subList(0, behind).forEach(one -> add(at, verb + one + " for " + format(length)));
        double back = at + length - random.nextDouble() * SHORTLY_AFTER;
        add(back, "wipe " + all.get(behind) + " for 0.2");
        for (String one : all.subList(behind + 1, all.size())) {
            String failure = drawBoolean() ? "power " : "freeze ";
            add(back, failure + one + " for " + format(1 + 2 * random.nextDouble()));
        }
    }

    /** Restarts all controllers, one after the other, by SIGTERM. */
    void restartInTurn(double at) {
        for (int i = 0; i < plan.controllers(); i++) {
            add(at + i * RESTART_INTERVAL, "term @" + (i + 1) + " for 0.7");
        }
    }

    /**
     * Replaces a controller by a spare one. Where losses are unbounded, the new one may be partitioned from some
     * others at first.
     *
     * @param verb {@code replace} or {@code exchange}
     */
    void replace(double at, String verb, String controller) {
        String spare = FleetNames.controller(plan.controllers() + ++sparesUsed);
        double later = 0.5 + 1.5 * random.nextDouble();
        add(at, verb + " " + controller + " " + spare + " " + format(later));
        if (lossPolicy == LossPolicy.UNBOUNDED && random.nextInt(4) == 0) {
            partition(at, REPLACEMENT_PARTITION, spare, "from", anyController() + "," + anyController());
        }
    }

    /** A call to a controller as an earlier fault of it ends, or during it; nothing where there was no such fault. */
    void callAtEarlierFault(String call, String how) {
        if (earlierFaults.isEmpty()) {
            return;
        }
        ControllerFault fault = anyEarlierFault();
        double at = drawBoolean()
                ? fault.to + random.nextDouble() * SHORTLY_AFTER
                : fault.from + random.nextDouble() * (fault.to - fault.from);
        add(at, call + fault.controller + how);
    }

    /** Drains an instance soon after an earlier fault of a controller; nothing where there was no such fault. */
    void drainAfterEarlierFault() {
        if (!earlierFaults.isEmpty()) {
            ControllerFault fault = anyEarlierFault();
            add(fault.to + random.nextDouble(), "drain " + instance());
        }
    }

    private ControllerFault anyEarlierFault() {
        return earlierFaults.get(random.nextInt(earlierFaults.size()));
    }

    /** As many controllers as may lose their disks at once, {@code first} among them. */
    String controllersLosingDisks(String first) {
        Set<String> controllers = new LinkedHashSet<>(List.of(first));
        while (controllers.size() < plan.tolerance()) {
            controllers.add(anyController());
        }
        return String.join(",", controllers);
    }

    String anyController() {
        return "@" + (1 + random.nextInt(plan.controllers()));
    }

    /** Each controller in turn, over the faults of one run. */
    String nextController() {
        return "@" + (1 + turn++ % plan.controllers());
    }

    String router() {
        return FleetNames.router(1 + random.nextInt(plan.routers()));
    }

    /** Any instance, with weights or without. */
    String instance() {
        int number = random.nextInt(plan.engines() + plan.servers());
        return number < plan.engines() ? FleetNames.engine(1 + number) : FleetNames.server(1 + number - plan.engines());
    }

    /** Direction of a partition: both ways, or one way. */
    String anyDirection() {
        return drawBoolean() ? "from" : "to";
    }

    boolean drawBoolean() {
        return random.nextBoolean();
    }

    /** Length of a fault that strikes many machines at once. */
    double drawMassFailureSeconds() {
        return 0.2 + 0.8 * MAX_MASS_FAILURE * random.nextDouble();
    }

    /** A number from 0 to {@code max}, as text. */
    String drawFigure(double max) {
        return drawFigure(0, max);
    }

    /** A number from a range, as text. */
    String drawFigure(double min, double max) {
        return format(min + random.nextDouble() * (max - min));
    }

    private static String format(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
