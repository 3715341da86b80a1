package burlarch.controller.register;

import burlarch.controller.peers.ControllerPeers;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.RegisterView;
import burlarch.coordination.register.proposal.Proposal;
import burlarch.coordination.register.proposal.ProposalOutput;
import burlarch.coordination.register.proposal.ProposalResult;
import burlarch.coordination.register.proposal.RegisterChange;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Proposer that runs this process's proposals one at a time, so that they don't compete for the acceptors' promises.
 * Runs on the event loop and owns the running proposal and the queue.
 *
 * <p>Invariant <em>one running proposal</em>: at most one proposal of this process runs at a time. Responses and timers
 * of an earlier proposal are ignored.
 */
final class ProposalExecutor implements Proposer {
    /** Limit of queued proposals; a further one completes at once as not started. */
    private static final int MAX_QUEUED = 64;

    private record QueuedProposal(
            RegisterChange change, long deadlineNanos, CompletableFuture<ProposalResult> result) {}

    private record RunningProposal(Proposal proposal, CompletableFuture<ProposalResult> result) {}

    private final EventLoop loop;
    private final ControllerPeers peers;
    private final LocalAcceptor acceptor;
    private final String ownAddress;
    private final String proposerName;
    private final RandomGenerator random;
    private final Supplier<RegisterView> registerView;
    private final Deque<QueuedProposal> queue = new ArrayDeque<>();
    /** Null while no proposal runs. */
    private RunningProposal running;

    private long proposalCount;
    /** The highest term that this process has used or seen; the next proposal starts above it. */
    private long highestTerm;

    /**
     * @param proposerName unique for this start of this process
     * @param registerView supplies the information about the register that a proposal starts with
     */
    ProposalExecutor(
            EventLoop loop,
            ControllerPeers peers,
            LocalAcceptor acceptor,
            String ownAddress,
            String proposerName,
            RandomGenerator random,
            Supplier<RegisterView> registerView) {
        this.loop = loop;
        this.peers = peers;
        this.acceptor = acceptor;
        this.ownAddress = ownAddress;
        this.proposerName = proposerName;
        this.random = random;
        this.registerView = registerView;
    }

    @Override
    public CompletableFuture<ProposalResult> propose(RegisterChange change, long timeoutNanos) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        if (queue.size() >= MAX_QUEUED) {
            result.complete(new ProposalResult.NotStarted());
            return result;
        }
        queue.add(new QueuedProposal(change, loop.nanoTime() + timeoutNanos, result));
        startNext();
        return result;
    }

    /** Handles a response from another controller's acceptor. */
    void onResponse(RegisterMessage response) {
        if (running != null) {
            onResponse(running.proposal, response);
        }
    }

    /** Lets the running proposal resend requests to a newly connected controller, because earlier ones may be lost. */
    void onPeerConnected() {
        if (running != null) {
            Proposal proposal = running.proposal;
            perform(proposal, proposal.onAcceptorReachable(loop.nanoTime()));
        }
    }

    private void startNext() {
        long now = loop.nanoTime();
        while (running == null && !queue.isEmpty()) {
            QueuedProposal next = queue.poll();
            if (now - next.deadlineNanos() >= 0) {
                next.result().complete(new ProposalResult.NotStarted());
                continue;
            }
            start(next, now);
        }
    }

    private void start(QueuedProposal next, long nowNanos) {
        Proposal proposal = new Proposal(
                proposerName + "/" + ++proposalCount,
                highestTerm,
                registerView.get(),
                next.change(),
                next.deadlineNanos(),
                random);
        running = new RunningProposal(proposal, next.result());
        perform(proposal, proposal.start(nowNanos));
    }

    private boolean isRunning(Proposal proposal) {
        return running != null && running.proposal == proposal;
    }

    private void onResponse(Proposal proposal, RegisterMessage response) {
        if (isRunning(proposal)) {
            perform(proposal, proposal.onResponse(response, loop.nanoTime()));
        }
    }

    private void onTimer(Proposal proposal) {
        if (isRunning(proposal)) {
            perform(proposal, proposal.onTimer(loop.nanoTime()));
        }
    }

    private void perform(Proposal proposal, List<ProposalOutput> outputs) {
        for (ProposalOutput output : outputs) {
            if (output instanceof ProposalOutput.Send send) {
                send(proposal, send);
            } else if (output instanceof ProposalOutput.SetTimer timer) {
                loop.schedule(Math.max(0, timer.atNanos() - loop.nanoTime()), () -> onTimer(proposal));
            } else if (output instanceof ProposalOutput.Finished finished) {
                finish(proposal, finished.result());
            }
        }
    }

    private void send(Proposal proposal, ProposalOutput.Send send) {
        if (send.member().address().equals(ownAddress)) {
            acceptor.onRequest(send.message(), response -> loop.execute(() -> onResponse(proposal, response)));
        } else {
            peers.send(send.member().address(), new NodeMessage.RegisterProtocol(send.message()));
        }
    }

    private void finish(Proposal proposal, ProposalResult result) {
        highestTerm = Math.max(highestTerm, proposal.highestTerm());
        CompletableFuture<ProposalResult> finishedResult = running.result;
        running = null;
        // The next proposal starts after the listeners of this result have run.
        loop.execute(this::startNext);
        finishedResult.complete(result);
    }
}
