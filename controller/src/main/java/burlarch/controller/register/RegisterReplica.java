package burlarch.controller.register;

import burlarch.controller.peers.ControllerPeers;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.RegisterMessage;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.PeerConnection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/**
 * This controller's acceptor, proposer, client and reconciler of the register, wired together, and the register's
 * messages to them. Runs on the event loop; the package's documentation says who owns which state.
 */
public final class RegisterReplica {
    private static final long DISK_CHECK_PERIOD_NANOS = 250_000_000;

    private final EventLoop loop;
    private final ControllerPeers peers;
    private final AcceptorMember own;
    private final CommittedState committed;
    private final AcceptorDiskMonitor diskMonitor = new AcceptorDiskMonitor();
    private final LocalAcceptor acceptor;
    private final ProposalExecutor proposals;
    private final CommitLearner learner;
    private final RegisterClient client;
    private final QuorumContactMonitor quorumContact;

    /**
     * A replica that does nothing by itself before {@link #start}.
     *
     * @param disk runs what touches the disk, one task after the other; may reject a task
     * @param ownAddress IP:PORT of this process
     * @param proposerName unique for this start of this process
     * @param proposer makes the proposer that the client uses out of the real one
     */
    public RegisterReplica(
            EventLoop loop,
            ControllerPeers peers,
            RegisterStorage storage,
            Executor disk,
            String ownAddress,
            String proposerName,
            RandomGenerator random,
            UnaryOperator<Proposer> proposer) {
        this.loop = loop;
        this.peers = peers;
        own = new AcceptorMember(storage.store().identity(), ownAddress);
        committed = new CommittedState(storage.initialView());
        acceptor = new LocalAcceptor(storage.store(), disk, loop, diskMonitor);
        proposals =
                new ProposalExecutor(loop, peers, acceptor, ownAddress, proposerName, random, committed::registerView);
        learner = new CommitLearner(loop, committed, acceptor);
        client = new RegisterClient(proposer.apply(proposals), committed, peers);
        quorumContact = new QuorumContactMonitor(loop, committed, own.storageId());
    }

    /**
     * Starts to follow changes of the acceptor set and to reconcile it. To be called once.
     *
     * @param toleratedLosses the number of acceptors that may be lost at the same time
     */
    public void start(int toleratedLosses) {
        committed.addListener((state, origin) -> peers.retainAcceptors(addresses(committed.members())));
        committed.addListener((state, origin) -> acceptor.storeAcceptorSet(committed.registerView()));
        new AcceptorSetReconciler(loop, committed, client, peers, own, diskMonitor, toleratedLosses);
        loop.schedule(DISK_CHECK_PERIOD_NANOS, this::checkDisk);
    }

    private void checkDisk() {
        loop.schedule(DISK_CHECK_PERIOD_NANOS, this::checkDisk);
        diskMonitor.check(loop.nanoTime());
        if (diskMonitor.needsProbe()) {
            acceptor.probeDisk();
        }
    }

    /** Whether this process's acceptor takes no part, because its disk can't be written. */
    public boolean acceptorAbstains() {
        return diskMonitor.abstains();
    }

    /** Reads and changes the state. */
    public RegisterClient client() {
        return client;
    }

    /** The newest state that this process knows to be committed. */
    public CommittedState committed() {
        return committed;
    }

    /** Whether this controller is in contact with a quorum. */
    public QuorumContactMonitor quorumContact() {
        return quorumContact;
    }

    /** The addresses of the acceptors, as far as this process knows them. */
    public List<String> acceptorAddresses() {
        return addresses(AcceptorSet.of(committed.members()).votingMembers());
    }

    /** A message of the register's protocol from another controller. */
    public void onMessage(PeerConnection from, RegisterMessage message) {
        if (message instanceof RegisterMessage.PrepareRequest || message instanceof RegisterMessage.AcceptRequest) {
            acceptor.onRequest(message, response -> from.send(new NodeMessage.RegisterProtocol(response)));
        } else {
            proposals.onResponse(message);
        }
    }

    /** Another controller is connected. */
    public void onPeerConnected() {
        proposals.onPeerConnected();
    }

    /** Another controller reports a chosen value. */
    public void onCommitted(PeerConnection from, NodeMessage.Committed message) {
        learner.onCommitted(from, message);
    }

    /** Another controller asks for the newest committed value. */
    public void onFetchCommitted(PeerConnection from) {
        learner.onFetch(from);
    }

    /** Another controller's status names the newest proposal number that it knows to be chosen. */
    public void onPeerStatus(PeerConnection from, ProposalNumber peerNumber) {
        learner.onPeerStatus(from, peerNumber);
    }

    private static List<String> addresses(List<AcceptorMember> members) {
        return members.stream().map(AcceptorMember::address).toList();
    }
}
