package burlarch.configuration;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Split;
import java.util.List;

/** Shares a route's requests out over its services. */
public final class TrafficSplitter {
    private static final int DROPPED_BITS = 11;
    /** What is left of a hash, as a part of 1. */
    private static final double UNIT = 0x1p-53;

    private TrafficSplitter() {}

    /**
     * The service that a request goes to. A split goes before the route's single service.
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
