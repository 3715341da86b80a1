package burlarch.controller.state;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.Map;

/**
 * All that the core agrees upon; the payload of the register. Immutable, but for the bytes of the
 * configuration, which nobody may write to. Names on the wire are short, as each change sends the whole.
 *
 * @param configurationVersion 0 while there is none
 * @param configuration the whole document, JSON; empty while there is none
 * @param appliedChanges the newest changes that were taken; in a value of an older release, which has none, all are
 *     forgotten
 * @param weights newest named version of weights by model
 * @param owners owner by key
 * @param nextToken the next owner's fencing token; only rises
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record SystemState(
        @JsonProperty("v") long configurationVersion,
        @JsonProperty("c") byte[] configuration,
        @JsonProperty("k") AppliedChanges appliedChanges,
        @JsonProperty("w") Map<String, Long> weights,
        @JsonProperty("o") Map<String, Lease> owners,
        @JsonProperty("n") long nextToken) {
    /** The longest configuration that is taken, so that one message and one record on disk hold it. */
    public static final int MAX_CONFIGURATION_BYTES = 5 << 20;
    /** Most models that have named weights, and most keys that have an owner. */
    public static final int MAX_NAMES = 1024;
    /** The state of a fleet that nobody has configured yet. */
    public static final SystemState EMPTY = new SystemState(0, new byte[0], AppliedChanges.NONE, Map.of(), Map.of(), 1);

    public SystemState {
        configuration = configuration == null ? new byte[0] : configuration;
        appliedChanges = appliedChanges == null ? AppliedChanges.forgottenUpTo(configurationVersion) : appliedChanges;
        weights = weights == null ? Map.of() : Map.copyOf(weights);
        owners = owners == null ? Map.of() : Map.copyOf(owners);
    }

    /** Whether a configuration was ever taken. */
    public boolean hasConfiguration() {
        return configurationVersion > 0;
    }

    SystemState withConfiguration(AppliedChange change, byte[] document) {
        return new SystemState(change.version(), document, appliedChanges.with(change), weights, owners, nextToken);
    }

    SystemState withWeights(String model, long version) {
        Map<String, Long> changed = new HashMap<>(weights);
        changed.put(model, version);
        return new SystemState(configurationVersion, configuration, appliedChanges, changed, owners, nextToken);
    }

    SystemState withOwner(String key, String holder) {
        Map<String, Lease> changed = new HashMap<>(owners);
        changed.put(key, new Lease(holder, nextToken));
        return new SystemState(configurationVersion, configuration, appliedChanges, weights, changed, nextToken + 1);
    }
}
