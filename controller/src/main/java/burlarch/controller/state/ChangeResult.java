package burlarch.controller.state;

import burlarch.node.error.ErrorKind;
import burlarch.node.error.FleetException;
import burlarch.node.error.Problem;
import java.util.List;

/** What a change makes of a state. */
public sealed interface ChangeResult {
    /** The state that the change leads to. */
    record Changed(SystemState state) implements ChangeResult {}

    /** The state stays. {@code problems} is empty but for {@link Answer#INVALID}. */
    record Unchanged(Answer answer, List<Problem> problems) implements ChangeResult {
        static final Unchanged ALREADY_TAKEN = new Unchanged(Answer.ALREADY_TAKEN, List.of());
        static final Unchanged CONFLICT = new Unchanged(Answer.CONFLICT, List.of());
        static final Unchanged UNCLEAR = new Unchanged(Answer.UNCLEAR, List.of());

        static Unchanged invalid(String field, String reason) {
            return new Unchanged(Answer.INVALID, List.of(new Problem(field, reason)));
        }

        /**
         * The refusal as a failure of the call.
         *
         * @throws IllegalStateException for {@link Answer#ALREADY_TAKEN}, which is a success
         */
        public FleetException failure() {
            return switch (answer) {
                case CONFLICT -> new FleetException(ErrorKind.CONFLICT);
                case UNCLEAR -> new FleetException(ErrorKind.UNCLEAR);
                case INVALID -> new FleetException(ErrorKind.INVALID, problems);
                case ALREADY_TAKEN -> throw new IllegalStateException("taken");
            };
        }
    }

    /** Why a state stays as it is. */
    enum Answer {
        /** That very change, or one that makes it needless, is in the state already: a success. */
        ALREADY_TAKEN,
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
        boolean isRefusal() {
            return this == CONFLICT || this == INVALID;
        }
    }
}
