package burlarch.fleet.controller;

import static java.nio.charset.StandardCharsets.UTF_8;

import burlarch.configuration.ConfigurationDocument;
import burlarch.coordination.membership.SwimSettings;
import burlarch.coordination.register.Member;
import burlarch.coordination.registry.InstanceRegistry;
import burlarch.coordination.registry.RegistrySettings;
import burlarch.coordination.rollout.RolloutSettings;
import burlarch.coordination.rollout.WeightsRollout;
import burlarch.fleet.controller.api.ControlServer;
import burlarch.fleet.engine.EngineClient;
import burlarch.fleet.engine.EngineHttp;
import burlarch.fleet.node.Membership;
import burlarch.fleet.node.NodeAddresses;
import burlarch.fleet.node.NodeSettings;
import burlarch.fleet.node.Roles;
import burlarch.fleet.node.SettingsWatch;
import burlarch.fleet.node.Shutdown;
import burlarch.storage.AcceptorStore;
import burlarch.storage.FolderDisk;
import burlarch.transport.NodeLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.tinylog.Logger;

/**
 * A controller: the operator's API, announcements of instances, a replica of the register, streams to
 * routers.
 */
public final class ControllerProgram {
    private static final long CALL_MILLIS = 930;
    private static final int IDENTITY_BYTES = 12;
    private static final int ENGINE_THREADS = 4;
    /** Key of the duty to bring engines to the named weights. */
    private static final String WEIGHTS = "weights";
    /** Extra value of the store: acceptors of the first start, one a line. */
    private static final String FIRST_MEMBERS = "first-members";

    private ControllerProgram() {
    }

    /** Starts the controller; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        String address = NodeAddresses.own(settings);
        List<String> seeds = NodeAddresses.seeds(settings);
        AcceptorStore store = openStore(settings, address);
        List<Member> firstMembers = firstMembers(store, settings, seeds);
        long process = Incarnations.draw();
        String incarnation = Incarnations.text(process);
        NodeLoop loop = new NodeLoop("node");
        ControllerMessages messages = new ControllerMessages(loop);
        NodeMessage.Hello hello = new NodeMessage.Hello(settings.nodeName(), Roles.CONTROLLER, address,
                settings.zone(), store.identity(), incarnation);
        NodeTransport transport = new NodeTransport(loop, hello, NodeAddresses.socket(address), messages);
        Membership membership = new Membership(loop,
                new Membership.Self(settings.nodeName(), Roles.CONTROLLER, settings.zone(), process),
                NodeAddresses.socket(address), seeds, SwimSettings.defaults());
        Member own = new Member(store.identity(), address);
        loop.execute(() -> {
            OperatorCalls calls = wire(settings, loop, transport, messages, membership, store, own,
                    firstMembers, seeds, Incarnations.processName(settings.nodeName(), incarnation));
            membership.start();
            serve(settings, calls, membership);
        });
        ConfigurationDocument.prepareChecks();
    }

    private static OperatorCalls wire(NodeSettings settings, NodeLoop loop, NodeTransport transport,
            ControllerMessages messages, Membership membership, AcceptorStore store, Member own,
            List<Member> firstMembers, List<String> seeds, String proposerName) {
        DecidedState decided = new DecidedState(firstMembers);
        ControllerPeers peers = new ControllerPeers(loop, transport, own.address());
        RegisterDriver driver = new RegisterDriver(loop, peers, new AcceptorHost(store), own.address(),
                proposerName, new SplittableRandom(), decided::members);
        StateRegister register = new StateRegister(driver, decided, peers);
        InstanceRegistry registry = new InstanceRegistry(
                RegistrySettings.forHeartbeat(settings.heartbeatNanos()), loop.nanoTime());
        RouterPublisher publisher = new RouterPublisher(loop, transport.codec(), registry);
        InstanceFeed instances = new InstanceFeed(loop, registry, peers, publisher);
        ConfirmedReads reads = new ConfirmedReads(loop, register, publisher);
        decided.addListener(publisher::onDecided);
        decided.addListener((state, ownProposal) -> peers.learn(
                decided.members().stream().map(Member::address).toList()));
        new AcceptorKeeper(loop, decided, register, peers, own);
        KnownControllers controllers = new KnownControllers();
        membership.addListener(changes -> {
            controllers.onChanges(changes);
            peers.learn(Membership.appeared(changes, Roles.CONTROLLER));
        });
        startWeightsDuty(settings, loop, decided, register, registry, publisher,
                new OwnerWatch(peers, controllers, own.address()), own, proposerName);
        messages.start(new ControllerParts(peers, decided, driver, publisher, reads, instances));
        peers.learn(seeds);
        SettingsWatch.start(newer -> loop.execute(() -> peers.learn(NodeAddresses.seeds(newer))));
        peers.learn(firstMembers.stream().map(Member::address).toList());
        return new OperatorCalls(loop, register, publisher, instances, settings.faultTolerance().machines());
    }

    private static void startWeightsDuty(NodeSettings settings, NodeLoop loop, DecidedState decided,
            StateRegister register, InstanceRegistry registry, RouterPublisher publisher, OwnerWatch owners,
            Member own, String processName) {
        WeightsRollout rollout = new WeightsRollout(
                RolloutSettings.of(TimeUnit.NANOSECONDS.toMillis(settings.bounds().versionNanos())));
        WeightsDuty duty = new WeightsDuty(loop, registry, publisher, new EngineClient(engineHttp()),
                rollout);
        OwnershipKeeper ownership = new OwnershipKeeper(loop, register, owners, WEIGHTS, own.address(),
                OwnerWatch.holderName(processName, own.address()), settings.bounds().leaseNanos(),
                duty::hasWork, duty);
        duty.start(ownership);
        decided.addListener((state, ownProposal) -> duty.onDecided(state));
    }

    private static HttpClient engineHttp() {
        QueuedThreadPool threads = new QueuedThreadPool(ENGINE_THREADS, 1);
        threads.setName("engines");
        threads.setReservedThreads(0);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("engines-timer", true);
        try {
            threads.start();
            scheduler.start();
            return EngineHttp.start(threads, scheduler, new ArrayByteBufferPool());
        } catch (Exception e) {
            throw new IllegalStateException("no client for engines", e);
        }
    }

    private static void serve(NodeSettings settings, OperatorCalls calls, Membership membership) {
        ControlServer server = new ControlServer(settings.listen().control(), calls, CALL_MILLIS);
        try {
            server.start();
        } catch (Exception e) {
            Logger.error(e, "cannot serve {}", settings.listen().control());
            Runtime.getRuntime().halt(1);
        }
        Shutdown.onSignal(() -> {
            server.stopAccepting();
            membership.leaveInTime();
        });
        Logger.info("{} serves {}", settings.nodeName(), settings.listen().control());
    }

    /**
     * At the first start the identity follows from the address, so that all know the first acceptors unasked.
     */
    private static AcceptorStore openStore(NodeSettings settings, String address) throws IOException {
        return AcceptorStore.open(new FolderDisk(settings.dataDir()),
                () -> settings.bootstrap() ? firstIdentity(address) : randomHex());
    }

    private static String firstIdentity(String address) {
        return "first-" + address;
    }

    private static List<Member> firstMembers(AcceptorStore store, NodeSettings settings, List<String> seeds)
            throws IOException {
        byte[] kept = store.extra(FIRST_MEMBERS);
        if (kept == null && settings.bootstrap()) {
            kept = String.join("\n", seeds).getBytes(UTF_8);
            store.saveExtra(FIRST_MEMBERS, kept);
        }
        if (kept == null) {
            return List.of();
        }
        return new String(kept, UTF_8).lines()
                .map(seed -> new Member(firstIdentity(seed), seed)).toList();
    }

    private static String randomHex() {
        byte[] bytes = new byte[IDENTITY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
