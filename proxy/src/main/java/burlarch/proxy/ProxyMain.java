package burlarch.proxy;

import burlarch.decisions.Api.RequestClass;
import burlarch.proxy.command.SignalCommand;
import burlarch.proxy.hotlist.HotList;
import burlarch.proxy.multiget.MultiGet;
import burlarch.proxy.ownload.LoadGate;
import burlarch.proxy.status.StatusCollector;
import burlarch.proxy.status.StatusPage;
import burlarch.proxy.tls.TlsPort;
import burlarch.proxy.trace.TraceRecorder;
import burlarch.settings.SettingsException;
import burlarch.wire.Instance;
import burlarch.wire.SimulatorAdapter;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Level;
import java.util.logging.Logger;
import sun.misc.Signal;

/**
 * Main program of the caching proxy: assembles its components, binds its ports, and handles its signals.
 *
 * <p>The subcommand {@code serve} runs one proxy; {@code drill} runs the decision policy alone, driven by the
 * simulator's protocol on standard input and output. A proxy has a single event loop, whose thread handles all
 * connections and requests; signals and the shutdown hook run on threads of the JVM.
 */
public final class ProxyMain {
    /** How long startup waits for discovery's first list. An agent that has sent nothing by then has no list. */
    private static final long FIRST_LIST_TIMEOUT_MS = 2000;
    /** Time for the log's thread to write the last lines before the program exits. */
    private static final long LOG_FLUSH_TIMEOUT_MS = 100;
    /** Exit status after a failure of the event loop. */
    private static final int LOOP_FAILED_STATUS = 3;
    /** Signal number on Linux. */
    private static final int SIGUSR1 = 10;

    /** Signal number on Linux. */
    private static final int SIGURG = 23;

    /**
     * Netty's logger, limited to severe messages. Netty's warnings are caused by clients or nodes, and writing
     * one loads classes and opens files at a time when file descriptors may be short. The field keeps a strong
     * reference, because a logger that is garbage-collected loses its level.
     */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    static {
        // Otherwise each allocation checks for a JFR event, and leak detection samples stack traces.
        setDefault("io.netty.jfr.enabled", "false");
        setDefault("io.netty.leakDetection.level", "disabled");
        // Otherwise Netty searches for logging frameworks that are not on the class path.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("burlarch-loop"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ProxyClock clock = new ProxyClock();
    private final Features features;
    /** Null if the TLS port is disabled. */
    private final TlsPort tlsPort;
    /** Output of the request recording; null if recording is disabled. */
    private final TraceRecorder.Sink traceSink;

    private volatile TraceRecorder traceRecorder;
    private RequestTable table;
    private ClientListener clientListener;
    /** Null if the hot list is disabled or startup has not created it yet. */
    private volatile HotList hotList;

    private volatile StatusPage statusPage;
    /** Bound address of each port other than the plain one, by the name of its setting. */
    private final Map<String, SocketAddress> sidePortAddresses = new ConcurrentHashMap<>();

    private MembershipWatch membershipWatch;
    private boolean ready;
    /** Whether this program ends its event loop. */
    private volatile boolean stopping;
    /** Number of reloads requested so far; numbers them. */
    private final AtomicInteger reloadCount = new AtomicInteger();
    /** Number of the latest reload that was applied. */
    private int lastAppliedReload;
    /** Discovery address of the latest reload, kept for a watch created later; null before the first reload. */
    private InetSocketAddress reloadedDiscoveryAddress;

    /**
     * Loads the files that the features need, such as certificates, on the caller's thread.
     *
     * @throws SettingsException if a file is missing or invalid
     */
    ProxyMain(Features features) throws SettingsException {
        this.features = features;
        this.tlsPort = features.tls().listen() == null ? null : TlsPort.load(features.tls());
        this.traceSink = features.trace().file() == null ? null : TraceRecorder.Sink.create(features.trace());
        if (features.hotList() != null || tlsPort != null) {
            Log.writeInBackground();
        }
        NETTY_LOGGER.setLevel(Level.SEVERE);
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }

    /** Runs the subcommand named by the first argument; exits with status 2 if the arguments are invalid. */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length == 1 && args[0].equals("drill")) {
            SimulatorAdapter.main(args);
        } else if (args.length > 0 && args[0].equals("serve") && Features.Arguments.parse(args) != null) {
            serve(Features.Arguments.parse(args));
        } else if (args.length > 0 && args[0].equals("rehearse") && Features.Arguments.parse(args) != null) {
            rehearse(Features.Arguments.parse(args));
        } else if (args.length > 0 && args[0].equals("hot-list")) {
            sendSignal(new SignalCommand("hot-list", "USR1", SIGUSR1, "hot list"), args);
        } else if (args.length > 0 && args[0].equals("tls-reload")) {
            sendSignal(new SignalCommand("tls-reload", "URG", SIGURG, "TLS port"), args);
        } else {
            System.err.println("usage: burlarch serve [--hot-list] [--config FILE]\n"
                    + "            (runs one proxy, configured by EDGE_CONFIG and the operator's FILE)\n"
                    + "       burlarch rehearse [--hot-list] [--config FILE]\n"
                    + "            (runs a proxy on loopback briefly, to load the classes that serve needs)\n"
                    + "       burlarch hot-list --pid PID     (makes that proxy write its hot list)\n"
                    + "       burlarch tls-reload --pid PID   (makes that proxy reload its certificates)\n"
                    + "       burlarch drill   (reads events on standard input, writes actions)");
            System.exit(2);
        }
    }

    private static void sendSignal(SignalCommand command, String[] args) throws IOException, InterruptedException {
        Optional<String> error = command.run(args);
        if (error.isPresent()) {
            exitWithError(error.get());
        }
    }

    @SuppressWarnings("sunapi") // The only way to handle SIGHUP, which otherwise ends the JVM.
    private static void serve(Features.Arguments arguments) throws InterruptedException {
        try {
            ProxyMain main = new ProxyMain(Features.load(arguments));
            ProxyConfig config = ProxyConfig.load(System.getenv());
            Signal.handle(new Signal("HUP"), signal -> main.reload(System.getenv()));
            if (main.features.hotList() != null) {
                Signal.handle(new Signal("USR1"), signal -> main.writeHotList());
            }
            if (main.tlsPort != null) {
                // HotSpot uses SIGUSR2 itself. SIGURG has no effect on a process without a handler.
                Signal.handle(new Signal("URG"), signal -> main.reloadCertificates());
            }
            // Before the port is bound: requests arrive from then on, and a SIGTERM without the hook would lose them.
            Runtime.getRuntime().addShutdownHook(new Thread(main::drain, "burlarch-drain"));
            main.haltIfLoopFails();
            main.start(config);
        } catch (ProxyConfig.ConfigException | SettingsException e) {
            exitWithError(e.getMessage());
        } catch (ExecutionException e) {
            exitWithError("cannot start: " + e.getCause().getMessage());
        }
    }

    /**
     * Ends the process if the event loop ends by an error of the virtual machine: without its loop it would answer
     * nothing, and the platform starts another process only after this one has ended.
     */
    private void haltIfLoopFails() {
        group.terminationFuture().addListener(terminated -> {
            if (!stopping) {
                System.err.println("burlarch: the event loop has failed");
                Runtime.getRuntime().halt(LOOP_FAILED_STATUS);
            }
        });
    }

    /**
     * Runs a proxy on loopback against stand-in servers, serves some requests, and ends. The build archives the
     * classes that this loads (class data sharing), so that the JVM maps them at each start instead of reading
     * and verifying them again.
     */
    private static void rehearse(Features.Arguments arguments) throws IOException, InterruptedException {
        try (ClassLoadingWorkload rehearsal = ClassLoadingWorkload.open()) {
            ProxyMain main = new ProxyMain(Features.load(arguments));
            InetSocketAddress address = (InetSocketAddress) main.start(rehearsal.config());
            rehearsal.play(address);
            main.writeHotList();
            main.drain();
        } catch (SettingsException e) {
            exitWithError(e.getMessage());
        } catch (ExecutionException e) {
            exitWithError("cannot start: " + e.getCause().getMessage());
        }
    }

    private static void exitWithError(String message) {
        System.err.println("burlarch: " + message);
        System.exit(1);
    }

    /**
     * Warms up, assembles the components and binds all ports; blocks until the plain port is bound. The
     * components are created on the event loop's thread, because the policy's constructor requests a timer.
     *
     * @return the address that the plain port is bound to
     */
    SocketAddress start(ProxyConfig config) throws InterruptedException, ExecutionException {
        loop.submit(() -> WarmUp.run(loop, config.settings())).get().get();
        return loop.submit(() -> assemble(config)).get().get();
    }

    private io.netty.util.concurrent.Future<SocketAddress> assemble(ProxyConfig config) {
        SocketShares shares = SocketShares.of(config.sockets());
        NodePool nodePool =
                new NodePool(loop, clock, Instance.settings(config.settings()).limits(), shares.nodes());
        if (features.multiGet().listen() != null) {
            nodePool.connectEagerly();
        }
        table = new RequestTable(loop, clock, nodePool, config.settings(), config.seed());
        if (features.hotList() != null) {
            hotList = new HotList(features.hotList(), requestClassNames(), clock::nowNanos, loop);
            table.observe(hotList);
        }
        if (traceSink != null) {
            startTraceRecording();
        }
        membershipWatch = new MembershipWatch(
                loop,
                clock,
                reloadedDiscoveryAddress == null ? config.discovery() : reloadedDiscoveryAddress,
                table,
                nodePool);
        if (features.status().port() != null) {
            StatusCollector statusBoard = new StatusCollector(
                    StatusPage.version(), requestClassNames(), clock::nowNanos, System::currentTimeMillis);
            table.observe(statusBoard);
            membershipWatch.observe(statusBoard);
            statusPage = new StatusPage(statusBoard, loop);
        }
        table.onWatchList(membershipWatch::start);
        membershipWatch.restore(config.known());
        if (!table.instance().settings.asksForList()) {
            membershipWatch.start();
        }
        // Requests that wait meanwhile may miss their deadlines; the log line gives the cause.
        EventLoopLag eventLoopLag = new EventLoopLag(
                loop,
                clock::nowNanos,
                delayNanos -> Log.line(
                        "the event loop was blocked for " + TimeUnit.NANOSECONDS.toMillis(delayNanos) + " ms"));
        LoadGate loadGate = null;
        if (features.ownLoad().on()) {
            loadGate = new LoadGate(
                    clock.nowNanos(),
                    EventLoopLag.PROBE_INTERVAL_NANOS,
                    table.instance().settings,
                    eventLoopLag::readDelayNanos);
            eventLoopLag.onProbe(loadGate::beat);
        }
        clientListener =
                new ClientListener(loop, clock, table, () -> ready, eventLoopLag::readDelayNanos, shares.clients());
        io.netty.util.concurrent.Promise<SocketAddress> bound = loop.newPromise();
        SingleRequestHandler plainHandler = new SingleRequestHandler(clientListener.reader(), table, loadGate);
        if (table.instance().settings.asksForList()) {
            bind(config, plainHandler, bound);
        } else {
            bindAfterFirstList(config, plainHandler, bound);
        }
        return bound;
    }

    /**
     * Binds once the first list has arrived or {@link #FIRST_LIST_TIMEOUT_MS} has passed. For modes in which
     * discovery pushes lists: there, the list held by the agent counts as known from the process's start.
     */
    private void bindAfterFirstList(
            ProxyConfig config, RequestHandler plainHandler, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        AtomicBoolean bindStarted = new AtomicBoolean();
        Runnable bindOnce = () -> {
            if (bindStarted.compareAndSet(false, true)) {
                bind(config, plainHandler, bound);
            }
        };
        membershipWatch.onFirstList(bindOnce);
        loop.schedule(bindOnce, FIRST_LIST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void bind(
            ProxyConfig config, RequestHandler plainHandler, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        bindSidePorts(config.listen().getAddress(), plainHandler, bound);
        clientListener.bind(config.listen(), channel -> plainHandler).addListener((ChannelFuture f) -> {
            if (!f.isSuccess()) {
                bound.tryFailure(f.cause());
            } else if (bound.trySuccess(f.channel().localAddress())) {
                ready = true;
                Log.line(config.name() + " serves on " + f.channel().localAddress());
            }
        });
    }

    private void startTraceRecording() {
        try {
            traceRecorder = new TraceRecorder(features.trace(), traceSink, requestClassNames(), clock::nowNanos);
            table.observe(traceRecorder);
        } catch (IOException e) {
            Log.line("requests are not recorded: " + e.getMessage());
        }
    }

    /**
     * Binds the ports other than the plain one. Called before the plain port is bound: the event loop completes
     * binds in order, so the proxy becomes ready only if all of them succeeded.
     */
    private void bindSidePorts(
            InetAddress host, RequestHandler plainHandler, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        if (statusPage != null) {
            InetSocketAddress statusAddress =
                    new InetSocketAddress(host, features.status().port());
            recordSidePort(
                    "status.listen_port",
                    statusAddress,
                    statusPage.bind(statusAddress, features.status().refreshMs()),
                    bound);
        }
        InetSocketAddress multiGetAddress = features.multiGet().listen();
        if (tlsPort != null) {
            tlsPort.start(plainHandler);
            recordSidePort(
                    "tls.listen",
                    features.tls().listen(),
                    clientListener.bind(features.tls().listen(), tlsPort),
                    bound);
        }
        if (multiGetAddress != null) {
            MultiGet multiGet = new MultiGet(
                    clientListener.reader(), table, features.multiGet().maxKeys());
            recordSidePort(
                    "multiget.listen",
                    multiGetAddress,
                    clientListener.bind(multiGetAddress, channel -> multiGet),
                    bound);
        }
    }

    /**
     * Records the port's address, or fails the startup if the bind failed. A bind that is already complete is
     * handled immediately, because its result must be known before the next port is bound.
     */
    private void recordSidePort(
            String name,
            SocketAddress address,
            ChannelFuture binding,
            io.netty.util.concurrent.Promise<SocketAddress> bound) {
        if (!binding.isDone()) {
            binding.addListener(f -> recordSidePort(name, address, binding, bound));
        } else if (binding.isSuccess()) {
            sidePortAddresses.put(name, binding.channel().localAddress());
        } else {
            bound.tryFailure(new IOException(
                    name + " " + address + ": " + binding.cause().getMessage()));
        }
    }

    private List<String> requestClassNames() {
        return table.instance().settings.classes().stream()
                .map(RequestClass::name)
                .toList();
    }

    /** Event loop of this proxy, for tests that block it. */
    EventLoop loop() {
        return loop;
    }

    /** Bound address of a port other than the plain one, or null; {@code name} is the name of its setting. */
    InetSocketAddress sidePort(String name) {
        return (InetSocketAddress) sidePortAddresses.get(name);
    }

    /**
     * Handles SIGHUP: reads the configuration on the caller's thread and watches discovery at the address it
     * names. All other settings stay as they are until the next start. If reloads overlap, the one requested
     * last takes effect.
     */
    void reload(Map<String, String> environment) {
        int number = reloadCount.incrementAndGet();
        try {
            ProxyConfig config = ProxyConfig.load(environment);
            loop.execute(() -> {
                if (number > lastAppliedReload) {
                    lastAppliedReload = number;
                    Log.line("configuration read again, discovery address: " + config.discovery());
                    reloadedDiscoveryAddress = config.discovery();
                    if (membershipWatch != null) {
                        membershipWatch.move(reloadedDiscoveryAddress);
                    }
                }
            });
        } catch (ProxyConfig.ConfigException e) {
            Log.line("configuration not reloaded, the previous one stays in force: " + e.getMessage());
        } catch (RejectedExecutionException e) {
            Log.line("configuration not reloaded: the proxy is shutting down");
        }
    }

    /** Handles SIGUSR1, which may arrive before startup is complete. */
    void writeHotList() {
        if (hotList != null) {
            hotList.write();
        } else {
            Log.line("hot list not written: the proxy is still starting");
        }
    }

    /** Handles SIGURG; the handler is installed only if the TLS port is enabled. */
    void reloadCertificates() {
        tlsPort.reloadNow();
    }

    /** Number of requests that have not been answered yet. Callable from any thread but the event loop's. */
    int openRequestCount() throws InterruptedException, ExecutionException {
        return loop.submit(() -> table.openRequestCount()).get();
    }

    private void closeServers() {
        clientListener.closeListeners();
        if (statusPage != null) {
            statusPage.closeServer();
        }
    }

    /** Stops immediately, without answering open requests. */
    void stop() {
        if (tlsPort != null) {
            tlsPort.close();
        }
        if (statusPage != null) {
            statusPage.close();
        }
        stopping = true;
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * Handles SIGTERM: keeps serving while new requests can be answered before the platform kills the process,
     * then answers the open ones and stops. Stopping sooner would not start the next proxy sooner. Runs on the
     * thread of the shutdown hook and blocks until done, because the process exits when the hook returns.
     */
    void drain() {
        CountDownLatch drained = new CountDownLatch(1);
        try {
            DrainTimes times = loop.submit(() -> beginDrain(drained)).get();
            if (times == null) {
                return;
            }
            boolean allClosed = drained.await(times.killMs(), TimeUnit.MILLISECONDS);
            Log.line(allClosed ? "drained" : "exits with connections still open");
            if (traceRecorder != null) {
                traceRecorder.close();
            }
            stopping = true;
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(200, TimeUnit.MILLISECONDS);
            Log.flush(LOG_FLUSH_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            Log.line("drain failed: " + e.getCause());
        }
    }

    /** @return null if the plain port is not bound, so that there is no request to answer */
    private DrainTimes beginDrain(CountDownLatch drained) {
        if (!ready) {
            return null;
        }
        DrainTimes times = DrainTimes.of(
                TimeUnit.NANOSECONDS.toMillis(clientListener.reader().longestTimeoutNanos()));
        Log.line("draining, " + table.openRequestCount() + " open requests");
        clientListener.startDrain(clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(times.answeredMs()));
        loop.schedule(this::closeServers, times.closeListenersMs(), TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> clientListener.closeConnections(drained::countDown),
                times.endConnectionsMs(),
                TimeUnit.MILLISECONDS);
        return times;
    }
}
