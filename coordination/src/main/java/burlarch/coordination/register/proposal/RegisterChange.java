package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/**
 * One change of the register's value. Its proposal asks it again on each value that it reads.
 *
 * <p>After a conflict a proposal may read a value that its own earlier write led to. The payload must therefore
 * show whether the change is already applied.
 */
public interface RegisterChange {
    /**
     * Decides on the current value. Has no side effects, as it may be called several times.
     *
     * @param current the newest value, whose acceptor set is simple; null when the register has no value yet.
     *     The first value always names the proposer's view of the initial acceptors, whatever members the
     *     decision names.
     */
    ChangeDecision decide(RegisterValue current);
}
