package burlarch.controller.state;

import burlarch.configuration.ConfigurationProblem;
import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import java.util.List;

/** The result of applying one change to one {@link SystemState}. */
public sealed interface ChangeResult {
    /**
     * The change applies.
     *
     * @param state the state with the change in it
     */
    record Changed(SystemState state) implements ChangeResult {}

    /**
     * The state stays as it is.
     *
     * @param reason why
     * @param problems the rules that the change breaks; empty unless the reason is {@link UnchangedReason#INVALID}
     */
    record Unchanged(UnchangedReason reason, List<ConfigurationProblem> problems) implements ChangeResult {
        static final Unchanged ALREADY_APPLIED = new Unchanged(UnchangedReason.ALREADY_APPLIED, List.of());
        static final Unchanged CONFLICT = new Unchanged(UnchangedReason.CONFLICT, List.of());
        static final Unchanged UNCLEAR = new Unchanged(UnchangedReason.UNCLEAR, List.of());

        static Unchanged invalid(String field, String reason) {
            return new Unchanged(UnchangedReason.INVALID, List.of(new ConfigurationProblem(field, reason)));
        }

        /**
         * The failure that the caller of the change is told.
         *
         * @throws IllegalStateException for {@link UnchangedReason#ALREADY_APPLIED}, which is a success
         */
        public ControlException failure() {
            return switch (reason) {
                case CONFLICT -> new ControlException(ErrorKind.CONFLICT);
                case UNCLEAR -> new ControlException(ErrorKind.UNCLEAR);
                case INVALID -> new ControlException(ErrorKind.INVALID, problems);
                case ALREADY_APPLIED -> throw new IllegalStateException("an applied change is no failure");
            };
        }
    }

    /** Why a state stays as it is. */
    enum UnchangedReason {
        /** The state holds this very change, or one that makes it unnecessary: a success. */
        ALREADY_APPLIED,
        /** The current version is another one than the version that the change builds on. */
        CONFLICT,
        /** The change breaks a rule. */
        INVALID,
        /**
         * The change may have been applied and forgotten, or may still be applied once the version that it builds on
         * is committed: neither success nor rejection can be promised.
         */
        UNCLEAR;

        /** Whether the reason promises that the change is not in force and never will be. */
        boolean isRejection() {
            return this == CONFLICT || this == INVALID;
        }
    }
}
