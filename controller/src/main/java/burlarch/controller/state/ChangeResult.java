package burlarch.controller.state;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import burlarch.controller.error.Problem;
import java.util.List;

/** What a change makes of a state. */
public sealed interface ChangeResult {
    /** The state that the change leads to. */
    record Changed(SystemState state) implements ChangeResult {}

    /** The state stays. {@code problems} is empty but for {@link UnchangedReason#INVALID}. */
    record Unchanged(UnchangedReason reason, List<Problem> problems) implements ChangeResult {
        static final Unchanged ALREADY_APPLIED = new Unchanged(UnchangedReason.ALREADY_APPLIED, List.of());
        static final Unchanged CONFLICT = new Unchanged(UnchangedReason.CONFLICT, List.of());
        static final Unchanged UNCLEAR = new Unchanged(UnchangedReason.UNCLEAR, List.of());

        static Unchanged invalid(String field, String reason) {
            return new Unchanged(UnchangedReason.INVALID, List.of(new Problem(field, reason)));
        }

        /**
         * The refusal as a failure of the call.
         *
         * @throws IllegalStateException for {@link UnchangedReason#ALREADY_APPLIED}, which is a success
         */
        public ControlException failure() {
            return switch (reason) {
                case CONFLICT -> new ControlException(ErrorKind.CONFLICT);
                case UNCLEAR -> new ControlException(ErrorKind.UNCLEAR);
                case INVALID -> new ControlException(ErrorKind.INVALID, problems);
                case ALREADY_APPLIED -> throw new IllegalStateException("taken");
            };
        }
    }

    /** Why a state stays as it is. */
    enum UnchangedReason {
        /** That very change, or one that makes it needless, is in the state already: a success. */
        ALREADY_APPLIED,
        /** Another version is current than the one that the change builds on. */
        CONFLICT,
        /** The change breaks a rule. */
        INVALID,
        /**
         * The change may have been taken and forgotten, or may yet be taken when the version that it builds
         * on is: neither can be promised.
         */
        UNCLEAR;

        /** Whether it promises that the change is not in force and never will be. */
        boolean isRejection() {
            return this == CONFLICT || this == INVALID;
        }
    }
}
