package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.Map;

/**
 * The replicated state that the controllers agree on; the payload of the register. Immutable, but the configuration's
 * bytes are not copied, so callers must not modify them. Field names in stored bytes are short, because each change
 * sends the complete state.
 *
 * @param configurationVersion version of the configuration; 0 while there is none
 * @param configuration the complete document as JSON; empty while there is none
 * @param appliedChanges the newest applied changes of the configuration; a value written by an older release has none,
 *     so that all of its changes count as forgotten
 * @param weights target version of the weights, by model
 * @param owners leases by the key of their role
 * @param nextToken fencing token of the next lease; never decreases
 * @param departures instances that drain or have left; a value written by an older release has none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SystemState(
        @JsonProperty("v") long configurationVersion,
        @JsonProperty("c") byte[] configuration,
        @JsonProperty("k") AppliedChanges appliedChanges,
        @JsonProperty("w") Map<String, Long> weights,
        @JsonProperty("o") Map<String, Lease> owners,
        @JsonProperty("n") long nextToken,
        @JsonProperty("d")
                @JsonInclude(value = JsonInclude.Include.CUSTOM, valueFilter = DepartedInstances.NoneFilter.class)
                DepartedInstances departures) {
    /** Limit of a configuration's size, so that it fits into one message and one record on disk. */
    public static final int MAX_CONFIGURATION_BYTES = 5 << 20;
    /** Limit of models with a target version, and of roles with a lease. */
    public static final int MAX_NAMES = 1024;
    /** The state of a fleet without a configuration. */
    public static final SystemState EMPTY =
            new SystemState(0, new byte[0], AppliedChanges.NONE, Map.of(), Map.of(), 1, DepartedInstances.NONE);

    public SystemState {
        configuration = configuration == null ? new byte[0] : configuration;
        appliedChanges = appliedChanges == null ? AppliedChanges.forgottenUpTo(configurationVersion) : appliedChanges;
        weights = weights == null ? Map.of() : Map.copyOf(weights);
        owners = owners == null ? Map.of() : Map.copyOf(owners);
        departures = departures == null ? DepartedInstances.NONE : departures;
    }

    /** Whether a configuration was ever applied. */
    public boolean hasConfiguration() {
        return configurationVersion > 0;
    }

    SystemState withConfiguration(AppliedChange change, byte[] document) {
        return new SystemState(
                change.version(), document, appliedChanges.with(change), weights, owners, nextToken, departures);
    }

    SystemState withWeights(String model, long version) {
        Map<String, Long> changed = new HashMap<>(weights);
        changed.put(model, version);
        return new SystemState(
                configurationVersion, configuration, appliedChanges, changed, owners, nextToken, departures);
    }

    SystemState withOwner(String key, String holder) {
        Map<String, Lease> changed = new HashMap<>(owners);
        changed.put(key, new Lease(holder, nextToken));
        return new SystemState(
                configurationVersion, configuration, appliedChanges, weights, changed, nextToken + 1, departures);
    }

    SystemState withDepartures(DepartedInstances changed) {
        return new SystemState(
                configurationVersion, configuration, appliedChanges, weights, owners, nextToken, changed);
    }
}
