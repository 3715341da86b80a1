package burlarch.simulation.coordination;

import java.nio.charset.StandardCharsets;

/** What operators send. Each has a mark, so that no two are alike. */
final class Bodies {
    private static final String ROUTE = """
            {"name":"route-%d","hostname":"h.example","path_prefix":"/%d/","route_type":"idempotent",
            "timeout_ms":1000,"target_latency_ms":100,"priority":0,"service":"service-1","retries":1,
            "public":true,"mark":"%s"}""";
    private static final String WHOLE = """
            {"config_version":%d,"routes":[%s],"services":[{"name":"service-1","health_check":"/healthz",
            "max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,
            "max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[]}""";
    private static final String PATCH = "{\"config_version\":%d,\"upsert\":{\"routes\":[%s]}}";
    private static final int ROUTES = 4;

    private Bodies() {
    }

    static byte[] configuration(long version, String mark) {
        return WHOLE.formatted(version, route(1, mark)).getBytes(StandardCharsets.UTF_8);
    }

    static byte[] patch(long version, String mark) {
        int number = 2 + Math.floorMod(mark.hashCode(), ROUTES);
        return PATCH.formatted(version, route(number, mark)).getBytes(StandardCharsets.UTF_8);
    }

    private static String route(int number, String mark) {
        return ROUTE.formatted(number, number, mark);
    }
}
