package burlarch.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The content of a configuration document as immutable records. An absent list is read as an empty list; any other
 * absent field has the default stated here, or else 0, false or null. Unknown fields are ignored. The annotations fix
 * the field names of the document.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record Configuration(
        @JsonProperty("config_version") long version,
        @JsonProperty("routes") List<Route> routes,
        @JsonProperty("services") List<Service> services,
        @JsonProperty("limits") Limits limits,
        @JsonProperty("tenants") List<Tenant> tenants) {

    public Configuration {
        routes = copyOrEmpty(routes);
        services = copyOrEmpty(services);
        limits = limits == null ? new Limits(0, 0, 0, 0) : limits;
        tenants = copyOrEmpty(tenants);
    }

    private static <T> List<T> copyOrEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * Assigns the requests of a host and path prefix to one service, or to several services by weight.
     *
     * @param type {@link RouteType#NON_IDEMPOTENT} if absent
     * @param targetLatencyMillis the timeout if absent
     * @param priority overridden by the priority of the tenant, if that is set
     * @param service the only service, unless {@code trafficSplit} is given
     * @param retries the maximum number of attempts, the first one included; at least 1
     * @param isPublic whether requests are accepted without an API key
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
        private static final int MIN_ATTEMPTS = 1;

        public Route {
            type = type == null ? RouteType.NON_IDEMPOTENT : type;
            targetLatencyMillis = targetLatencyMillis > 0 ? targetLatencyMillis : timeoutMillis;
            trafficSplit = copyOrEmpty(trafficSplit);
            retries = Math.max(MIN_ATTEMPTS, retries);
        }
    }

    /** States whether a request may be sent again, and whether its response is a stream. */
    public enum RouteType {
        @JsonProperty("idempotent")
        IDEMPOTENT,
        @JsonProperty("non_idempotent")
        NON_IDEMPOTENT,
        @JsonProperty("streaming")
        STREAMING
    }

    /** One service of a traffic split. It receives requests of the route in proportion to its weight. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Split(@JsonProperty("service") String service, @JsonProperty("weight") double weight) {}

    /**
     * A group of interchangeable instances, or a store of prefix caches.
     *
     * @param engine the properties of the instances if they are model engines, else null
     * @param kvStore the address of the store, null if this is a group of instances
     * @param zone the zone of the store
     * @param kvCapacity the capacity of the store in tokens, 0 if unknown
     * @param linkMbps the link speed of the store in Mbit/s
     * @param maxInFlight the number of concurrent calls for its events that the store accepts
     */
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

    /**
     * The properties that all engines of a service share.
     *
     * @param kvCapacity the KV cache of each engine in tokens, 0 if unknown
     * @param kvTokenBytes the size of the KV cache of one token in bytes
     * @param linkMbps the nominal link speed of each engine in Mbit/s
     * @param maxInFlight the number of concurrent calls for its events that each engine accepts
     */
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
            models = copyOrEmpty(models);
        }
    }

    /** A model that the engines of a service may serve. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Model(@JsonProperty("name") String name) {}

    /** Limits on client requests and on idle client connections. A limit that is absent or 0 has its default. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Limits(
            @JsonProperty("max_header_bytes") int maxHeaderBytes,
            @JsonProperty("max_body_bytes") int maxBodyBytes,
            @JsonProperty("header_timeout_ms") long headerTimeoutMillis,
            @JsonProperty("idle_timeout_ms") long idleTimeoutMillis) {
        private static final int DEFAULT_MAX_HEADER_BYTES = 16_384;
        private static final int DEFAULT_MAX_BODY_BYTES = 4_194_304;
        private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 3_000;
        private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000;

        public Limits {
            maxHeaderBytes = maxHeaderBytes > 0 ? maxHeaderBytes : DEFAULT_MAX_HEADER_BYTES;
            maxBodyBytes = maxBodyBytes > 0 ? maxBodyBytes : DEFAULT_MAX_BODY_BYTES;
            headerTimeoutMillis = headerTimeoutMillis > 0 ? headerTimeoutMillis : DEFAULT_HEADER_TIMEOUT_MILLIS;
            idleTimeoutMillis = idleTimeoutMillis > 0 ? idleTimeoutMillis : DEFAULT_IDLE_TIMEOUT_MILLIS;
        }
    }

    /**
     * A client of the fleet, identified by its API keys.
     *
     * @param priority the priority of its requests; null if the priority of the route applies
     * @param isolated whether its prompts share no cached prefixes with other tenants
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Tenant(
            @JsonProperty("name") String name,
            @JsonProperty("api_keys") List<String> apiKeys,
            @JsonProperty("priority") Integer priority,
            @JsonProperty("isolated") boolean isolated) {

        public Tenant {
            apiKeys = copyOrEmpty(apiKeys);
        }
    }
}
