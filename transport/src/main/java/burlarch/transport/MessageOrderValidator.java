package burlarch.transport;

import burlarch.coordination.register.ProposalNumber;

/**
 * Rejects messages that are out of order with respect to earlier messages on the same connection.
 *
 * <p><b>Numbers never decrease.</b> The configuration versions, the instance revisions and the proposal numbers of
 * committed values that one process sends never decrease. A message with a lower number was sent earlier, or on
 * another connection: it is late or repeated, and applying it could restore an old state.
 *
 * <p>Register messages are not checked: each contains its proposal number and its call identifier, and a repeated one
 * is harmless.
 *
 * <p>One instance per direction of a connection, used on the event loop of that connection.
 */
public final class MessageOrderValidator {
    private long configurationVersion = Long.MIN_VALUE;
    private long acknowledgedConfigurationVersion = Long.MIN_VALUE;
    private long instancesRevision = Long.MIN_VALUE;
    private long acknowledgedInstancesRevision = Long.MIN_VALUE;
    private ProposalNumber committedNumber = ProposalNumber.ZERO;

    /**
     * Checks the next message after the Hello and records its number.
     *
     * @throws FrameException if it is a Hello, or its number is lower than an earlier one
     */
    public void accept(NodeMessage message) throws FrameException {
        if (message instanceof NodeMessage.Hello) {
            throw new FrameException("a second Hello");
        } else if (message instanceof NodeMessage.ConfigurationUpdate update) {
            acceptConfiguration(update.version());
        } else if (message instanceof NodeMessage.ConfigurationChange change) {
            acceptConfiguration(change.version());
        } else if (message instanceof NodeMessage.ConfigurationAck ack) {
            acknowledgedConfigurationVersion =
                    requireNotBelow("acknowledged configuration", acknowledgedConfigurationVersion, ack.version());
        } else if (message instanceof NodeMessage.InstancesUpdate update) {
            instancesRevision = requireNotBelow("revision", instancesRevision, update.revision());
        } else if (message instanceof NodeMessage.InstancesAck ack) {
            acknowledgedInstancesRevision =
                    requireNotBelow("acknowledged revision", acknowledgedInstancesRevision, ack.revision());
        } else if (message instanceof NodeMessage.Committed committed) {
            acceptProposalNumber(committed.proposalNumber());
        } else if (message instanceof NodeMessage.ControllerStatus status) {
            acceptProposalNumber(status.committed());
        }
    }

    private void acceptConfiguration(long version) throws FrameException {
        configurationVersion = requireNotBelow("configuration", configurationVersion, version);
    }

    private void acceptProposalNumber(ProposalNumber next) throws FrameException {
        if (next.compareTo(committedNumber) < 0) {
            throw new FrameException("late or repeated: proposal number " + next + " after " + committedNumber);
        }
        committedNumber = next;
    }

    private static long requireNotBelow(String name, long before, long next) throws FrameException {
        if (next < before) {
            throw new FrameException("late or repeated: " + name + " " + next + " after " + before);
        }
        return next;
    }
}
