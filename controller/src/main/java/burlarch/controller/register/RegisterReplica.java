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
 * Composition of this controller's acceptor, proposer, client and reconciler of the register; dispatches the register's
 * messages to them. Runs on the event loop; the package documentation lists the owner of each state.
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
     * Creates a replica that handles messages but starts no timers before {@link #start}.
     *
     * @param disk executes all disk access, one task at a time; may reject a task
     * @param ownAddress IP:PORT of this process
     * @param proposerName unique for this start of this process
     * @param proposer returns the proposer that the client uses, given the real one
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
     * Starts following and reconciling the acceptor set, and checking the disk. Must be called once.
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

    /** Whether this process's acceptor abstains from voting because its disk can't be written. */
    public boolean acceptorAbstains() {
        return diskMonitor.abstains();
    }

    /** The client that reads and changes the state. */
    public RegisterClient client() {
        return client;
    }

    /** The newest value that this process knows to be committed. */
    public CommittedState committed() {
        return committed;
    }

    /** The monitor of this controller's contact with a quorum. */
    public QuorumContactMonitor quorumContact() {
        return quorumContact;
    }

    /** The addresses of the acceptors, as far as this process knows them. */
    public List<String> acceptorAddresses() {
        return addresses(AcceptorSet.of(committed.members()).votingMembers());
    }

    /** Handles a message of the register's protocol from another controller. */
    public void onMessage(PeerConnection from, RegisterMessage message) {
        if (message instanceof RegisterMessage.PrepareRequest || message instanceof RegisterMessage.AcceptRequest) {
            acceptor.onRequest(message, response -> from.send(new NodeMessage.RegisterProtocol(response)));
        } else {
            proposals.onResponse(message);
        }
    }

    /** Handles a new connection to or from another controller. */
    public void onPeerConnected() {
        proposals.onPeerConnected();
    }

    /** Handles another controller's report of a chosen value. */
    public void onCommitted(PeerConnection from, NodeMessage.Committed message) {
        learner.onCommitted(from, message);
    }

    /** Handles another controller's request for the newest committed value. */
    public void onFetchCommitted(PeerConnection from) {
        learner.onFetch(from);
    }

    /** Handles the newest proposal number that another controller knows to be chosen, from its status. */
    public void onPeerStatus(PeerConnection from, ProposalNumber peerNumber) {
        learner.onPeerStatus(from, peerNumber);
    }

    private static List<String> addresses(List<AcceptorMember> members) {
        return members.stream().map(AcceptorMember::address).toList();
    }
}
