package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;

/**
 * A value of the register: its payload and the register's own acceptors, so that both change by the same protocol.
 *
 * @param members the acceptors, as {@link burlarch.coordination.register.acceptorset.AcceptorSet} encodes them: while
 *     the set changes, joining and leaving acceptors are marked
 * @param payload application data, opaque to the register
 */
public record RegisterValue(List<AcceptorMember> members, byte[] payload) {}
