package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import java.util.List;

/**
 * A value of the register: the register's own acceptors beside the payload, so that both change by one
 * protocol.
 *
 * @param members the acceptors, as {@link burlarch.coordination.register.acceptorset.AcceptorSet} encodes them:
 *     while the set changes, joining and leaving acceptors are marked
 * @param payload opaque to the register
 */
public record RegisterValue(List<AcceptorMember> members, byte[] payload) {}
