package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Split;
import java.util.List;

/** Distributes the requests of a route over its services in proportion to their weights. */
public final class TrafficSplitter {
    /** Leaves the 53 bits of a hash that a double represents exactly. */
    private static final int DROPPED_BITS = 11;
    /** Scales the remaining 53 bits to a fraction from 0 to below 1. */
    private static final double FRACTION_PER_UNIT = 0x1p-53;

    private TrafficSplitter() {}

    /**
     * Returns the name of the service for a request. A traffic split takes precedence over the single service of the
     * route. A service of weight 0 is never picked.
     *
     * @param hash a hash of the request, uniform over all values; equal hashes give the same service
     */
    public static String pick(Route route, long hash) {
        List<Split> splits = route.trafficSplit();
        if (splits.isEmpty()) {
            return route.service();
        }
        double totalWeight = 0;
        for (int i = 0; i < splits.size(); i++) {
            totalWeight += splits.get(i).weight();
        }
        double point = (hash >>> DROPPED_BITS) * FRACTION_PER_UNIT * totalWeight;
        String picked = null;
        double cumulativeWeight = 0;
        for (int i = 0; i < splits.size() && (picked == null || point >= cumulativeWeight); i++) {
            Split split = splits.get(i);
            cumulativeWeight += split.weight();
            if (split.weight() > 0) {
                picked = split.service();
            }
        }
        return picked;
    }
}
