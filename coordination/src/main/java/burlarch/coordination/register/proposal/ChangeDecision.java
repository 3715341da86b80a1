package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/** A {@link RegisterChange}'s decision on the register's current value. */
public sealed interface ChangeDecision {
    /** Write {@code next} in place of the current value. It may name another acceptor set. */
    record Write(RegisterValue next) implements ChangeDecision {}

    /**
     * Leave the value as it is and report it once it is known to be chosen. Use it for a read, for a change that is
     * already applied, and for a change that cannot apply to any later value, such as one whose base version is
     * outdated.
     */
    record Keep() implements ChangeDecision {}

    /**
     * Leave the value as it is, but write it again under a new proposal number before it is reported. Once that write
     * is chosen, no earlier unfinished proposal can be chosen any more. Needed before rejecting a change that might
     * still apply to a later value.
     */
    record Seal() implements ChangeDecision {}

    /** Returns the decision to report the current value. */
    static ChangeDecision keep() {
        return new Keep();
    }

    /** Returns the decision to report the current value once no earlier proposal can be chosen any more. */
    static ChangeDecision seal() {
        return new Seal();
    }
}
