package burlarch.routing;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.Split;
import java.util.List;

/** Picks the service of a request: the same one for each of its attempts. */
final class WeightedSplit {
    private WeightedSplit() {
    }

    /** Name of the service, null where the route names none. */
    static String serviceOf(Route route, String requestId) {
        List<Split> splits = route.trafficSplit();
        if (splits == null || splits.isEmpty()) {
            return route.service();
        }
        double sum = 0;
        for (int i = 0; i < splits.size(); i++) {
            sum += Math.max(0, splits.get(i).weight());
        }
        double left = Rendezvous.unit(requestId) * sum;
        String last = null;
        for (int i = 0; i < splits.size(); i++) {
            Split split = splits.get(i);
            if (split.weight() > 0) {
                last = split.service();
                left -= split.weight();
                if (left < 0) {
                    return last;
                }
            }
        }
        return last;
    }
}
