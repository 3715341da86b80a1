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
 * Measures the membership protocol at three fleet sizes: time to detect failures and to converge, traffic, and false
 * detections. Prints one row of a table for each size.
 */
public final class MembershipFigures {
    private static final int[] SIZES = {10, 100, 300};
    private static final long POLL_NANOS = 50 * Simulation.MILLISECOND;
    private static final long FAULT_FREE_NANOS = 60 * Simulation.SECOND;
    private static final long TIMEOUT_NANOS = 60 * Simulation.SECOND;
    private static final long SETTLING_NANOS = 10 * Simulation.SECOND;
    private static final int KILLS = 10;
    private static final long BETWEEN_KILLS_NANOS = 5 * Simulation.SECOND;
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

    /** Takes a seed as its only argument, or none for seed 1. */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        System.out.println("Times in s; 1 to 10 ms delay, 1% of datagrams lost; " + KILLS + " kills at each size.");
        System.out.println("members  agreed  msg/s  byte/s  false  false at 5%  first dead (max)"
                + "  all dead (max)  back (max)  frozen 1s  healed");
        for (int size : SIZES) {
            System.out.println(new MembershipFigures(size, seed).measureRow());
        }
    }

    private String measureRow() {
        fleet.startAll();
        simulation.runFor(STARTUP_NANOS);
        double converged = (double) STARTUP_NANOS / Simulation.SECOND + secondsUntil(fleet::hasConverged);
        simulation.runFor(SETTLING_NANOS);
        double[] traffic = measureTraffic();
        long falseAtUsualLoss = fleet.falseDetections();
        long falseAtHeavyLoss = measureHeavyLoss();
        secondsUntil(fleet::hasConverged);
        String kills = measureKills();
        long falseAtFreeze = measureFreeze();
        return String.format(
                Locale.ROOT,
                "%7d  %6.2f  %5.2f  %6.0f  %5d  %11d  %s  %9d  %6.2f",
                fleet.size(),
                converged,
                traffic[0],
                traffic[1],
                falseAtUsualLoss,
                falseAtHeavyLoss,
                kills,
                falseAtFreeze,
                measureHealing());
    }

    /** Messages and bytes that a member sends in a second while there are no faults. */
    private double[] measureTraffic() {
        long messages = fleet.messages();
        long bytes = fleet.bytes();
        simulation.runFor(FAULT_FREE_NANOS);
        double memberSeconds = (double) fleet.size() * FAULT_FREE_NANOS / Simulation.SECOND;
        return new double[] {(fleet.messages() - messages) / memberSeconds, (fleet.bytes() - bytes) / memberSeconds};
    }

    private long measureHeavyLoss() {
        long before = fleet.falseDetections();
        NetworkSettings usual = simulation.network().settings();
        simulation.network().setSettings(usual.withLoss(HEAVY_LOSS_PROBABILITY));
        simulation.runFor(FAULT_FREE_NANOS);
        simulation.network().setSettings(usual);
        return fleet.falseDetections() - before;
    }

    private String measureKills() {
        List<Double> firstDetection = new ArrayList<>();
        List<Double> lastDetection = new ArrayList<>();
        List<Double> rejoin = new ArrayList<>();
        for (int i = 0; i < KILLS; i++) {
            String victim = MembershipFleet.name(fleet.size() - i % (fleet.size() / 2));
            simulation.kill(victim);
            double first = secondsUntil(() -> fleet.countObserversOfDeath(victim) > 0);
            firstDetection.add(first);
            lastDetection.add(first + secondsUntil(() -> fleet.countObserversOfDeath(victim) == fleet.size() - 1));
            simulation.start(victim);
            rejoin.add(secondsUntil(fleet::hasConverged));
            simulation.runFor(BETWEEN_KILLS_NANOS);
        }
        return String.format(
                Locale.ROOT,
                "%9.2f (%4.2f)  %7.2f (%4.2f)  %3.2f (%3.2f)",
                mean(firstDetection),
                max(firstDetection),
                mean(lastDetection),
                max(lastDetection),
                mean(rejoin),
                max(rejoin));
    }

    private long measureFreeze() {
        long before = fleet.falseDetections();
        simulation.freeze(MembershipFleet.name(fleet.size() / 2), FREEZE_NANOS);
        simulation.runFor(SETTLING_NANOS);
        return fleet.falseDetections() - before;
    }

    /** Seconds from the end of a partition into halves until the fleet has converged. */
    private double measureHealing() {
        Set<String> half = new HashSet<>();
        for (int i = 1; i <= fleet.size() / 2; i++) {
            half.add(MembershipFleet.name(i));
        }
        Set<String> other = new HashSet<>(simulation.machineNames());
        other.removeAll(half);
        SimulatedNetwork network = simulation.network();
        network.partition(half, other);
        network.partition(other, half);
        simulation.runFor(PARTITION_NANOS);
        network.healAll();
        return secondsUntil(fleet::hasConverged);
    }

    /** Runs until the condition holds, for {@link #TIMEOUT_NANOS} at most. */
    private double secondsUntil(BooleanSupplier condition) {
        long begin = simulation.now();
        while (!condition.getAsBoolean() && simulation.now() - begin < TIMEOUT_NANOS) {
            simulation.runFor(POLL_NANOS);
        }
        return (double) (simulation.now() - begin) / Simulation.SECOND;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElse(0);
    }

    private static double max(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
    }
}
