package burlarch.controller;

import burlarch.controller.api.ControlService;
import burlarch.controller.api.OperatorService;
import burlarch.controller.distribution.PrefixCacheEventForwarder;
import burlarch.controller.distribution.QuorumReadGate;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.ownership.LeaseHolderMonitor;
import burlarch.controller.ownership.LeaseManager;
import burlarch.controller.peers.ControllerMembershipView;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.AcceptorSetReconciler;
import burlarch.controller.register.CommittedState;
import burlarch.controller.register.LocalAcceptor;
import burlarch.controller.register.ProposalExecutor;
import burlarch.controller.register.Proposer;
import burlarch.controller.register.QuorumContactMonitor;
import burlarch.controller.register.RegisterClient;
import burlarch.controller.register.RegisterStorage;
import burlarch.controller.rollout.RolloutCoordinator;
import burlarch.controller.state.SystemState;
import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.acceptorset.AcceptorMember;
import burlarch.coordination.register.acceptorset.AcceptorSet;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.RegistrySettings;
import burlarch.coordination.rollout.RolloutSettings;
import burlarch.coordination.rollout.WeightsRollout;
import burlarch.engine.EngineControlClient;
import burlarch.node.MembershipService;
import burlarch.node.NodeRoles;
import burlarch.transport.EventLoop;
import burlarch.transport.PeerConnectionListener;
import burlarch.transport.PeerConnections;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

/**
 * All of a controller but its sockets, threads, disk and clock, which come from outside. Lives on the loop.
 */
public class ControllerRuntime {
    /** Key of the duty to bring engines to the named weights. */
    private static final String WEIGHTS_ROLE = "weights";

    private final EventLoop loop;
    private final NodeMessageDispatcher messages;
    private final ControllerMembershipView membershipView = new ControllerMembershipView();
    private CommittedState committed;
    private ControllerPeers peers;

    /**
     * What a controller acts on.
     *
     * @param disk runs what touches the disk, one task after the other; may reject a task
     */
    public record Environment(
            PeerConnections links, Executor disk, EngineControlClient engines, RandomGenerator random) {}

    public ControllerRuntime(EventLoop loop) {
        this.loop = loop;
        messages = new NodeMessageDispatcher(loop);
    }

    /** To be told of all connections. */
    public PeerConnectionListener listener() {
        return messages;
    }

    /** Wires and starts all parts; to be called once, on the loop, before any connection is up. */
    public ControlService start(ControllerSettings settings, RegisterStorage storage, Environment world) {
        AcceptorMember own = new AcceptorMember(storage.store().identity(), settings.ownAddress());
        committed = new CommittedState(storage.initialView());
        peers = new ControllerPeers(loop, world.links(), own.address());
        LocalAcceptor acceptor = new LocalAcceptor(storage.store(), world.disk());
        ProposalExecutor driver = new ProposalExecutor(
                loop, peers, acceptor, own.address(), settings.processName(), world.random(), committed::registerView);
        RegisterClient register = new RegisterClient(proposer(driver), committed, peers);
        InstanceRegistry registry =
                new InstanceRegistry(RegistrySettings.forHeartbeat(settings.heartbeatNanos()), loop.nanoTime());
        RouterPublisher publisher = new RouterPublisher(loop, world.links().codec(), registry);
        QuorumContactMonitor quorum = new QuorumContactMonitor(loop, committed, own.storageId());
        InstanceReplicator instances = new InstanceReplicator(loop, registry, peers, publisher, quorum);
        QuorumReadGate reads = new QuorumReadGate(loop, register, publisher);
        committed.addListener(publisher::onCommitted);
        committed.addListener((state, ownProposal) -> peers.retainAcceptors(addresses(committed.members())));
        committed.addListener((state, ownProposal) -> acceptor.storeAcceptorSet(committed.registerView()));
        new AcceptorSetReconciler(loop, committed, register, peers, own, settings.toleratedLosses());
        startRollout(settings, register, quorum, registry, publisher, world.engines());
        messages.start(new MessageHandlers(
                peers,
                committed,
                driver,
                publisher,
                reads,
                instances,
                new PrefixCacheEventForwarder(loop, world.links().codec(), settings.ownAddress(), settings.zone()),
                quorum));
        peers.retainAcceptors(addresses(AcceptorSet.of(committed.members()).votingMembers()));
        peers.addAddresses(settings.seeds());
        return new OperatorService(loop, register, publisher, instances, quorum, settings.toleratedLosses());
    }

    private static List<String> addresses(List<AcceptorMember> members) {
        return members.stream().map(AcceptorMember::address).toList();
    }

    private void startRollout(
            ControllerSettings settings,
            RegisterClient register,
            QuorumContactMonitor quorum,
            InstanceRegistry registry,
            RouterPublisher publisher,
            EngineControlClient engines) {
        WeightsRollout rollout = new WeightsRollout(RolloutSettings.of(settings.rolloutDeadlineMillis()));
        RolloutCoordinator duty = new RolloutCoordinator(loop, registry, publisher, engines, rollout);
        LeaseHolderMonitor owners = new LeaseHolderMonitor(peers, membershipView, settings.ownAddress());
        LeaseManager ownership = new LeaseManager(
                loop,
                register,
                owners,
                quorum,
                WEIGHTS_ROLE,
                settings.ownAddress(),
                LeaseHolderMonitor.holderName(settings.processName(), settings.ownAddress()),
                settings.leaseNanos(),
                duty::hasWork,
                duty);
        duty.start(ownership);
        committed.addListener((state, ownProposal) -> duty.onCommitted(state));
    }

    /** What membership tells, from now on. */
    public void onMembers(List<MemberChange> changes) {
        membershipView.onChanges(changes);
        addControllerAddresses(MembershipService.appearedAddresses(changes, NodeRoles.CONTROLLER));
    }

    /** Other controllers may be at these addresses. */
    public void addControllerAddresses(Collection<String> addresses) {
        peers.addAddresses(addresses);
    }

    /** The register that all parts use. */
    protected Proposer proposer(Proposer driver) {
        return driver;
    }

    /** Ballot of {@link #committedState()}. */
    public ProposalNumber committedProposalNumber() {
        return committed.proposalNumber();
    }

    /** The newest state that is known here to be chosen. */
    public SystemState committedState() {
        return committed.state();
    }

    /** The acceptors, as far as is known here. */
    public List<AcceptorMember> acceptors() {
        return committed.members();
    }
}
