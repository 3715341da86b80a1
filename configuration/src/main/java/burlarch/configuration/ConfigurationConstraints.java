package burlarch.configuration;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import jakarta.validation.Valid;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Pattern;
import jakarta.validation.constraints.Positive;
import jakarta.validation.constraints.PositiveOrZero;
import java.util.List;

/**
 * The constraints on single fields of a configuration document. They stand apart from {@link Configuration} for two
 * reasons: its defaults hide what the document says, and processes that read validated documents load no validator.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ConfigurationConstraints(
        @JsonProperty("config_version") @NotNull(message = MISSING) @Positive(message = FROM_1) Long version,
        @JsonProperty("routes") @NotNull(message = MISSING) List<@NotNull(message = MISSING) @Valid Route> routes,
        @JsonProperty("services") @NotNull(message = MISSING) List<@NotNull(message = MISSING) @Valid Service> services,
        @JsonProperty("limits") @Valid Limits limits,
        @JsonProperty("tenants") List<@NotNull(message = MISSING) @Valid Tenant> tenants) {

    private static final String MISSING = "is missing";
    private static final String FROM_1 = "must be above 0";
    private static final String FROM_0 = "must not be below 0";

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Route(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("hostname") @NotBlank(message = MISSING) String hostname,
            @JsonProperty("path_prefix")
                    @NotNull(message = MISSING)
                    @Pattern(regexp = "/(.*/)?", message = "must begin and end with a slash")
                    String pathPrefix,
            @JsonProperty("timeout_ms") @Positive(message = FROM_1) long timeoutMillis,
            @JsonProperty("target_latency_ms") @PositiveOrZero(message = FROM_0) long targetLatencyMillis,
            @JsonProperty("priority") @PositiveOrZero(message = FROM_0) int priority,
            @JsonProperty("traffic_split") List<@NotNull(message = MISSING) @Valid Split> trafficSplit,
            @JsonProperty("retries") @PositiveOrZero(message = FROM_0) int retries,
            @JsonProperty("gap_aim_ms") @PositiveOrZero(message = FROM_0) long gapAimMillis) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Split(
            @JsonProperty("service") @NotBlank(message = MISSING) String service,
            @JsonProperty("weight") @PositiveOrZero(message = FROM_0) double weight) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Service(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("max_connections") @PositiveOrZero(message = FROM_0) int maxConnections,
            @JsonProperty("kv_capacity") @PositiveOrZero(message = FROM_0) long kvCapacity,
            @JsonProperty("link_mbps") @PositiveOrZero(message = FROM_0) double linkMbps,
            @JsonProperty("max_in_flight") @PositiveOrZero(message = FROM_0) int maxInFlight,
            @JsonProperty("engine") @Valid Engine engine) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Engine(
            @JsonProperty("capacity") @PositiveOrZero(message = FROM_0) int capacity,
            @JsonProperty("kv_capacity") @PositiveOrZero(message = FROM_0) long kvCapacity,
            @JsonProperty("kv_token_bytes") @PositiveOrZero(message = FROM_0) long kvTokenBytes,
            @JsonProperty("link_mbps") @PositiveOrZero(message = FROM_0) double linkMbps,
            @JsonProperty("max_in_flight") @PositiveOrZero(message = FROM_0) int maxInFlight,
            @JsonProperty("models") List<@NotNull(message = MISSING) @Valid Model> models) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Model(@JsonProperty("name") @NotBlank(message = MISSING) String name) {}

    /** A limit may be absent, but not 0. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Limits(
            @JsonProperty("max_header_bytes") @Positive(message = FROM_1) Integer maxHeaderBytes,
            @JsonProperty("max_body_bytes") @Positive(message = FROM_1) Integer maxBodyBytes,
            @JsonProperty("header_timeout_ms") @Positive(message = FROM_1) Long headerTimeoutMillis,
            @JsonProperty("idle_timeout_ms") @Positive(message = FROM_1) Long idleTimeoutMillis) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Tenant(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("api_keys") List<@NotBlank(message = MISSING) String> apiKeys,
            @JsonProperty("priority") @PositiveOrZero(message = FROM_0) Integer priority) {}
}
