package burlarch.coordination.register;

import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import java.util.List;

/**
 * What the register holds: its own acceptor set beside the payload, so that both change by one rule.
 *
 * @param members the acceptors; while the set changes, those that join and leave are marked: read them by
 *     {@link AcceptorSet}
 * @param payload opaque to the register
 */
public record RegisterValue(List<AcceptorMember> members, byte[] payload) {}
