package burlarch.proxy.status;

import java.util.List;

/** What the page shows, as it was at one moment; {@code stale} while discovery has told of no servers. */
record Snapshot(String version, long uptimeSeconds, boolean stale, List<Server> servers, List<Load> load) {
    /** @param errors the last ones, the latest first */
    record Server(String instanceId, String hostPort, String lifecycle, List<String> errors) {}

    record Load(String className, double requestsPerSecond, int inFlight) {}
}
