package burlarch.simulation.coordination;

import burlarch.simulation.Simulation;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The size of a simulated fleet, the chance in it and the times that it is judged by, as one line of text
 * {@code fleet controllers=3 ...}.
 *
 * @param engines instances that load weights
 * @param servers instances without weights, whose heartbeats change nothing; none where the text names none
 * @param tolerance how many controllers may lose their disks
 * @param seconds how long it runs
 */
public record FleetPlan(
        long seed,
        int controllers,
        int spares,
        int routers,
        int operators,
        int engines,
        int servers,
        int tolerance,
        int seconds) {
    static final long SETTLING_NANOS = 3 * Simulation.SECOND;
    static final long CALL_LIMIT_NANOS = 4 * Simulation.SECOND;
    static final long APPLY_LIMIT_NANOS = Simulation.SECOND;
    static final long DRAIN_LIMIT_NANOS = Simulation.SECOND;
    static final long LEASE_NANOS = 3 * Simulation.SECOND;
    static final long THAW_NANOS = Simulation.SECOND;
    static final long HEARTBEAT_INTERVAL_NANOS = 1_200 * Simulation.MILLISECOND;
    static final long VERSION_LIMIT_MILLIS = 10_000;
    static final int MAX_SEED_ADDRESSES = 3;

    static final String KEYWORD = "fleet";
    /** Small, so that snapshots are as frequent as they are rare in service: at the first, one a change. */
    private static final long[] SEGMENT_BYTES = {1, 12_000, 40_000};

    private static final String CONTROLLER = "core-";
    private static final int USUAL_SECONDS = 42;
    private static final int USUAL_SPARES = 3;

    /** A fleet without plain instances. */
    public FleetPlan(
            long seed,
            int controllers,
            int spares,
            int routers,
            int operators,
            int engines,
            int tolerance,
            int seconds) {
        this(seed, controllers, spares, routers, operators, engines, 0, tolerance, seconds);
    }

    /** The usual fleet around so many controllers, of which so many may be lost at once. */
    public static FleetPlan of(long seed, int controllers, int tolerance) {
        return new FleetPlan(seed, controllers, USUAL_SPARES, 2, 3, 2, 2, tolerance, USUAL_SECONDS);
    }

    /** Reads what {@link #toString} wrote. */
    public static FleetPlan parse(String line) {
        Map<String, Long> figures = new TreeMap<>();
        for (String word : line.substring(KEYWORD.length()).trim().split("\\s+")) {
            String[] parts = word.split("=");
            figures.put(parts[0], Long.parseLong(parts[1]));
        }
        return new FleetPlan(
                figures.get("seed"),
                figures.get("controllers").intValue(),
                figures.get("spares").intValue(),
                figures.get("routers").intValue(),
                figures.get("operators").intValue(),
                figures.get("engines").intValue(),
                figures.getOrDefault("servers", 0L).intValue(),
                figures.get("tolerance").intValue(),
                figures.get("seconds").intValue());
    }

    @Override
    public String toString() {
        return KEYWORD + " seed=" + seed + " controllers=" + controllers + " spares=" + spares + " routers="
                + routers + " operators=" + operators + " engines=" + engines + " servers=" + servers
                + " tolerance=" + tolerance + " seconds=" + seconds;
    }

    static String controller(int number) {
        return CONTROLLER + number;
    }

    static boolean isController(String name) {
        return name.startsWith(CONTROLLER);
    }

    /** The name of the controller at that address. */
    static String controllerAt(String address) {
        return CONTROLLER + address.substring(address.lastIndexOf('.') + 1, address.indexOf(':'));
    }

    static String controllerAddress(int number) {
        return "10.0.1." + number + ":7340";
    }

    /** How much a controller writes between two snapshots; follows from the seed. */
    long segmentBytes() {
        return SEGMENT_BYTES[(int) Math.floorMod(seed, (long) SEGMENT_BYTES.length)];
    }

    /** Addresses that the settings of all name. */
    List<String> seedAddresses() {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(MAX_SEED_ADDRESSES, controllers); i++) {
            seeds.add(controllerAddress(i));
        }
        return seeds;
    }
}
