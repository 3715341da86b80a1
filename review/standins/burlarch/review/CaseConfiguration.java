package burlarch.review;

/** The configuration of the cases: one plain service with one route, and one tenant. */
final class CaseConfiguration {
    static final String API_KEY = "ctnfzs989anu6wsjnban";
    static final String HOST = "desk.example";
    static final String PATH = "/desk/";
    static final String SERVICE = "desk";
    /** The limit of a body in the example of the pages. */
    static final int MAX_BODY_BYTES = 4_194_304;

    private CaseConfiguration() {}

    /** Returns a configuration whose route has the given type and time-out. */
    static String json(long version, String routeType, long timeoutMillis) {
        return "{\"config_version\":" + version + ",\"routes\":[{\"name\":\"r-desk\",\"hostname\":\"" + HOST
                + "\",\"path_prefix\":\"" + PATH + "\",\"route_type\":\"" + routeType + "\",\"timeout_ms\":"
                + timeoutMillis + ",\"target_latency_ms\":1500,\"priority\":0,\"service\":\"" + SERVICE
                + "\",\"retries\":1,\"public\":false,\"session_affinity\":false,\"resumable\":false,"
                + "\"gap_aim_ms\":400}],\"services\":[{\"name\":\"" + SERVICE
                + "\",\"health_check\":\"/healthz\",\"max_connections\":620,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + MAX_BODY_BYTES
                + ",\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"sese880\","
                + "\"api_keys\":[\"" + API_KEY + "\"],\"priority\":1,\"isolated\":false}]}";
    }
}
