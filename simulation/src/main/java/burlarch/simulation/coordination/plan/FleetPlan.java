package burlarch.simulation.coordination.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Parameters of a simulated run: the size of the fleet, the random seed and the length of the run. The text form is one
 * line, {@code fleet seed=1 controllers=3 ...}; it is stored in scenario files, so its keys do not change.
 *
 * @param seed seed of all random numbers of the run
 * @param controllers controllers at the start, {@code core-1} and so on
 * @param spares further controllers, which a scenario may start as replacements
 * @param routers routers
 * @param operators operators, which change the configuration
 * @param engines instances that load weights
 * @param servers instances without weights, whose heartbeats change no state; 0 if the text has no such key
 * @param tolerance how many controllers may lose their disks at once
 * @param seconds length of the run, in virtual time
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
    /** First word of a plan as text. */
    public static final String KEYWORD = "fleet";

    /** Greatest number of seed addresses that the settings of a process name. */
    public static final int MAX_SEED_ADDRESSES = 3;

    /**
     * Sizes of the segments of a controller's store. They are small, so that the snapshots that are rare in
     * production are frequent here: with the first size each change causes one.
     */
    private static final long[] SEGMENT_BYTES = {1, 12_000, 40_000};

    private static final int DEFAULT_SECONDS = 42;
    private static final int DEFAULT_SPARES = 3;

    /** Creates a plan without plain instances ({@code servers} is 0). */
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

    /** Returns the plan that the search uses; {@code tolerance} of its controllers may lose their disks at once. */
    public static FleetPlan of(long seed, int controllers, int tolerance) {
        return new FleetPlan(seed, controllers, DEFAULT_SPARES, 2, 3, 2, 2, tolerance, DEFAULT_SECONDS);
    }

    /** Parses the text form that {@link #toString} returns. */
    public static FleetPlan parse(String line) {
        Map<String, Long> valueByKey = new TreeMap<>();
        for (String word : line.substring(KEYWORD.length()).trim().split("\\s+")) {
            String[] parts = word.split("=");
            valueByKey.put(parts[0], Long.parseLong(parts[1]));
        }
        return new FleetPlan(
                valueByKey.get("seed"),
                valueByKey.get("controllers").intValue(),
                valueByKey.get("spares").intValue(),
                valueByKey.get("routers").intValue(),
                valueByKey.get("operators").intValue(),
                valueByKey.get("engines").intValue(),
                valueByKey.getOrDefault("servers", 0L).intValue(),
                valueByKey.get("tolerance").intValue(),
                valueByKey.get("seconds").intValue());
    }

    @Override
    public String toString() {
        return KEYWORD + " seed=" + seed + " controllers=" + controllers + " spares=" + spares + " routers=" + routers
                + " operators=" + operators + " engines=" + engines + " servers=" + servers + " tolerance=" + tolerance
                + " seconds=" + seconds;
    }

    /**
     * Returns the segment size of a controller's store in bytes, which sets the snapshot frequency; depends on the
     * seed.
     */
    public long segmentBytes() {
        return SEGMENT_BYTES[(int) Math.floorMod(seed, (long) SEGMENT_BYTES.length)];
    }

    /** Returns the addresses of the controllers that the settings of all processes name at the start. */
    public List<String> seedAddresses() {
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i <= Math.min(MAX_SEED_ADDRESSES, controllers); i++) {
            addresses.add(FleetNames.controllerAddress(i));
        }
        return addresses;
    }
}
