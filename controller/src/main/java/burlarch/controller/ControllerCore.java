package burlarch.controller;

import burlarch.controller.api.ControlService;
import burlarch.controller.state.SystemState;
import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.register.AcceptorSet;
import burlarch.coordination.register.Ballot;
import burlarch.coordination.register.Member;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.RegistrySettings;
import burlarch.coordination.rollout.RolloutSettings;
import burlarch.coordination.rollout.WeightsRollout;
import burlarch.engine.EngineControlClient;
import burlarch.node.Membership;
import burlarch.node.Roles;
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
public class ControllerCore {
    /** Key of the duty to bring engines to the named weights. */
    private static final String WEIGHTS = "weights";

    private final EventLoop loop;
    private final ControllerMessages messages;
    private final KnownControllers controllers = new KnownControllers();
    private DecidedState decided;
    private ControllerPeers peers;

    /**
     * What a controller acts on.
     *
     * @param disk runs what touches the disk, one task after the other; may reject a task
     */
    public record World(PeerConnections links, Executor disk, EngineControlClient engines, RandomGenerator random) {}

    public ControllerCore(EventLoop loop) {
        this.loop = loop;
        messages = new ControllerMessages(loop);
    }

    /** To be told of all connections. */
    public PeerConnectionListener listener() {
        return messages;
    }

    /** Wires and starts all parts; to be called once, on the loop, before any connection is up. */
    public ControlService start(ControllerSettings settings, ControllerStorage storage, World world) {
        Member own = new Member(storage.store().identity(), settings.ownAddress());
        decided = new DecidedState(storage.belief());
        peers = new ControllerPeers(loop, world.links(), own.address());
        AcceptorHost acceptor = new AcceptorHost(storage.store(), world.disk());
        RegisterDriver driver = new RegisterDriver(
                loop, peers, acceptor, own.address(), settings.processName(), world.random(), decided::belief);
        StateRegister register = new StateRegister(register(driver), decided, peers);
        InstanceRegistry registry =
                new InstanceRegistry(RegistrySettings.forHeartbeat(settings.heartbeatNanos()), loop.nanoTime());
        RouterPublisher publisher = new RouterPublisher(loop, world.links().codec(), registry);
        QuorumWatch quorum = new QuorumWatch(loop, decided, own.storage());
        InstanceFeed instances = new InstanceFeed(loop, registry, peers, publisher, quorum);
        ConfirmedReads reads = new ConfirmedReads(loop, register, publisher);
        decided.addListener(publisher::onDecided);
        decided.addListener((state, ownProposal) -> peers.keep(addresses(decided.members())));
        decided.addListener((state, ownProposal) -> acceptor.keepAcceptors(decided.belief()));
        new AcceptorKeeper(loop, decided, register, peers, own, settings.lossesBorne());
        startWeightsDuty(settings, register, quorum, registry, publisher, world.engines());
        messages.start(new ControllerParts(
                peers,
                decided,
                driver,
                publisher,
                reads,
                instances,
                new KeptForwarder(loop, world.links().codec(), settings.ownAddress(), settings.zone()),
                quorum));
        peers.keep(addresses(AcceptorSet.of(decided.members()).all()));
        peers.learn(settings.seeds());
        return new OperatorCalls(loop, register, publisher, instances, quorum, settings.lossesBorne());
    }

    private static List<String> addresses(List<Member> members) {
        return members.stream().map(Member::address).toList();
    }

    private void startWeightsDuty(
            ControllerSettings settings,
            StateRegister register,
            QuorumWatch quorum,
            InstanceRegistry registry,
            RouterPublisher publisher,
            EngineControlClient engines) {
        WeightsRollout rollout = new WeightsRollout(RolloutSettings.of(settings.versionMillis()));
        WeightsDuty duty = new WeightsDuty(loop, registry, publisher, engines, rollout);
        OwnerWatch owners = new OwnerWatch(peers, controllers, settings.ownAddress());
        OwnershipKeeper ownership = new OwnershipKeeper(
                loop,
                register,
                owners,
                quorum,
                WEIGHTS,
                settings.ownAddress(),
                OwnerWatch.holderName(settings.processName(), settings.ownAddress()),
                settings.leaseNanos(),
                duty::hasWork,
                duty);
        duty.start(ownership);
        decided.addListener((state, ownProposal) -> duty.onDecided(state));
    }

    /** What membership tells, from now on. */
    public void onMembers(List<MemberChange> changes) {
        controllers.onChanges(changes);
        learn(Membership.appeared(changes, Roles.CONTROLLER));
    }

    /** Other controllers may be at these addresses. */
    public void learn(Collection<String> addresses) {
        peers.learn(addresses);
    }

    /** The register that all parts use. */
    protected Register register(Register driver) {
        return driver;
    }

    /** Ballot of {@link #known()}. */
    public Ballot decidedBallot() {
        return decided.ballot();
    }

    /** The newest state that is known here to be chosen. */
    public SystemState known() {
        return decided.state();
    }

    /** The acceptors, as far as is known here. */
    public List<Member> acceptors() {
        return decided.members();
    }
}
