package burlarch.controller.state;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfigurationException;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import java.util.Optional;

/**
 * The changes of a {@link SystemState}, as pure functions: a proposal may apply the same change again to a newer state.
 * A change that was applied before is recognized before everything else, also when later changes build on it.
 */
public final class StateChanges {
    private static final int MAX_NAME_LENGTH = 256;

    private StateChanges() {}

    /**
     * Replaces the complete configuration.
     *
     * @param ifMatch the version that the change builds on, 0 for the first configuration
     * @param digest of the document, see {@link AppliedChange}
     */
    public static ChangeResult putConfiguration(
            SystemState state, long ifMatch, ConfigurationDocument document, String digest) {
        AppliedChange change = AppliedChange.put(ifMatch, document.version(), digest);
        Optional<Unchanged> unchanged = reasonNotToApply(state, ifMatch, change);
        return unchanged.isPresent() ? unchanged.get() : withConfiguration(state, change, document);
    }

    private static ChangeResult withConfiguration(
            SystemState state, AppliedChange change, ConfigurationDocument document) {
        byte[] json = document.json();
        if (json.length > SystemState.MAX_CONFIGURATION_BYTES) {
            return Unchanged.invalid("", "longer than " + SystemState.MAX_CONFIGURATION_BYTES + " bytes");
        }
        return new Changed(state.withConfiguration(change, json));
    }

    /** Changes named items of the current configuration. Parameters as for {@link #putConfiguration}. */
    public static ChangeResult patchConfiguration(
            SystemState state, long ifMatch, ConfigurationPatch patch, String digest) {
        AppliedChange change = AppliedChange.patch(ifMatch, patch.version(), digest);
        Optional<Unchanged> unchanged = reasonNotToApply(state, ifMatch, change);
        if (unchanged.isPresent()) {
            return unchanged.get();
        }
        if (!state.hasConfiguration()) {
            return Unchanged.invalid("", "there is no configuration to change yet");
        }
        try {
            ConfigurationDocument base = ConfigurationDocument.parse(state.configuration());
            return withConfiguration(state, change, patch.applyTo(base));
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
     * Why the state does not take a change; empty if it does.
     *
     * <p>A rejection (conflict or invalid) must hold for all later states too, because the same call may still be on
     * its way to another controller. So a change is rejected only if its base version is in the past; if its base is
     * not committed yet, the change may still be applied, and the result is unclear.
     */
    private static Optional<Unchanged> reasonNotToApply(SystemState state, long ifMatch, AppliedChange change) {
        Optional<Unchanged> rejection = rejectionInAnyState(ifMatch, change.version());
        if (rejection.isPresent()) {
            return rejection;
        }
        return switch (state.appliedChanges().recall(change)) {
            case APPLIED -> Optional.of(Unchanged.ALREADY_APPLIED);
            case FORGOTTEN -> Optional.of(Unchanged.UNCLEAR);
            case NOT_APPLIED -> reasonByBase(state, ifMatch);
        };
    }

    private static Optional<Unchanged> reasonByBase(SystemState state, long ifMatch) {
        if (ifMatch > state.configurationVersion()) {
            return Optional.of(Unchanged.UNCLEAR);
        }
        return ifMatch < state.configurationVersion() ? Optional.of(Unchanged.CONFLICT) : Optional.empty();
    }

    /** Names a new version of a model's weights. A version that isn't above the model's newest one changes nothing. */
    public static ChangeResult nameWeights(SystemState state, String model, long version) {
        if (!isName(model)) {
            return Unchanged.invalid("model", "must be a name");
        }
        if (version < 1) {
            return Unchanged.invalid("config_version", "must be above 0");
        }
        Long newest = state.weights().get(model);
        if (newest != null && newest >= version) {
            return Unchanged.ALREADY_APPLIED;
        }
        if (newest == null && state.weights().size() >= SystemState.MAX_NAMES) {
            return Unchanged.invalid("model", "too many models");
        }
        return new Changed(state.withWeights(model, version));
    }

    /**
     * Gives a role's lease to a holder, under a new fencing token unless the holder has it already. The new holder must
     * wait out the former holder's lease before it acts.
     */
    public static ChangeResult takeOwnership(SystemState state, String key, String holder) {
        if (!isName(key) || !isName(holder)) {
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

    private static boolean isName(String text) {
        return text != null && !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
    }
}
