package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/** What a change makes of the register's current value. */
public sealed interface ChangeDecision {
    /** Write {@code next} in place of the current value. It may name another acceptor set. */
    record Write(RegisterValue next) implements ChangeDecision {}

    /**
     * Leave the value as it is, and report it once it is certain to be chosen.
     *
     * @param sealing whether the value has to be written again at a new ballot in any case. Only then can no
     *     earlier proposal that was left undecided come to light any more. Needed before a change is refused
     *     that a later value might take; not for a read, nor for a change that is in the value, nor for one
     *     that no value after this one can take, such as one whose base is past
     */
    record Keep(boolean sealing) implements ChangeDecision {}

    /** Reports the current value. */
    static ChangeDecision keep() {
        return new Keep(false);
    }

    /** Reports the current value and bars all that was proposed before. */
    static ChangeDecision seal() {
        return new Keep(true);
    }
}
