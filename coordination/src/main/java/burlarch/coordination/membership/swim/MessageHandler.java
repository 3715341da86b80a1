package burlarch.coordination.membership.swim;

import burlarch.coordination.membership.MemberUpdate;
import burlarch.coordination.membership.SwimMessage;

/**
 * The handler of messages from other members: applies their updates, then responds according to the kind of message.
 */
final class MessageHandler {
    /** Number of members that receive the own update directly when this member joins, leaves or refutes. */
    private static final int ANNOUNCEMENTS = 8;

    private final MembershipView view;
    private final OutgoingDatagrams outgoing;
    private final FailureDetector detector;
    private final AntiEntropy antiEntropy;
    private final MembershipLifecycle lifecycle;

    MessageHandler(
            MembershipView view,
            OutgoingDatagrams outgoing,
            FailureDetector detector,
            AntiEntropy antiEntropy,
            MembershipLifecycle lifecycle) {
        this.view = view;
        this.outgoing = outgoing;
        this.detector = detector;
        this.antiEntropy = antiEntropy;
        this.lifecycle = lifecycle;
    }

    /**
     * Handles a message.
     *
     * @param from the sender's address, IP:PORT
     */
    void onMessage(String from, SwimMessage message, long nowNanos) {
        lifecycle.on(MembershipLifecycle.Event.MESSAGE_RECEIVED);
        if (message instanceof SwimMessage.SyncRequest) {
            antiEntropy.onUpdates(message, nowNanos);
            antiEntropy.onRequest(from);
        } else if (message instanceof SwimMessage.SyncPage) {
            onSyncPage(message, nowNanos);
        } else {
            onProbeMessage(from, message, nowNanos);
        }
        if (view.takeRefuted()) {
            outgoing.ownUpdate(from);
            announce();
        }
    }

    /** Sends the own update directly to some members, in addition to gossip. */
    void announce() {
        for (MemberRecord member : detector.targets().randomAlive(ANNOUNCEMENTS)) {
            outgoing.ownUpdate(member.info().address());
        }
    }

    private void onSyncPage(SwimMessage page, long nowNanos) {
        antiEntropy.onUpdates(page, nowNanos);
        boolean listsOthers = page.updates().size() > 1;
        if (listsOthers && lifecycle.on(MembershipLifecycle.Event.TABLE_RECEIVED)) {
            announce();
        }
    }

    private void onProbeMessage(String from, SwimMessage message, long nowNanos) {
        for (MemberUpdate update : message.updates()) {
            view.onGossip(update, nowNanos);
        }
        MemberRecord sender = view.table().findByProcess(message.header().processId());
        if (message instanceof SwimMessage.Ping ping) {
            MemberUpdate updateToRefute = sender == null ? null : FailureDetector.updateToRefute(sender);
            outgoing.ack(from, ping.sequence(), view.ownUpdate().info().processId(), updateToRefute);
        } else if (message instanceof SwimMessage.Ack ack) {
            detector.onAck(ack, nowNanos);
        } else if (message instanceof SwimMessage.PingRequest request) {
            detector.onPingRequest(from, request, nowNanos);
        } else if (message instanceof SwimMessage.Nack nack) {
            detector.onNack(nack);
        }
        if (sender == null) {
            antiEntropy.requestSync(from, nowNanos);
        } else {
            antiEntropy.compareDigest(from, message.header(), nowNanos);
        }
    }
}
