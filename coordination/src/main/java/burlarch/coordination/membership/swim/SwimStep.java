package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.SwimMessage;
import java.util.List;

/**
 * The output of one input to {@link Swim}.
 *
 * @param datagrams datagrams to send, in this order; the protocol tolerates the loss of any
 * @param changes changes of other members, in the order in which they happened
 * @param wakeUpAtNanos when to call {@link Swim#onTimer}, on the clock of the inputs
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
