package burlarch.controller.register;

import burlarch.controller.peers.ControllerPeers;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterValue;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.proposal.Proposal;
import burlarch.coordination.register.proposal.ProposalOutput;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Runs proposals one after the other, so that those of one process don't get into each other's way, and lets
 * the own acceptor answer those of others. Lives on the loop.
 */
public final class ProposalExecutor implements Proposer {
    /** Proposals that wait for their turn; a further one ends at once as not started. */
    private static final int MAX_QUEUED = 64;

    private record QueuedProposal(
            RegisterChange change, long deadlineNanos, CompletableFuture<ProposalResult> result) {}

    private final EventLoop loop;
    private final ControllerPeers peers;
    private final LocalAcceptor acceptor;
    private final String ownAddress;
    private final String proposerName;
    private final RandomGenerator random;
    private final Supplier<RegisterView> registerView;
    private final Deque<QueuedProposal> queue = new ArrayDeque<>();
    private Proposal proposal;
    private QueuedProposal running;
    private long proposalCount;
    private long highestTerm;

    /**
     * @param proposerName unique for this start of this process
     * @param belief what is known of the register here
     */
    public ProposalExecutor(
            EventLoop loop,
            ControllerPeers peers,
            LocalAcceptor acceptor,
            String ownAddress,
            String proposerName,
            RandomGenerator random,
            Supplier<RegisterView> belief) {
        this.loop = loop;
        this.peers = peers;
        this.acceptor = acceptor;
        this.ownAddress = ownAddress;
        this.proposerName = proposerName;
        this.random = random;
        this.registerView = belief;
    }

    @Override
    public CompletableFuture<ProposalResult> propose(RegisterChange change, long limitNanos) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        if (queue.size() >= MAX_QUEUED) {
            result.complete(new ProposalResult.NotStarted());
            return result;
        }
        queue.add(new QueuedProposal(change, loop.nanoTime() + limitNanos, result));
        startNext();
        return result;
    }

    /** The value that the own acceptor holds of that ballot; null where it holds another. */
    public RegisterValue acceptedAt(ProposalNumber ballot) {
        return acceptor.acceptedAt(ballot);
    }

    /** A message of the register from another controller. */
    public void onMessage(PeerConnection from, RegisterMessage message) {
        if (message instanceof RegisterMessage.PrepareRequest || message instanceof RegisterMessage.AcceptRequest) {
            acceptor.onRequest(message, reply -> from.send(new NodeMessage.RegisterProtocol(reply)));
        } else {
            onReply(proposal, message);
        }
    }

    /** Another controller is connected: what was sent to it before may be lost. */
    public void onPeerUp() {
        if (proposal != null) {
            perform(proposal, proposal.onAcceptorReachable(loop.nanoTime()));
        }
    }

    private void startNext() {
        long now = loop.nanoTime();
        while (proposal == null && !queue.isEmpty()) {
            QueuedProposal next = queue.poll();
            if (now - next.deadlineNanos() >= 0) {
                next.result().complete(new ProposalResult.NotStarted());
                continue;
            }
            running = next;
            proposal = new Proposal(
                    proposerName + "/" + ++proposalCount,
                    highestTerm,
                    registerView.get(),
                    next.change(),
                    next.deadlineNanos(),
                    random);
            perform(proposal, proposal.start(now));
        }
    }

    private void onReply(Proposal target, RegisterMessage message) {
        if (target != null && target == proposal) {
            perform(target, target.onResponse(message, loop.nanoTime()));
        }
    }

    private void onTimer(Proposal target) {
        if (target == proposal) {
            perform(target, target.onTimer(loop.nanoTime()));
        }
    }

    private void perform(Proposal target, List<ProposalOutput> outputs) {
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                send(target, send);
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                loop.schedule(Math.max(0, timer.atNanos() - loop.nanoTime()), () -> onTimer(target));
            } else if (output instanceof ProposalOutput.Finished done) {
                finish(target, done.result());
            }
        }
    }

    private void send(Proposal target, ProposalOutput.Send send) {
        if (send.member().address().equals(ownAddress)) {
            acceptor.onRequest(send.message(), reply -> loop.execute(() -> onReply(target, reply)));
        } else {
            peers.send(send.member().address(), new NodeMessage.RegisterProtocol(send.message()));
        }
    }

    private void finish(Proposal target, ProposalResult result) {
        highestTerm = Math.max(highestTerm, target.highestTerm());
        QueuedProposal ended = running;
        proposal = null;
        running = null;
        loop.execute(this::startNext);
        ended.result().complete(result);
    }
}
