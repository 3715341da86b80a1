package burlarch.simulation.membership;

import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.simulation.NetworkSettings;
import burlarch.simulation.SimulatedNetwork;
import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Command-line program that measures the membership protocol at three fleet sizes: time to detect failures and to
 * converge, traffic, and false detections. It prints a table with one row per size.
 */
public final class MembershipFigures {
    private static final int[] FLEET_SIZES = {10, 100, 300};
    private static final long POLL_NANOS = 50 * Simulation.MILLISECOND;
    private static final long FAULT_FREE_NANOS = 60 * Simulation.SECOND;
    private static final long TIMEOUT_NANOS = 60 * Simulation.SECOND;
    private static final long SETTLING_NANOS = 10 * Simulation.SECOND;
    private static final int KILL_COUNT = 10;
    private static final long KILL_INTERVAL_NANOS = 5 * Simulation.SECOND;
    private static final double HEAVY_LOSS_PROBABILITY = 0.05;
    private static final long PARTITION_NANOS = 10 * Simulation.SECOND;
    private static final long STARTUP_NANOS = 300 * Simulation.MILLISECOND;
    private static final long FREEZE_NANOS = Simulation.SECOND;

    private final MembershipFleet fleet;
    private final Simulation simulation;

    private MembershipFigures(int size, long seed) {
        fleet = new MembershipFleet(size, seed, NetworkSettings.defaults(), SwimSettings.defaults());
        simulation = fleet.simulation();
    }

    /** Runs the measurements. The only argument is the seed; it defaults to 1. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        System.out.println(
                "Times in s; 1 to 10 ms delay, 1% of datagrams lost; " + KILL_COUNT + " kills at each size.");
        System.out.println("members  agreed  msg/s  byte/s  false  false at 5%  first dead (max)"
                + "  all dead (max)  back (max)  frozen 1s  healed");
        for (int size : FLEET_SIZES) {
            System.out.println(new MembershipFigures(size, seed).measureRow());
        }
    }

    private String measureRow() {
        fleet.startAll();
        simulation.runFor(STARTUP_NANOS);
        double convergenceSeconds = (double) STARTUP_NANOS / Simulation.SECOND + secondsUntil(fleet::hasConverged);
        simulation.runFor(SETTLING_NANOS);
        double[] traffic = measureTraffic();
        long falseDetectionsAtDefaultLoss = fleet.falseDetections();
        long falseDetectionsAtHeavyLoss = measureHeavyLoss();
        secondsUntil(fleet::hasConverged);
        String killColumns = measureKills();
        long falseDetectionsDuringFreeze = measureFreeze();
        return String.format(
                Locale.ROOT,
                "%7d  %6.2f  %5.2f  %6.0f  %5d  %11d  %s  %9d  %6.2f",
                fleet.size(),
                convergenceSeconds,
                traffic[0],
                traffic[1],
                falseDetectionsAtDefaultLoss,
                falseDetectionsAtHeavyLoss,
                killColumns,
                falseDetectionsDuringFreeze,
                measureHealing());
    }

    /** Returns the messages and the bytes that a member sends per second without faults. */
    private double[] measureTraffic() {
        long messagesBefore = fleet.messages();
        long bytesBefore = fleet.bytes();
        simulation.runFor(FAULT_FREE_NANOS);
        double memberSeconds = (double) fleet.size() * FAULT_FREE_NANOS / Simulation.SECOND;
        return new double[] {
            (fleet.messages() - messagesBefore) / memberSeconds, (fleet.bytes() - bytesBefore) / memberSeconds
        };
    }

    private long measureHeavyLoss() {
        long falseDetectionsBefore = fleet.falseDetections();
        NetworkSettings defaultSettings = simulation.network().settings();
        simulation.network().setSettings(defaultSettings.withLoss(HEAVY_LOSS_PROBABILITY));
        simulation.runFor(FAULT_FREE_NANOS);
        simulation.network().setSettings(defaultSettings);
        return fleet.falseDetections() - falseDetectionsBefore;
    }

    private String measureKills() {
        List<Double> firstDetections = new ArrayList<>();
        List<Double> lastDetections = new ArrayList<>();
        List<Double> rejoins = new ArrayList<>();
        for (int i = 0; i < KILL_COUNT; i++) {
            String victim = MembershipFleet.name(fleet.size() - i % (fleet.size() / 2));
            simulation.kill(victim);
            double firstDetectionSeconds = secondsUntil(() -> fleet.countObserversOfDeath(victim) > 0);
            firstDetections.add(firstDetectionSeconds);
            lastDetections.add(firstDetectionSeconds
                    + secondsUntil(() -> fleet.countObserversOfDeath(victim) == fleet.size() - 1));
            simulation.start(victim);
            rejoins.add(secondsUntil(fleet::hasConverged));
            simulation.runFor(KILL_INTERVAL_NANOS);
        }
        return String.format(
                Locale.ROOT,
                "%9.2f (%4.2f)  %7.2f (%4.2f)  %3.2f (%3.2f)",
                mean(firstDetections),
                max(firstDetections),
                mean(lastDetections),
                max(lastDetections),
                mean(rejoins),
                max(rejoins));
    }

    private long measureFreeze() {
        long falseDetectionsBefore = fleet.falseDetections();
        simulation.freeze(MembershipFleet.name(fleet.size() / 2), FREEZE_NANOS);
        simulation.runFor(SETTLING_NANOS);
        return fleet.falseDetections() - falseDetectionsBefore;
    }

    /** Returns the seconds from the end of a partition into halves until the fleet has converged. */
    private double measureHealing() {
        Set<String> half = new HashSet<>();
        for (int i = 1; i <= fleet.size() / 2; i++) {
            half.add(MembershipFleet.name(i));
        }
        Set<String> otherHalf = new HashSet<>(simulation.machineNames());
        otherHalf.removeAll(half);
        SimulatedNetwork network = simulation.network();
        network.partition(half, otherHalf);
        network.partition(otherHalf, half);
        simulation.runFor(PARTITION_NANOS);
        network.healAll();
        return secondsUntil(fleet::hasConverged);
    }

    /** Runs until the condition holds, for at most {@link #TIMEOUT_NANOS}, and returns the virtual seconds passed. */
    private double secondsUntil(BooleanSupplier condition) {
        long beginNanos = simulation.now();
        while (!condition.getAsBoolean() && simulation.now() - beginNanos < TIMEOUT_NANOS) {
            simulation.runFor(POLL_NANOS);
        }
        return (double) (simulation.now() - beginNanos) / Simulation.SECOND;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static double max(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
}
