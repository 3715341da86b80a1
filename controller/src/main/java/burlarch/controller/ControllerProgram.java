package burlarch.controller;

import burlarch.configuration.ConfigurationDocument;
import burlarch.controller.api.ControlServer;
import burlarch.controller.api.ControlService;
import burlarch.controller.peers.ProcessIncarnations;
import burlarch.controller.register.RegisterStorage;
import burlarch.coordination.membership.SwimSettings;
import burlarch.engine.EngineClient;
import burlarch.engine.EngineHttpClientFactory;
import burlarch.node.MembershipService;
import burlarch.node.NodeAddresses;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.node.SettingsFileWatcher;
import burlarch.node.ShutdownHook;
import burlarch.storage.FileSystemDisk;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeTransport;
import burlarch.transport.SelectorEventLoop;
import java.security.SecureRandom;
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
 * A controller: the operator's API, announcements of instances, a replica of the register, streams to
 * routers.
 */
public final class ControllerProgram {
    private static final long CALL_MILLIS = 930;
    private static final int IDENTITY_BYTES = 12;
    private static final int ENGINE_THREADS = 4;
    /** Messages that wait for the disk; further ones are dropped, as proposers send again. */
    private static final int MOST_WAITING = 64;

    private ControllerProgram() {}

    /** Starts the controller; it lives on by its own threads. */
    public static void run(NodeSettings settings) throws Exception {
        String address = NodeAddresses.own(settings);
        List<String> seeds = NodeAddresses.seeds(settings);
        RegisterStorage storage = RegisterStorage.open(
                new FileSystemDisk(settings.dataDir()),
                address,
                seeds,
                settings.bootstrap(),
                ControllerProgram::randomHex);
        long process = ProcessIncarnations.generate();
        String incarnation = ProcessIncarnations.toText(process);
        SelectorEventLoop loop = new SelectorEventLoop("node");
        ControllerRuntime core = new ControllerRuntime(loop);
        NodeMessage.Hello hello = new NodeMessage.Hello(
                settings.nodeName(),
                NodeRoles.CONTROLLER,
                address,
                settings.zone(),
                storage.store().identity(),
                incarnation);
        NodeTransport transport = new NodeTransport(loop, hello, NodeAddresses.socket(address), core.listener());
        MembershipService membership = new MembershipService(
                loop,
                new MembershipService.Self(settings.nodeName(), NodeRoles.CONTROLLER, settings.zone(), process),
                NodeAddresses.socket(address),
                seeds,
                SwimSettings.defaults());
        ControllerSettings decisions = decisions(settings, address, seeds, incarnation);
        loop.execute(() -> {
            ControlService calls = core.start(
                    decisions,
                    storage,
                    new ControllerRuntime.Environment(
                            transport, diskThread(), new EngineClient(engineHttp()), new SplittableRandom()));
            membership.addListener(core::onMembers);
            SettingsFileWatcher.start(
                    newer -> loop.execute(() -> core.addControllerAddresses(NodeAddresses.seeds(newer))));
            membership.start();
            serve(settings, calls, membership);
        });
        ConfigurationDocument.prepareChecks();
    }

    private static ControllerSettings decisions(
            NodeSettings settings, String address, List<String> seeds, String incarnation) {
        return new ControllerSettings(
                address,
                settings.zone(),
                seeds,
                ProcessIncarnations.processName(settings.nodeName(), incarnation),
                settings.heartbeatNanos(),
                TimeUnit.NANOSECONDS.toMillis(settings.bounds().versionNanos()),
                settings.bounds().leaseNanos(),
                settings.faultTolerance().machines());
    }

    /** The one thread that touches the disk. */
    private static Executor diskThread() {
        return new ThreadPoolExecutor(
                1, 1, 0, TimeUnit.SECONDS, new LinkedBlockingQueue<>(MOST_WAITING), ControllerProgram::newDiskThread);
    }

    private static Thread newDiskThread(Runnable task) {
        Thread thread = new Thread(task, "disk");
        thread.setDaemon(true);
        return thread;
    }

    private static HttpClient engineHttp() {
        QueuedThreadPool threads = new QueuedThreadPool(ENGINE_THREADS, 1);
        threads.setName("engines");
        threads.setReservedThreads(0);
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("engines-timer", true);
        try {
            threads.start();
            scheduler.start();
            return EngineHttpClientFactory.start(threads, scheduler, new ArrayByteBufferPool());
        } catch (Exception e) {
            throw new IllegalStateException("no client for engines", e);
        }
    }

    private static void serve(NodeSettings settings, ControlService calls, MembershipService membership) {
        ControlServer server = new ControlServer(settings.listen().control(), calls, CALL_MILLIS);
        try {
            server.start();
        } catch (Exception e) {
            Logger.error(e, "cannot serve {}", settings.listen().control());
            Runtime.getRuntime().halt(1);
        }
        ShutdownHook.onSignal(() -> {
            server.stopAccepting();
            membership.leaveWithinTimeout();
        });
        Logger.info("{} serves {}", settings.nodeName(), settings.listen().control());
    }

    private static String randomHex() {
        byte[] bytes = new byte[IDENTITY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }
}
