package burlarch.simulation.operators;

import burlarch.controller.state.AppliedChange;
import burlarch.controller.state.AppliedChanges;
import burlarch.controller.state.ChangeResult;
import burlarch.controller.state.ChangeResult.Changed;
import burlarch.controller.state.ChangeResult.Unchanged;
import burlarch.controller.state.ChangeResult.UnchangedReason;
import burlarch.controller.state.SystemState;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Behaviours with one planted fault each, which the checker must find, and one correct behaviour that remembers few
 * changes.
 */
final class PlantedOperatorFaults {
    private static final Unchanged CONFLICT = new Unchanged(UnchangedReason.CONFLICT, List.of());
    private static final Unchanged ALREADY_APPLIED = new Unchanged(UnchangedReason.ALREADY_APPLIED, List.of());

    private PlantedOperatorFaults() {}

    /** Correct behaviour that forgets all but the two newest changes, which few histories would reach otherwise. */
    static class RemembersTwoChanges extends ControllerBehaviour {
        private static final int REMEMBERED_CHANGES = 2;

        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            return result instanceof Changed changed ? new Changed(withNewestChangesOnly(changed.state())) : result;
        }

        private static SystemState withNewestChangesOnly(SystemState state) {
            List<AppliedChange> changes = state.appliedChanges().changes();
            int from = Math.max(0, changes.size() - REMEMBERED_CHANGES);
            long forgottenVersion = from == 0
                    ? state.appliedChanges().forgottenVersion()
                    : changes.get(from - 1).version();
            AppliedChanges kept = AppliedChanges.forgottenUpTo(forgottenVersion);
            for (AppliedChange change : changes.subList(from, changes.size())) {
                kept = kept.with(change);
            }
            return new SystemState(
                    state.configurationVersion(),
                    state.configuration(),
                    kept,
                    state.weights(),
                    state.owners(),
                    state.nextToken(),
                    state.departures());
        }
    }

    /** Returns the faulty behaviours by description, in the order in which the measurements list them. */
    static Map<String, ControllerBehaviour> all() {
        Map<String, ControllerBehaviour> faults = new LinkedHashMap<>();
        faults.put("a forgotten change is refused", new RejectsForgotten());
        faults.put("a change is known again only while it is the newest", new RecognizesNewestOnly());
        faults.put("a change is refused on a value that isn't chosen", new RejectsOnUncommitted());
        faults.put("a change is refused whose base isn't chosen yet", new RejectsUncommittedBase());
        faults.put("a change without a clear end is acknowledged", new AcknowledgesUnknown());
        faults.put("a change without a clear end is refused", new RejectsUnknown());
        faults.put("a change is tried again on a newer base", new RetriesOnNewerBase());
        faults.put("a change is known by its version alone", new RecognizesByVersionOnly());
        faults.put("a change is known on any base and by any method", new RecognizesOnAnyBase());
        faults.put("a version may stay the same", new AcceptsSameVersion());
        faults.put("a read tells of a value that isn't chosen", new ReadsUncommitted());
        faults.put("a read asks one disk", new ReadsOwnDisk());
        faults.put("an acceptor answers before the sync", new RespondsBeforeSync());
        faults.put("a wiped disk votes under its old name", new ErasesDiskOnRestart());
        faults.put("older weights replace newer ones", new ReplacesWeightsByOlder());
        return faults;
    }

    private static final class RejectsForgotten extends RemembersTwoChanges {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            boolean notNewer = order.version() <= state.configurationVersion();
            return reasonOf(result) == UnchangedReason.UNCLEAR && notNewer ? CONFLICT : result;
        }
    }

    private static final class RecognizesNewestOnly extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            boolean newest = order.version() == state.configurationVersion();
            return reasonOf(result) == UnchangedReason.ALREADY_APPLIED && !newest ? CONFLICT : result;
        }
    }

    private static final class RejectsOnUncommitted extends ControllerBehaviour {
        @Override
        boolean rejectsOnUncommitted() {
            return true;
        }
    }

    private static final class RejectsUncommittedBase extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            return reasonOf(result) == UnchangedReason.UNCLEAR ? CONFLICT : result;
        }
    }

    private static final class AcknowledgesUnknown extends ControllerBehaviour {
        @Override
        int statusOfUnknown() {
            return ControllerModel.OK;
        }
    }

    private static final class RejectsUnknown extends ControllerBehaviour {
        @Override
        int statusOfUnknown() {
            return ControllerModel.CONFLICT;
        }
    }

    private static final class RetriesOnNewerBase extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            long current = state.configurationVersion();
            OperatorChange rebased = new OperatorChange(order.kind(), current, order.version(), order.mark());
            return reasonOf(result) == UnchangedReason.CONFLICT && order.version() > current
                    ? super.apply(rebased, state)
                    : result;
        }
    }

    private static final class RecognizesByVersionOnly extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            boolean versionApplied =
                    state.appliedChanges().changes().stream().anyMatch(change -> change.version() == order.version());
            return reasonOf(result) == UnchangedReason.CONFLICT && versionApplied ? ALREADY_APPLIED : result;
        }
    }

    private static final class RecognizesOnAnyBase extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            return result instanceof Unchanged && isApplied(order, state) ? ALREADY_APPLIED : result;
        }

        private boolean isApplied(OperatorChange order, SystemState state) {
            for (OperatorChange.Kind kind : OperatorChange.Kind.values()) {
                for (long base = 0; base < order.version(); base++) {
                    OperatorChange other = new OperatorChange(kind, base, order.version(), order.mark());
                    boolean sameBody = other.body().equals(order.body());
                    if (sameBody && reasonOf(super.apply(other, state)) == UnchangedReason.ALREADY_APPLIED) {
                        return true;
                    }
                }
            }
            return false;
        }
    }

    private static final class AcceptsSameVersion extends ControllerBehaviour {
        @Override
        ChangeResult apply(OperatorChange order, SystemState state) {
            ChangeResult result = super.apply(order, state);
            boolean basedOnCurrent = order.ifMatch() == state.configurationVersion();
            return reasonOf(result) == UnchangedReason.INVALID && basedOnCurrent && order.version() == order.ifMatch()
                    ? ALREADY_APPLIED
                    : result;
        }
    }

    private static final class ReadsUncommitted extends ControllerBehaviour {
        @Override
        boolean readsUncommitted() {
            return true;
        }
    }

    private static final class ReadsOwnDisk extends ControllerBehaviour {
        @Override
        boolean readsOwnDisk() {
            return true;
        }
    }

    private static final class RespondsBeforeSync extends ControllerBehaviour {
        @Override
        boolean respondsBeforeSync() {
            return true;
        }
    }

    private static final class ErasesDiskOnRestart extends ControllerBehaviour {
        @Override
        boolean erasesDiskOnRestart() {
            return true;
        }
    }

    private static final class ReplacesWeightsByOlder extends ControllerBehaviour {
        @Override
        ChangeResult setWeightsVersion(SystemState state, String model, long version) {
            return new Changed(new SystemState(
                    state.configurationVersion(),
                    state.configuration(),
                    state.appliedChanges(),
                    Map.of(model, version),
                    state.owners(),
                    state.nextToken(),
                    state.departures()));
        }
    }

    private static UnchangedReason reasonOf(ChangeResult result) {
        return result instanceof Unchanged unchanged ? unchanged.reason() : null;
    }
}
