package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/** What a {@link RegisterChange} decides to do with the register's current value. */
public sealed interface ChangeDecision {
    /** Write {@code next} in place of the current value. It may name another acceptor set. */
    record Write(RegisterValue next) implements ChangeDecision {}

    /**
     * Leave the value as it is and report it once it is certain to be chosen. Right for a read, for a change
     * that is already applied, and for one that no later value can take, such as one whose base version has
     * passed.
     */
    record Keep() implements ChangeDecision {}

    /**
     * Leave the value as it is, but write it again under a new proposal number before it is reported. Once that
     * write is chosen, no earlier proposal that was left unfinished can be chosen any more. Needed before a
     * change is rejected that a later value might still take.
     */
    record Seal() implements ChangeDecision {}

    /** Reports the current value. */
    static ChangeDecision keep() {
        return new Keep();
    }

    /** Reports the current value and bars all earlier proposals. */
    static ChangeDecision seal() {
        return new Seal();
    }
}
