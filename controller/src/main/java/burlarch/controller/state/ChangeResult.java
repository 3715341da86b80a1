package burlarch.controller.state;

import burlarch.configuration.ConfigurationProblem;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import java.util.List;

/** Result of applying one change to one {@link SystemState}. */
public sealed interface ChangeResult {
    /**
     * The change was applied.
     *
     * @param state the state with the change in it
     */
    record Changed(SystemState state) implements ChangeResult {}

    /**
     * The change was not applied, so the state is unchanged.
     *
     * @param reason why
     * @param problems the rules that the change violates; empty unless the reason is {@link UnchangedReason#INVALID}
     */
    record Unchanged(UnchangedReason reason, List<ConfigurationProblem> problems) implements ChangeResult {
        static final Unchanged ALREADY_APPLIED = new Unchanged(UnchangedReason.ALREADY_APPLIED, List.of());
        static final Unchanged CONFLICT = new Unchanged(UnchangedReason.CONFLICT, List.of());
        static final Unchanged UNCLEAR = new Unchanged(UnchangedReason.UNCLEAR, List.of());

        static Unchanged invalid(String field, String reason) {
            return new Unchanged(UnchangedReason.INVALID, List.of(new ConfigurationProblem(field, reason)));
        }

        /**
         * Returns the failure that is reported to the caller of the change.
         *
         * @throws IllegalStateException for {@link UnchangedReason#ALREADY_APPLIED}, which is a success
         */
        public ControlException failure() {
            return switch (reason) {
                case CONFLICT -> new ControlException(ErrorKind.CONFLICT);
                case UNCLEAR -> new ControlException(ErrorKind.UNCLEAR);
                case INVALID -> new ControlException(ErrorKind.INVALID, problems);
                case ALREADY_APPLIED -> throw new IllegalStateException(
                        "ALREADY_APPLIED is a success and has no failure");
            };
        }
    }

    /** Reason for which a change was not applied. */
    enum UnchangedReason {
        /** The state already contains this change, or one that makes it unnecessary: a success. */
        ALREADY_APPLIED,
        /** The current version differs from the version that the change builds on. */
        CONFLICT,
        /** The change violates a rule. */
        INVALID,
        /**
         * The change may have been applied and removed from the history, or may still be applied once its base version
         * is committed, so neither success nor rejection can be reported.
         */
        UNCLEAR;

        /** Whether the reason guarantees that the change is not in force and never will be. */
        boolean isRejection() {
            return this == CONFLICT || this == INVALID;
        }
    }
}
