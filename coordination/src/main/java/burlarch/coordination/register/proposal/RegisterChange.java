package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/**
 * One change of the register's value, run anew on each value that its proposal meets.
 *
 * <p>After a conflict it may meet a value that its own earlier write led to, so the payload has to tell
 * whether the change is in it.
 */
public interface RegisterChange {
    /**
     * Decides on the current value. Has no side effects.
     *
     * @param current the newest value, with a settled acceptor set; null before the first one, whose members
     *     are then the believed set, whatever the written value names
     */
    ChangeDecision decide(RegisterValue current);
}
