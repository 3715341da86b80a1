package burlarch.emulator.demo;

import java.util.Locale;

/** JSON configurations that the operators of the demo and the bench submit. */
final class DemoConfiguration {
    static final String HOST = "shop.demo";
    static final String READ = "/read/";
    static final String WRITE = "/write/";
    static final String TALK = "/talk/";
    static final String MODEL = "demo-model";
    static final String ENGINES = "engines";
    static final String SHOP = "shop";
    static final String SHOP_NEW = "shop-new";
    /** Target latency of a plain response, or of the first event of a stream. */
    static final long TARGET_LATENCY_MILLIS = 1_000;

    static final long TIMEOUT_MILLIS = 4_000;
    static final String[] KEYS = {"key-of-red", "key-of-green"};
    /** Path of a public route that exists in one version only, which shows the version that a router has in force. */
    private static final String VERSION_PATH = "/version-%d/";

    private DemoConfiguration() {}

    /** Returns the path of the public route of a version. */
    static String versionPath(long version) {
        return String.format(Locale.ROOT, VERSION_PATH, version);
    }

    /** Returns the first configuration of the demo. */
    static String initial(long version, String storeAddress) {
        return "{\"config_version\":" + version + ",\"routes\":["
                + route("read", READ, "idempotent", SHOP, "") + ","
                + route("write", WRITE, "non_idempotent", SHOP, "") + ","
                + route(
                        "talk",
                        TALK,
                        "streaming",
                        ENGINES,
                        ",\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":500")
                + ","
                + versionRoute(version) + "],\"services\":[" + plainService(SHOP) + "," + plainService(SHOP_NEW) + ","
                + "{\"name\":\"" + ENGINES + "\",\"health_check\":\"/healthz\",\"max_connections\":200,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"capacity\":16,\"kv_capacity\":65536,"
                + "\"kv_token_bytes\":1024,\"link_mbps\":10000.0,\"stride\":1,\"max_in_flight\":8,"
                + "\"models\":[{\"name\":\"" + MODEL + "\"}]}},"
                + "{\"name\":\"store\",\"kv_store\":\"" + storeAddress + "\",\"zone\":\"hall\","
                + "\"kv_capacity\":200000,\"link_mbps\":10000.0,\"max_in_flight\":8}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"red\",\"api_keys\":[\"" + KEYS[0] + "\"],\"isolated\":true},"
                + "{\"name\":\"green\",\"api_keys\":[\"" + KEYS[1] + "\"]}]}";
    }

    /** Returns the configuration of the bench: one streaming route to engines with {@code slots} slots. */
    static String bench(int slots) {
        return "{\"config_version\":1,\"routes\":[{\"name\":\"talk\",\"hostname\":\"" + HOST
                + "\",\"path_prefix\":\"" + TALK + "\",\"route_type\":\"streaming\",\"timeout_ms\":60000,"
                + "\"target_latency_ms\":5000,\"priority\":1,\"service\":\"" + ENGINES
                + "\",\"retries\":2,\"session_affinity\":true,\"resumable\":true,\"gap_aim_ms\":5000}],"
                + "\"services\":[{\"name\":\"" + ENGINES + "\",\"health_check\":\"/healthz\","
                + "\"max_connections\":" + slots + ",\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"capacity\":" + slots
                + ",\"kv_capacity\":65536,\"kv_token_bytes\":1024,\"link_mbps\":10000.0,\"stride\":1,"
                + "\"max_in_flight\":8,\"models\":[{\"name\":\"" + MODEL + "\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"red\",\"api_keys\":[\"" + KEYS[0] + "\"],\"isolated\":true}]}";
    }

    /** Returns a patch that routes reads to another service and replaces the public route of the previous version. */
    static String patch(long version, long previousVersion, String readService) {
        return "{\"config_version\":" + version + ",\"upsert\":{\"routes\":["
                + route("read", READ, "idempotent", readService, "") + "," + versionRoute(version)
                + "]},\"delete\":{\"routes\":[\"mark-" + previousVersion + "\"]}}";
    }

    private static String versionRoute(long version) {
        return route("mark-" + version, versionPath(version), "idempotent", SHOP, ",\"public\":true");
    }

    private static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"health_check\":\"/healthz\",\"max_connections\":200,"
                + "\"protocol\":\"h1\",\"tls\":false}";
    }

    private static String route(String name, String prefix, String type, String service, String extraFields) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + TIMEOUT_MILLIS
                + ",\"target_latency_ms\":" + TARGET_LATENCY_MILLIS + ",\"priority\":1,\"service\":\"" + service
                + "\",\"retries\":2" + extraFields + "}";
    }
}
