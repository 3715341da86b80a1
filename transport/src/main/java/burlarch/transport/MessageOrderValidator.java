package burlarch.transport;

import burlarch.coordination.register.Ballot;

/**
 * What one side of a connection has said so far, as far as it can only rise: versions, revisions and ballots
 * of one process. A message that goes back was said earlier or on another connection: late, or repeated.
 * Messages of the register are not judged: they name their ballot and call, and repeating them is harmless.
 */
public final class MessageOrderValidator {
    private long configuration = Long.MIN_VALUE;
    private long configurationAck = Long.MIN_VALUE;
    private long instances = Long.MIN_VALUE;
    private long instancesAck = Long.MIN_VALUE;
    private Ballot decided = Ballot.ZERO;

    /**
     * Takes the next message after Hello.
     *
     * @throws FrameException where it can't come after those before it
     */
    public void accept(NodeMessage message) throws FrameException {
        if (message instanceof NodeMessage.Hello) {
            throw new FrameException("a second Hello");
        } else if (message instanceof NodeMessage.ConfigurationUpdate update) {
            configuration = requireNotBelow("configuration", configuration, update.version());
        } else if (message instanceof NodeMessage.ConfigurationChange change) {
            configuration = requireNotBelow("configuration", configuration, change.version());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            configurationAck = requireNotBelow("configuration held", configurationAck, ack.version());
        } else if (message instanceof NodeMessage.InstancesUpdate update) {
            instances = requireNotBelow("revision", instances, update.revision());
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            instancesAck = requireNotBelow("revision held", instancesAck, ack.revision());
        } else if (message instanceof NodeMessage.Committed told) {
            takeBallot(told.ballot());
        } else if (message instanceof NodeMessage.ControllerStatus status) {
            takeBallot(status.decided());
        }
    }

    private static long requireNotBelow(String what, long before, long next) throws FrameException {
        if (next < before) {
            throw new FrameException("late or repeated: " + what + " " + next + " after " + before);
        }
        return next;
    }

    private void takeBallot(Ballot next) throws FrameException {
        if (next.compareTo(decided) < 0) {
            throw new FrameException("late or repeated: ballot " + next + " after " + decided);
        }
        decided = next;
    }
}
