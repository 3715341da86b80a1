package burlarch.controller;

import burlarch.controller.api.ControlService;
import burlarch.controller.api.OperatorService;
import burlarch.controller.distribution.ConfigurationConfirmationService;
import burlarch.controller.distribution.PrefixCacheEventForwarder;
import burlarch.controller.distribution.QuorumReadGate;
import burlarch.controller.distribution.RouterPublisher;
import burlarch.controller.instances.InstanceReplicator;
import burlarch.controller.ownership.LeaseManager;
import burlarch.controller.peers.ControllerMembershipView;
import burlarch.controller.peers.ControllerPeers;
import burlarch.controller.register.DepartureRecorder;
import burlarch.controller.register.Proposer;
import burlarch.controller.register.RegisterReplica;
import burlarch.controller.register.RegisterStorage;
import burlarch.controller.rollout.RolloutCoordinator;
import burlarch.controller.state.SystemState;
import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.register.ProposalNumber;
import burlarch.coordination.register.acceptorset.AcceptorMember;
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
 * Composition root of one controller: creates and connects its components. Sockets, disk, clock and random numbers are
 * passed in, so that the simulation runs the same class. Every method except the constructor is called on the event
 * loop.
 *
 * <p>It has no state beyond the components; the documentation of each package lists the owners of its state.
 */
public class ControllerRuntime {
    /** Key in the register of the singleton role that rolls out weights. */
    private static final String WEIGHTS_ROLE = "weights";

    private final EventLoop loop;
    private final NodeMessageDispatcher dispatcher;
    private final ControllerMembershipView membershipView = new ControllerMembershipView();
    /** Null before {@link #start}. */
    private ControllerPeers peers;

    /** Null before {@link #start}. */
    private RegisterReplica register;

    /**
     * The external resources that a controller uses.
     *
     * @param connections connections to other nodes
     * @param disk executes all disk access, one task at a time; may reject a task
     * @param engines client for calls to engines
     * @param random source of the jitter of proposal retries
     */
    public record Environment(
            PeerConnections connections, Executor disk, EngineControlClient engines, RandomGenerator random) {}

    /** Creates a runtime whose components start with {@link #start}. */
    public ControllerRuntime(EventLoop loop) {
        this.loop = loop;
        dispatcher = new NodeMessageDispatcher(loop);
    }

    /** The listener of all connections of this process. */
    public PeerConnectionListener listener() {
        return dispatcher;
    }

    /**
     * Creates and starts all components. Must be called once, before the first connection is established. Listeners of
     * the committed state run in the order in which they are added here.
     *
     * @return the service behind the control API
     */
    public ControlService start(ControllerSettings settings, RegisterStorage storage, Environment environment) {
        peers = new ControllerPeers(loop, environment.connections(), settings.ownAddress());
        register = new RegisterReplica(
                loop,
                peers,
                storage,
                environment.disk(),
                settings.ownAddress(),
                settings.processName(),
                environment.random(),
                this::proposer);
        InstanceRegistry registry =
                new InstanceRegistry(RegistrySettings.forHeartbeat(settings.heartbeatNanos()), loop.nanoTime());
        RouterPublisher publisher =
                new RouterPublisher(loop, environment.connections().codec(), registry);
        InstanceReplicator instances = new InstanceReplicator(
                loop,
                registry,
                peers,
                publisher,
                register.quorumContact(),
                new DepartureRecorder(register.client(), register.quorumContact()));
        register.committed().addListener(publisher::onCommitted);
        register.committed()
                .addListener((state, origin) ->
                        instances.onDepartures(state.departures().numbers()));
        register.start(settings.toleratedLosses());
        startRollout(settings, registry, publisher, environment.engines());
        dispatcher.start(new MessageHandlers(
                peers,
                register,
                publisher,
                new QuorumReadGate(loop, register.client(), publisher),
                new ConfigurationConfirmationService(loop, register.client()),
                instances,
                new PrefixCacheEventForwarder(
                        loop, environment.connections().codec(), settings.ownAddress(), settings.zone())));
        peers.retainAcceptors(register.acceptorAddresses());
        peers.addAddresses(settings.seeds());
        return new OperatorService(
                loop, register.client(), publisher, instances, register.quorumContact(), settings.toleratedLosses());
    }

    private void startRollout(
            ControllerSettings settings,
            InstanceRegistry registry,
            RouterPublisher publisher,
            EngineControlClient engines) {
        WeightsRollout rollout = new WeightsRollout(RolloutSettings.of(settings.rolloutDeadlineMillis()));
        RolloutCoordinator coordinator = new RolloutCoordinator(loop, registry, publisher, engines, rollout);
        LeaseManager leaseManager = new LeaseManager(
                loop,
                register.client(),
                peers,
                membershipView,
                register.quorumContact(),
                new LeaseManager.Settings(
                        WEIGHTS_ROLE, settings.ownAddress(), settings.processName(), settings.leaseNanos()),
                coordinator);
        coordinator.start(leaseManager);
        register.committed().addListener((state, origin) -> coordinator.onCommitted(state));
    }

    /** Handles membership changes. */
    public void onMembers(List<MemberChange> changes) {
        membershipView.onChanges(changes);
        addControllerAddresses(MembershipService.addressesOfNewMembers(changes, NodeRoles.CONTROLLER));
    }

    /** Adds addresses at which other controllers may be reached. */
    public void addControllerAddresses(Collection<String> addresses) {
        peers.addAddresses(addresses);
    }

    /**
     * Returns the proposer that all components use. Returns {@code real} unless a subclass overrides it.
     *
     * @param real the proposer that executes the proposals
     */
    protected Proposer proposer(Proposer real) {
        return real;
    }

    /** The proposal number of {@link #committedState}. */
    public ProposalNumber committedProposalNumber() {
        return register.committed().proposalNumber();
    }

    /** The newest state that this process knows to be committed. */
    public SystemState committedState() {
        return register.committed().state();
    }

    /** The acceptors of the newest value that this process knows to be committed. */
    public List<AcceptorMember> acceptors() {
        return register.committed().members();
    }
}
