package burlarch.simulation.coordination;

import java.nio.charset.StandardCharsets;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** What operators send. Each has a mark, so that no two are alike. */
final class ConfigurationBodies {
    private static final String ROUTE =
            """
            {"name":"route-%d","hostname":"h.example","path_prefix":"/%d/","route_type":"idempotent",
            "timeout_ms":1000,"target_latency_ms":100,"priority":0,"service":"service-1","retries":1,
            "public":true,"mark":"%s"}""";
    private static final String WHOLE =
            """
            {"config_version":%d,"routes":[%s],"services":[{"name":"service-1","health_check":"/healthz",
            "max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
            "max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";
    private static final String PATCH = "{\"config_version\":%d,\"upsert\":{\"routes\":[%s]}}";
    private static final int ROUTES = 4;
    private static final int MANY_ROUTES = 60;
    /** How many kinds of broken configurations there are. */
    static final int BROKEN = 6;

    private ConfigurationBodies() {}

    static byte[] configuration(long version, String mark) {
        return WHOLE.formatted(version, route(1, mark)).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] patch(long version, String mark) {
        int number = 2 + Math.floorMod(mark.hashCode(), ROUTES);
        return PATCH.formatted(version, route(number, mark)).getBytes(StandardCharsets.UTF_8);
    }

    /** A change with many items. */
    static byte[] large(long version, String mark) {
        String routes = IntStream.rangeClosed(ROUTES + 2, ROUTES + 1 + MANY_ROUTES)
                .mapToObj(number -> route(number, mark))
                .collect(Collectors.joining(","));
        return PATCH.formatted(version, routes).getBytes(StandardCharsets.UTF_8);
    }

    /** A configuration that breaks a rule of its own. */
    static byte[] broken(int kind, long version, String mark) {
        String whole = new String(configuration(version, mark), StandardCharsets.UTF_8);
        String spoilt =
                switch (kind) {
                    case 0 -> whole.substring(0, whole.length() / 2);
                    case 1 -> whole.replace("\"service\":\"service-1\"", "\"service\":\"unknown\"");
                    case 2 -> whole.replace("\"timeout_ms\":1000,", "");
                    case 3 -> whole.replace("\"timeout_ms\":1000", "\"timeout_ms\":-1");
                    case 4 -> WHOLE.formatted(version, route(1, mark) + "," + route(1, mark));
                    default -> whole.replace("\"config_version\":" + version + ",", "");
                };
        return spoilt.getBytes(StandardCharsets.UTF_8);
    }

    private static String route(int number, String mark) {
        return ROUTE.formatted(number, number, mark);
    }
}
