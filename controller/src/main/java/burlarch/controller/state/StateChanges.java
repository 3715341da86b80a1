package burlarch.controller.state;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Pure functions that apply changes to a {@link SystemState}. They are pure because a proposal may apply the same
 * change again to a newer state. A change that was applied earlier is recognized even if later changes build on it.
 */
public final class StateChanges {
    private static final int MAX_NAME_LENGTH = 256;

    private StateChanges() {}

    /**
     * Replaces the configuration by a complete document.
     *
     * @param ifMatch the version that the change builds on, 0 for the first configuration
     * @param digest of the document, see {@link AppliedChange}
     */
    public static ChangeResult putConfiguration(
            SystemState state, long ifMatch, ConfigurationDocument document, String digest) {
        AppliedChange change = AppliedChange.put(ifMatch, document.version(), digest);
        Optional<Unchanged> unchanged = checkApplicable(state, ifMatch, change);
        return unchanged.isPresent() ? unchanged.get() : applyConfiguration(state, change, document);
    }

    private static ChangeResult applyConfiguration(
            SystemState state, AppliedChange change, ConfigurationDocument document) {
        byte[] json = document.json();
        if (json.length > SystemState.MAX_CONFIGURATION_BYTES) {
            return Unchanged.invalid("", "longer than " + SystemState.MAX_CONFIGURATION_BYTES + " bytes");
        }
        return new Changed(state.withConfiguration(change, json));
    }

    /** Applies a patch to the current configuration. Parameters as for {@link #putConfiguration}. */
    public static ChangeResult patchConfiguration(
            SystemState state, long ifMatch, ConfigurationPatch patch, String digest) {
        AppliedChange change = AppliedChange.patch(ifMatch, patch.version(), digest);
        Optional<Unchanged> unchanged = checkApplicable(state, ifMatch, change);
        if (unchanged.isPresent()) {
            return unchanged.get();
        }
        if (!state.hasConfiguration()) {
            return Unchanged.invalid("", "there is no configuration to change yet");
        }
        try {
            ConfigurationDocument base = ConfigurationDocument.parse(state.configuration());
            return applyConfiguration(state, change, patch.applyTo(base));
        } catch (InvalidConfigurationException invalid) {
            return new Unchanged(UnchangedReason.INVALID, invalid.problems());
        }
    }

    /** The rejection of a change that no state will ever accept; empty if the result depends on the state. */
    public static Optional<Unchanged> rejectionInAnyState(long ifMatch, long version) {
        if (ifMatch < 0) {
            return Optional.of(Unchanged.invalid("If-Match", "must not be below 0"));
        }
        if (version <= ifMatch) {
            return Optional.of(
                    Unchanged.invalid("config_version", "must be above " + ifMatch + ", which it builds on"));
        }
        return Optional.empty();
    }

    /**
     * Returns the reason for which a change does not apply to the state; empty if it applies.
     *
     * <p>A rejection (conflict or invalid) must hold for all later states too, because a copy of the same call may
     * still be in flight to another controller. Therefore a change is rejected only if its base version is in the past.
     * If its base is not committed yet, the change may still be applied, and the result is unclear.
     */
    private static Optional<Unchanged> checkApplicable(SystemState state, long ifMatch, AppliedChange change) {
        Optional<Unchanged> rejection = rejectionInAnyState(ifMatch, change.version());
        if (rejection.isPresent()) {
            return rejection;
        }
        return switch (state.appliedChanges().recall(change)) {
            case APPLIED -> Optional.of(Unchanged.ALREADY_APPLIED);
            case FORGOTTEN -> Optional.of(Unchanged.UNCLEAR);
            case NOT_APPLIED -> checkBaseVersion(state, ifMatch);
        };
    }

    private static Optional<Unchanged> checkBaseVersion(SystemState state, long ifMatch) {
        if (ifMatch > state.configurationVersion()) {
            return Optional.of(Unchanged.UNCLEAR);
        }
        return ifMatch < state.configurationVersion() ? Optional.of(Unchanged.CONFLICT) : Optional.empty();
    }

    /**
     * Sets the target version of a model's weights. A version that isn't above the model's current target changes
     * nothing.
     */
    public static ChangeResult setWeightsVersion(SystemState state, String model, long version) {
        if (!isValidName(model)) {
            return Unchanged.invalid("model", "must be a name");
        }
        if (version < 1) {
            return Unchanged.invalid("config_version", "must be above 0");
        }
        Long currentTarget = state.weights().get(model);
        if (currentTarget != null && currentTarget >= version) {
            return Unchanged.ALREADY_APPLIED;
        }
        if (currentTarget == null && state.weights().size() >= SystemState.MAX_NAMES) {
            return Unchanged.invalid("model", "too many models");
        }
        return new Changed(state.withWeights(model, version));
    }

    /**
     * Assigns a role's lease to a holder with a new fencing token, unless the holder has the lease already. The new
     * holder must wait until the previous holder's lease has expired before it acts.
     */
    public static ChangeResult takeOwnership(SystemState state, String key, String holder) {
        if (!isValidName(key) || !isValidName(holder)) {
            return Unchanged.invalid("key", "key and holder must be names");
        }
        Lease lease = state.owners().get(key);
        if (lease != null && lease.holder().equals(holder)) {
            return Unchanged.ALREADY_APPLIED;
        }
        if (lease == null && state.owners().size() >= SystemState.MAX_NAMES) {
            return Unchanged.invalid("key", "too many keys");
        }
        return new Changed(state.withOwner(key, holder));
    }

    /**
     * Records that instances drain or have left. An instance that has a departure gets a new one, because it may have
     * returned meanwhile.
     *
     * @param ids valid {@linkplain #isValidName names}
     */
    public static ChangeResult instancesDeparted(SystemState state, Collection<String> ids) {
        return new Changed(state.withDepartures(state.departures().with(ids)));
    }

    /**
     * Removes the departure of an instance that has returned under the same id.
     *
     * @param departure number of the departure that the instance has returned from; a newer one is kept
     */
    public static ChangeResult instanceReturned(SystemState state, String id, long departure) {
        OptionalLong current = state.departures().numberOf(id);
        if (current.isEmpty() || current.getAsLong() != departure) {
            return Unchanged.ALREADY_APPLIED;
        }
        return new Changed(state.withDepartures(state.departures().without(id)));
    }

    /** Whether a text can be the name of a model, role, holder or instance in the state. */
    public static boolean isValidName(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }
}
