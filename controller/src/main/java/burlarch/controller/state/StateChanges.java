package burlarch.controller.state;

import burlarch.configuration.ConfigurationDocument;
import burlarch.configuration.ConfigurationPatch;
import burlarch.configuration.InvalidConfiguration;
import burlarch.controller.error.Problem;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import java.util.List;

/**
 * The changes that the register's state may take, as pure functions, so that the register can apply one again
 * on a newer state. What was taken is known again before all else, also under changes that were built on it.
 */
public final class StateChanges {
    private static final int MAX_NAME_LENGTH = 256;

    private StateChanges() {}

    /**
     * Brings a whole configuration.
     *
     * @param ifMatch the version that it builds on, 0 for the first
     * @param digest of the document, see {@link AppliedChange}
     */
    public static ChangeResult putConfiguration(
            SystemState state, long ifMatch, ConfigurationDocument document, String digest) {
        AppliedChange change = AppliedChange.put(ifMatch, document.version(), digest);
        Unchanged refusal = rejection(state, ifMatch, change);
        return refusal != null ? refusal : withConfiguration(state, change, document);
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
        Unchanged refusal = rejection(state, ifMatch, change);
        if (refusal != null) {
            return refusal;
        }
        if (!state.hasConfiguration()) {
            return Unchanged.invalid("", "there is no configuration to change yet");
        }
        try {
            ConfigurationDocument base = ConfigurationDocument.read(state.configuration());
            return withConfiguration(state, change, patch.applyTo(base));
        } catch (InvalidConfiguration invalid) {
            return new Unchanged(UnchangedReason.INVALID, problems(invalid));
        }
    }

    private static List<Problem> problems(InvalidConfiguration invalid) {
        return invalid.problems().stream()
                .map(one -> new Problem(one.field(), one.reason()))
                .toList();
    }

    /**
     * What can be said of a change without looking at any state: a problem where no state will ever take it.
     *
     * @return null where it depends on the state
     */
    public static Unchanged rejectionInAnyState(long ifMatch, long version) {
        if (ifMatch < 0) {
            return Unchanged.invalid("If-Match", "must not be below 0");
        }
        if (version <= ifMatch) {
            return Unchanged.invalid("config_version", "must be above " + ifMatch + ", which it builds on");
        }
        return null;
    }

    /**
     * Why the state doesn't take a change, or null where it does. A refusal (conflict or invalid) has to hold
     * for all later states too, as the same call may still be on its way to another controller. So a change
     * is refused only where its base is past; one whose base was not chosen yet may still be taken.
     */
    private static Unchanged rejection(SystemState state, long ifMatch, AppliedChange change) {
        Unchanged never = rejectionInAnyState(ifMatch, change.version());
        if (never != null) {
            return never;
        }
        return switch (state.appliedChanges().recall(change)) {
            case APPLIED -> Unchanged.ALREADY_APPLIED;
            case FORGOTTEN -> Unchanged.UNCLEAR;
            case NOT_APPLIED -> rejectionByBase(state, ifMatch);
        };
    }

    private static Unchanged rejectionByBase(SystemState state, long ifMatch) {
        if (ifMatch > state.configurationVersion()) {
            return Unchanged.UNCLEAR;
        }
        return ifMatch < state.configurationVersion() ? Unchanged.CONFLICT : null;
    }

    /** Names new weights of a model. A version that isn't above the model's newest changes nothing. */
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
     * Makes the holder the owner of a key, under a new fencing token unless it is the owner already. The
     * caller waits the former owner's lease out first.
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
