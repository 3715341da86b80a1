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
 * The Bean Validation constraints on single fields of a configuration document. They are separate from
 * {@link Configuration} for two reasons: its defaults hide which values the document contains, and processes that read
 * only validated documents do not load the validator. A constraint's message becomes the reason of a
 * {@link ConfigurationProblem}.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ConfigurationConstraints(
        @JsonProperty("config_version") @NotNull(message = MISSING) @Positive(message = MUST_BE_POSITIVE) Long version,
        @JsonProperty("routes") @NotNull(message = MISSING) List<@NotNull(message = MISSING) @Valid Route> routes,
        @JsonProperty("services") @NotNull(message = MISSING) List<@NotNull(message = MISSING) @Valid Service> services,
        @JsonProperty("limits") @Valid Limits limits,
        @JsonProperty("tenants") List<@NotNull(message = MISSING) @Valid Tenant> tenants) {

    private static final String MISSING = "is missing";
    private static final String MUST_BE_POSITIVE = "must be above 0";
    private static final String MUST_NOT_BE_NEGATIVE = "must not be below 0";

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Route(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("hostname") @NotBlank(message = MISSING) String hostname,
            @JsonProperty("path_prefix")
                    @NotNull(message = MISSING)
                    @Pattern(regexp = "/(.*/)?", message = "must begin and end with a slash")
                    String pathPrefix,
            @JsonProperty("timeout_ms") @Positive(message = MUST_BE_POSITIVE) long timeoutMillis,
            @JsonProperty("target_latency_ms") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) long targetLatencyMillis,
            @JsonProperty("priority") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int priority,
            @JsonProperty("traffic_split") List<@NotNull(message = MISSING) @Valid Split> trafficSplit,
            @JsonProperty("retries") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int retries,
            @JsonProperty("gap_aim_ms") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) long gapAimMillis) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Split(
            @JsonProperty("service") @NotBlank(message = MISSING) String service,
            @JsonProperty("weight") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) double weight) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Service(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("max_connections") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int maxConnections,
            @JsonProperty("kv_capacity") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) long kvCapacity,
            @JsonProperty("link_mbps") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) double linkMbps,
            @JsonProperty("max_in_flight") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int maxInFlight,
            @JsonProperty("engine") @Valid Engine engine) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Engine(
            @JsonProperty("capacity") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int capacity,
            @JsonProperty("kv_capacity") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) long kvCapacity,
            @JsonProperty("kv_token_bytes") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) long kvTokenBytes,
            @JsonProperty("link_mbps") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) double linkMbps,
            @JsonProperty("max_in_flight") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) int maxInFlight,
            @JsonProperty("models") List<@NotNull(message = MISSING) @Valid Model> models) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Model(@JsonProperty("name") @NotBlank(message = MISSING) String name) {}

    /** Boxed types, because a limit may be absent but must not be 0. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    record Limits(
            @JsonProperty("max_header_bytes") @Positive(message = MUST_BE_POSITIVE) Integer maxHeaderBytes,
            @JsonProperty("max_body_bytes") @Positive(message = MUST_BE_POSITIVE) Integer maxBodyBytes,
            @JsonProperty("header_timeout_ms") @Positive(message = MUST_BE_POSITIVE) Long headerTimeoutMillis,
            @JsonProperty("idle_timeout_ms") @Positive(message = MUST_BE_POSITIVE) Long idleTimeoutMillis) {}

    @JsonIgnoreProperties(ignoreUnknown = true)
    record Tenant(
            @JsonProperty("name") @NotBlank(message = MISSING) String name,
            @JsonProperty("api_keys") List<@NotBlank(message = MISSING) String> apiKeys,
            @JsonProperty("priority") @PositiveOrZero(message = MUST_NOT_BE_NEGATIVE) Integer priority) {}
}
