package burlarch.coordination.register.proposal;

import burlarch.coordination.register.RegisterValue;

/**
 * A change of the register's value. The proposal calls {@link #decide} for each value that it reads.
 *
 * <p>After a conflict a proposal may read a value that is based on its own earlier write. The payload must therefore
 * show whether the change is already applied.
 */
public interface RegisterChange {
    /**
     * Decides what to do with the current value. Must have no side effects, as it may be called several times.
     *
     * @param current the newest value, whose acceptor set is simple; null when the register has no value yet. The
     *     first value always names the proposer's view of the initial acceptors, whatever members the decision names.
     */
    ChangeDecision decide(RegisterValue current);
}
