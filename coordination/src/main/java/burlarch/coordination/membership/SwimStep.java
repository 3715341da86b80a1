package burlarch.coordination.membership;

import java.util.List;

/**
 * What one input led to.
 *
 * @param datagrams to send, in this order; a lost one does no harm
 * @param changes of other members, in the order in which they came about
 * @param wakeUpAtNanos when {@link Swim#onTimer} wants to be called, in the time of the inputs
 */
public record SwimStep(List<Datagram> datagrams, List<MemberChange> changes, long wakeUpAtNanos) {
    /** @param to IP:PORT */
    public record Datagram(String to, byte[] bytes) {}
}
