package burlarch.controller;

import burlarch.configuration.ConfigurationDocument;
import burlarch.controller.api.ControlServer;
import burlarch.controller.api.ControlService;
import burlarch.controller.peers.ProcessIncarnations;
import burlarch.controller.register.RegisterStorage;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.engine.EngineClient;
import burlarch.engine.EngineHttpClientFactory;
import burlarch.node.MembershipService;
import burlarch.node.NodeAddresses;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.node.RandomIds;
import burlarch.node.RouterOnSameMachine;
import burlarch.node.SettingsFileWatcher;
import burlarch.node.ShutdownHook;
import burlarch.storage.FileSystemDisk;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import burlarch.transport.SelectorEventLoop;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ArrayByteBufferPool;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.tinylog.Logger;

/**
 * Entry point of the controller program. It starts the event loop, the disk thread, the node transport, membership and
 * the control API, and passes them to a {@link ControllerRuntime}.
 */
public final class ControllerProgram {
    /** Callers of the control API time out after one second, so this must be less. */
    private static final long CALL_TIMEOUT_MILLIS = 930;

    private static final int IDENTITY_BYTES = 12;
    private static final int ENGINE_THREADS = 4;
    /** Limit of queued disk tasks; further ones are rejected, because proposers retry. */
    private static final int MAX_DISK_QUEUE = 64;

    private ControllerProgram() {}

    /**
     * Starts the controller and returns; it keeps running on its own threads.
     *
     * @throws Exception if the disk can't be opened or a port can't be bound
     */
    public static void run(NodeSettings settings) throws Exception {
        String name = NodeAddresses.memberName(settings, NodeRoles.CONTROLLER);
        String address = NodeAddresses.own(settings, NodeRoles.CONTROLLER);
        List<String> seeds = NodeAddresses.seeds(settings);
        RegisterStorage storage = RegisterStorage.open(
                new FileSystemDisk(settings.dataDir()),
                address,
                seeds,
                settings.bootstrap(),
                ControllerProgram::randomHex);
        long processId = ProcessIncarnations.generate();
        String incarnation = ProcessIncarnations.toText(processId);
        SelectorEventLoop loop = new SelectorEventLoop("node");
        ControllerRuntime runtime = new ControllerRuntime(loop);
        NodeMessage.Hello hello = new NodeMessage.Hello(
                name,
                NodeRoles.CONTROLLER,
                address,
                settings.zone(),
                storage.store().identity(),
                incarnation);
        NodeTransport transport = new NodeTransport(loop, hello, NodeAddresses.socket(address), runtime.listener());
        MembershipService membership = new MembershipService(
                loop,
                new MembershipService.Self(name, NodeRoles.CONTROLLER, settings.zone(), processId),
                NodeAddresses.socket(address),
                seeds,
                SwimSettings.defaults());
        ControllerSettings controllerSettings = controllerSettings(settings, address, seeds, incarnation);
        loop.execute(() -> {
            ControlService service = runtime.start(
                    controllerSettings,
                    storage,
                    new ControllerRuntime.Environment(
                            transport,
                            diskExecutor(),
                            new EngineClient(startEngineHttpClient()),
                            new SplittableRandom()));
            membership.addListener(runtime::onMembers);
            SettingsFileWatcher.start(
                    changed -> loop.execute(() -> runtime.addControllerAddresses(NodeAddresses.seeds(changed))));
            membership.start();
            startControlServer(settings, service, membership);
        });
        ConfigurationDocument.warmUpValidation();
    }

    private static ControllerSettings controllerSettings(
            NodeSettings settings, String address, List<String> seeds, String incarnation) {
        return new ControllerSettings(
                address,
                settings.zone(),
                seeds,
                ProcessIncarnations.processName(NodeAddresses.memberName(settings, NodeRoles.CONTROLLER), incarnation),
                settings.heartbeatNanos(),
                TimeUnit.NANOSECONDS.toMillis(settings.bounds().versionNanos()),
                settings.bounds().leaseNanos(),
                settings.faultTolerance().machines());
    }

    /** Creates the executor of the disk thread, the only thread that uses the disk after the start. */
    private static Executor diskExecutor() {
        return new ThreadPoolExecutor(
                1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MAX_DISK_QUEUE), ControllerProgram::newDiskThread);
    }

    private static Thread newDiskThread(Runnable task) {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    }

    private static HttpClient startEngineHttpClient() {
        QueuedThreadPool threads = new QueuedThreadPool(ENGINE_THREADS, 1);
        threads.setName("engines");
        threads.setReservedThreads(0);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("engines-timer", true);
        try {
            threads.start();
            scheduler.start();
            return EngineHttpClientFactory.start(threads, scheduler, new ArrayByteBufferPool());
        } catch (Exception e) {
            throw new IllegalStateException("cannot start the HTTP client for engines", e);
        }
    }

    private static void startControlServer(
            NodeSettings settings, ControlService service, MembershipService membership) {
        ControlServer server = new ControlServer(
                settings.listen().control(),
                service,
                CALL_TIMEOUT_MILLIS,
                settings.limits().maxDescriptors());
        try {
            server.start();
        } catch (Exception e) {
            Logger.error(
                    e,
                    "control API cannot listen: address={}",
                    settings.listen().control());
            Runtime.getRuntime().halt(1);
        }
        RouterOnSameMachine router = new RouterOnSameMachine(settings);
        ShutdownHook.onSignal(() -> {
            router.awaitEnd();
            server.stopAccepting();
            server.endCalls();
            membership.leaveWithinTimeout();
            server.closeConnections();
        });
        Logger.info(
                "controller listening: node={} control={}",
                settings.nodeName(),
                settings.listen().control());
    }

    private static String randomHex() {
        return HexFormat.of().formatHex(RandomIds.bytes(IDENTITY_BYTES));
    }
}
