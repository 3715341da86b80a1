package burlarch.coordination.register;

/** What a change makes of the register's current value. */
public sealed interface Decision {
    /** Write {@code next} in place of the current value. It may name another acceptor set. */
    record Write(RegisterValue next) implements Decision {
    }

    /**
     * Leave the value as it is, and report it once it is certain to be chosen.
     *
     * @param sealing whether the value has to be written again at a new ballot in any case. Only then can no
     *     earlier proposal that was left undecided come to light any more: needed before a change is refused
     *     for good, not for a read or for the acknowledgement of a change that is in the value
     */
    record Keep(boolean sealing) implements Decision {
    }

    /** Reports the current value. */
    static Decision keep() {
        return new Keep(false);
    }

    /** Reports the current value and bars all that was proposed before. */
    static Decision seal() {
        return new Keep(true);
    }
}
