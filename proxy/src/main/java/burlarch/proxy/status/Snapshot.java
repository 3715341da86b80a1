package burlarch.proxy.status;

import java.util.List;

/**
 * The contents of the status page at one moment.
 *
 * @param stale whether discovery has not answered yet; the list of servers is empty then
 */
record Snapshot(String version, long uptimeSeconds, boolean stale, List<Server> servers, List<RequestClassLoad> load) {
    /**
     * One server as discovery lists it.
     *
     * @param errors the last errors, most recent first
     */
    record Server(String instanceId, String hostPort, String lifecycle, List<String> errors) {}

    /** Load of one request class. */
    record RequestClassLoad(String className, double requestsPerSecond, int inFlight) {}
}
