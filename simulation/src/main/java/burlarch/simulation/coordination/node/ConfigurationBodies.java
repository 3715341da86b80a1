package burlarch.simulation.coordination.node;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Request bodies of the changes that operators send. Each contains a unique mark, so that no two bodies are equal. */
public final class ConfigurationBodies {
    /** Number of kinds of invalid configurations that {@link #broken} creates. */
    static final int BROKEN_KINDS = 6;

    private static final String ROUTE =
            """
            {"name":"route-%d","hostname":"h.example","path_prefix":"/%d/","route_type":"idempotent",
            "timeout_ms":1000,"target_latency_ms":100,"priority":0,"service":"service-1","retries":1,
            "public":true,"mark":"%s"}""";
    private static final String CONFIGURATION =
            """
            {"config_version":%d,"routes":[%s],"services":[{"name":"service-1","health_check":"/healthz",
            "max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
            "max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";
    private static final String PATCH = "{\"config_version\":%d,\"upsert\":{\"routes\":[%s]}}";
    private static final int SMALL_PATCH_ROUTES = 4;
    private static final int LARGE_PATCH_ROUTES = 60;

    private ConfigurationBodies() {}

    /** Returns a complete configuration with one route, as JSON. */
    public static byte[] configuration(long version, String mark) {
        return utf8(CONFIGURATION.formatted(version, route(1, mark)));
    }

    /** Returns a patch of one route; the mark determines the route's number. */
    public static byte[] patch(long version, String mark) {
        int number = 2 + Math.floorMod(mark.hashCode(), SMALL_PATCH_ROUTES);
        return utf8(PATCH.formatted(version, route(number, mark)));
    }

    /** Returns a patch of {@link #LARGE_PATCH_ROUTES} routes. */
    static byte[] largePatch(long version, String mark) {
        String routes = IntStream.rangeClosed(SMALL_PATCH_ROUTES + 2, SMALL_PATCH_ROUTES + 1 + LARGE_PATCH_ROUTES)
                .mapToObj(number -> route(number, mark))
                .collect(Collectors.joining(","));
        return utf8(PATCH.formatted(version, routes));
    }

    /**
     * Returns a configuration that is malformed or inconsistent.
     *
     * @param kind which defect it has, from 0 to {@link #BROKEN_KINDS} - 1
     */
    static byte[] broken(int kind, long version, String mark) {
        String valid = CONFIGURATION.formatted(version, route(1, mark));
        String broken =
                switch (kind) {
                    case 0 -> valid.substring(0, valid.length() / 2);
                    case 1 -> valid.replace("\"service\":\"service-1\"", "\"service\":\"unknown\"");
                    case 2 -> valid.replace("\"timeout_ms\":1000,", "");
                    case 3 -> valid.replace("\"timeout_ms\":1000", "\"timeout_ms\":-1");
                    case 4 -> CONFIGURATION.formatted(version, route(1, mark) + "," + route(1, mark));
                    default -> valid.replace("\"config_version\":" + version + ",", "");
                };
        return utf8(broken);
    }

    private static String route(int number, String mark) {
        return ROUTE.formatted(number, number, mark);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
