package burlarch.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The content of a complete configuration. Absent lists are empty; other absent fields have the defaults named here, or
 * else 0. Names in documents are fixed by annotations.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Configuration(
        @JsonProperty("config_version") long version,
        @JsonProperty("routes") List<Route> routes,
        @JsonProperty("services") List<Service> services,
        @JsonProperty("limits") Limits limits,
        @JsonProperty("tenants") List<Tenant> tenants) {

    public Configuration {
        routes = given(routes);
        services = given(services);
        limits = limits == null ? new Limits(0, 0, 0, 0) : limits;
        tenants = given(tenants);
    }

    private static <T> List<T> given(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * Which requests are forwarded to which service, and how. A route without a type is not idempotent; one without a
     * latency target has its timeout as target; each allows one attempt at least.
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Route(
            @JsonProperty("name") String name,
            @JsonProperty("hostname") String hostname,
            @JsonProperty("path_prefix") String pathPrefix,
            @JsonProperty("route_type") RouteType type,
            @JsonProperty("timeout_ms") long timeoutMillis,
            @JsonProperty("target_latency_ms") long targetLatencyMillis,
            @JsonProperty("priority") int priority,
            @JsonProperty("service") String service,
            @JsonProperty("traffic_split") List<Split> trafficSplit,
            @JsonProperty("retries") int retries,
            @JsonProperty("public") boolean isPublic,
            @JsonProperty("session_affinity") boolean sessionAffinity,
            @JsonProperty("resumable") boolean resumable,
            @JsonProperty("gap_aim_ms") long gapTargetMillis) {
        private static final int RETRIES_LEAST = 1;

        public Route {
            type = type == null ? RouteType.NON_IDEMPOTENT : type;
            targetLatencyMillis = targetLatencyMillis > 0 ? targetLatencyMillis : timeoutMillis;
            trafficSplit = given(trafficSplit);
            retries = Math.max(RETRIES_LEAST, retries);
        }
    }

    /** Whether a request may be sent again, and whether its response is a stream. */
    public enum RouteType {
        @JsonProperty("idempotent")
        IDEMPOTENT,
        @JsonProperty("non_idempotent")
        NON_IDEMPOTENT,
        @JsonProperty("streaming")
        STREAMING
    }

    /** A service that receives a part of a route's traffic, in proportion to its weight. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Split(@JsonProperty("service") String service, @JsonProperty("weight") double weight) {}

    /** A group of equal servers, or, if {@code kvStore} is given, a store of prefix caches at that address. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Service(
            @JsonProperty("name") String name,
            @JsonProperty("health_check") String healthCheck,
            @JsonProperty("max_connections") int maxConnections,
            @JsonProperty("engine") Engine engine,
            @JsonProperty("kv_store") String kvStore,
            @JsonProperty("zone") String zone,
            @JsonProperty("kv_capacity") long kvCapacity,
            @JsonProperty("link_mbps") double linkMbps,
            @JsonProperty("max_in_flight") int maxInFlight) {}

    /** What the engines of a service have in common. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Engine(
            @JsonProperty("capacity") int capacity,
            @JsonProperty("kv_capacity") long kvCapacity,
            @JsonProperty("kv_token_bytes") long kvTokenBytes,
            @JsonProperty("link_mbps") double linkMbps,
            @JsonProperty("stride") int stride,
            @JsonProperty("max_in_flight") int maxInFlight,
            @JsonProperty("models") List<Model> models) {

        public Engine {
            models = given(models);
        }
    }

    /** A model that an engine may serve. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Model(@JsonProperty("name") String name) {}

    /** Limits on requests of clients and on their idle connections. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Limits(
            @JsonProperty("max_header_bytes") int maxHeaderBytes,
            @JsonProperty("max_body_bytes") int maxBodyBytes,
            @JsonProperty("header_timeout_ms") long headerTimeoutMillis,
            @JsonProperty("idle_timeout_ms") long idleTimeoutMillis) {
        private static final int HEADER_BYTES = 16_384;
        private static final int BODY_BYTES = 4_194_304;
        private static final long HEADER_TIMEOUT_MILLIS = 3_000;
        private static final long IDLE_TIMEOUT_MILLIS = 15_000;

        public Limits {
            maxHeaderBytes = maxHeaderBytes > 0 ? maxHeaderBytes : HEADER_BYTES;
            maxBodyBytes = maxBodyBytes > 0 ? maxBodyBytes : BODY_BYTES;
            headerTimeoutMillis = headerTimeoutMillis > 0 ? headerTimeoutMillis : HEADER_TIMEOUT_MILLIS;
            idleTimeoutMillis = idleTimeoutMillis > 0 ? idleTimeoutMillis : IDLE_TIMEOUT_MILLIS;
        }
    }

    /** A client of the fleet, known by its keys. If {@code priority} is null, that of the route applies. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("api_keys") List<String> apiKeys,
            @JsonProperty("priority") Integer priority,
            @JsonProperty("isolated") boolean isolated) {

        public Tenant {
            apiKeys = given(apiKeys);
        }
    }
}
