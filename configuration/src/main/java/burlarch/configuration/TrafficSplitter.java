package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Split;
import java.util.List;

/** Distributes a route's requests over its services in proportion to their weights. */
public final class TrafficSplitter {
    private static final int DROPPED_BITS = 11;
    /** The value of the lowest of the remaining 53 bits of a hash, as a fraction of 1. */
    private static final double UNIT = 0x1p-53;

    private TrafficSplitter() {}

    /**
     * Returns the service of a request. A traffic split has precedence over the route's single service.
     *
     * @param hash uniform over all values; one hash always gives the same service
     */
    public static String pick(Route route, long hash) {
        List<Split> parts = route.trafficSplit();
        if (parts.isEmpty()) {
            return route.service();
        }
        double sum = 0;
        for (int i = 0; i < parts.size(); i++) {
            sum += parts.get(i).weight();
        }
        double point = (hash >>> DROPPED_BITS) * UNIT * sum;
        String picked = null;
        double end = 0;
        for (int i = 0; i < parts.size() && (picked == null || point >= end); i++) {
            Split part = parts.get(i);
            end += part.weight();
            if (part.weight() > 0) {
                picked = part.service();
            }
        }
        return picked;
    }
}
