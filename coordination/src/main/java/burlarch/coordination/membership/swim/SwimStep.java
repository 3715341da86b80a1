package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.SwimMessage;
import java.util.List;

/**
 * What one input of {@link Swim} led to.
 *
 * @param datagrams to send, in this order; the protocol bears the loss of any
 * @param changes of other members, in the order in which they happened
 * @param wakeUpAtNanos when {@link Swim#onTimer} is to be called, in the time of the inputs
 */
public record SwimStep(List<Datagram> datagrams, List<MemberChange> changes, long wakeUpAtNanos) {
    /**
     * A datagram to send.
     *
     * @param to the receiver's address, IP:PORT
     * @param bytes the encoded {@link SwimMessage}
     */
    public record Datagram(String to, byte[] bytes) {}
}
