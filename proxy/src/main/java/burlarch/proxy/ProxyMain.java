package burlarch.proxy;

import burlarch.decisions.Api.RequestClass;
import burlarch.proxy.command.SignalCommand;
import burlarch.proxy.hotlist.HotList;
import burlarch.proxy.multiget.MultiGet;
import burlarch.proxy.ownload.LoadGate;
import burlarch.proxy.status.StatusBoard;
import burlarch.proxy.status.StatusPage;
import burlarch.proxy.tls.TlsPort;
import burlarch.proxy.trace.TraceRecorder;
import burlarch.settings.SettingsException;
import burlarch.wire.Instance;
import burlarch.wire.WireHost;
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

/** The program: {@code serve} is one real proxy, {@code drill} the decisions on the simulator's wire. */
public final class ProxyMain {
    /** How long a start waits for the agent's list: one that says nothing has nothing to tell. */
    private static final long FIRST_LIST_MS = 2000;
    /** What the log's thread may take for its last lines. */
    private static final long FLUSH_MS = 100;
    /** As Linux counts them. */
    private static final int SIGUSR1 = 10;

    private static final int SIGURG = 23;

    /**
     * Kept, or it would be collected with its level. What Netty warns of is a client's or a node's doing, and
     * a log line of its kind loads classes and opens files when these may be short.
     */
    private static final Logger NETTY_LOG = Logger.getLogger("io.netty");

    static {
        // Each allocation would look whether an event of it is wanted, and each hundredth make a stack trace.
        setDefault("io.netty.jfr.enabled", "false");
        setDefault("io.netty.leakDetection.level", "disabled");
        // Else Netty looks for loggers that are not there.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    }

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("burlarch-loop"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final ProxyClock clock = new ProxyClock();
    private final Features features;
    /** Null where that port is off. */
    private final TlsPort tls;
    /** Where requests are recorded; null where they are not. */
    private final TraceRecorder.Sink traceSink;

    private volatile TraceRecorder trace;
    private RequestTable table;
    private ClientListener clients;
    /** Null where there is none. */
    private volatile HotList hotList;

    private volatile StatusPage statusPage;
    /** Where the ports beside the plain one are bound, by the names of their settings. */
    private final Map<String, SocketAddress> sidePorts = new ConcurrentHashMap<>();

    private MembershipWatch watch;
    private boolean ready;
    private final AtomicInteger reloads = new AtomicInteger();
    /** The number of the last that was carried out. */
    private int lastReload;
    /** Where that one found discovery, also for a watch that is yet to be made; null before it. */
    private InetSocketAddress reloadedDiscovery;

    /** Loads what the features need from files, on the caller's thread. */
    ProxyMain(Features features) throws SettingsException {
        this.features = features;
        this.tls = features.tls().listen() == null ? null : TlsPort.load(features.tls());
        this.traceSink = features.trace().file() == null ? null : TraceRecorder.Sink.create(features.trace());
        if (features.hotList() != null || tls != null) {
            Log.inBackground();
        }
        NETTY_LOG.setLevel(Level.SEVERE);
    }

    private static void setDefault(String property, String value) {
        if (System.getProperty(property) == null) {
            System.setProperty(property, value);
        }
    }

    /** Runs the subcommand that the arguments name; exits with 2 where there is no such subcommand. */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length == 1 && args[0].equals("drill")) {
            WireHost.main(args);
        } else if (args.length > 0 && args[0].equals("serve") && Features.Arguments.parse(args) != null) {
            serve(Features.Arguments.parse(args));
        } else if (args.length > 0 && args[0].equals("rehearse") && Features.Arguments.parse(args) != null) {
            rehearse(Features.Arguments.parse(args));
        } else if (args.length > 0 && args[0].equals("hot-list")) {
            signal(new SignalCommand("hot-list", "USR1", SIGUSR1, "hot list"), args);
        } else if (args.length > 0 && args[0].equals("tls-reload")) {
            signal(new SignalCommand("tls-reload", "URG", SIGURG, "TLS port"), args);
        } else {
            System.err.println("usage: burlarch serve [--hot-list] [--config FILE]\n"
                    + "            (one proxy, set up by EDGE_CONFIG and the operator's FILE)\n"
                    + "       burlarch rehearse [--hot-list] [--config FILE]\n"
                    + "            (starts one on loopback and ends: loads what serve needs)\n"
                    + "       burlarch hot-list --pid PID     (has that proxy write its hot list)\n"
                    + "       burlarch tls-reload --pid PID   (has it read its certificates again)\n"
                    + "       burlarch drill   (reads events on standard input, writes actions)");
            System.exit(2);
        }
    }

    private static void signal(SignalCommand command, String[] args) throws IOException, InterruptedException {
        Optional<String> wrong = command.run(args);
        if (wrong.isPresent()) {
            exit(wrong.get());
        }
    }

    @SuppressWarnings("sunapi") // The only way to SIGHUP, which would end the JVM.
    private static void serve(Features.Arguments arguments) throws InterruptedException {
        try {
            ProxyMain main = new ProxyMain(Features.load(arguments));
            ProxyConfig config = ProxyConfig.load(System.getenv());
            Signal.handle(new Signal("HUP"), signal -> main.reload(System.getenv()));
            if (main.features.hotList() != null) {
                Signal.handle(new Signal("USR1"), signal -> main.writeHotList());
            }
            if (main.tls != null) {
                // Not SIGUSR2, which is HotSpot's; where nobody takes it, SIGURG does nothing.
                Signal.handle(new Signal("URG"), signal -> main.reloadCertificates());
            }
            // Before the port is bound: from then on requests come, and a SIGTERM would lose them.
            Runtime.getRuntime().addShutdownHook(new Thread(main::drain, "burlarch-drain"));
            main.start(config);
        } catch (ProxyConfig.ConfigException | SettingsException e) {
            exit(e.getMessage());
        } catch (ExecutionException e) {
            exit("cannot start: " + e.getCause().getMessage());
        }
    }

    /**
     * Starts a proxy on loopback before stand-ins of its own, has it serve, and ends. The build records the
     * classes that this loads, and the JVM maps them at each start rather than reading and verifying them
     * anew.
     */
    private static void rehearse(Features.Arguments arguments) throws IOException, InterruptedException {
        try (Rehearsal rehearsal = Rehearsal.open()) {
            ProxyMain main = new ProxyMain(Features.load(arguments));
            InetSocketAddress address = (InetSocketAddress) main.start(rehearsal.config());
            rehearsal.play(address);
            main.writeHotList();
            main.drain();
        } catch (SettingsException e) {
            exit(e.getMessage());
        } catch (ExecutionException e) {
            exit("cannot start: " + e.getCause().getMessage());
        }
    }

    private static void exit(String message) {
        System.err.println("burlarch: " + message);
        System.exit(1);
    }

    /** Wires the parts on the loop's thread, as the module asks for its first timer while it is made. */
    SocketAddress start(ProxyConfig config) throws InterruptedException, ExecutionException {
        loop.submit(() -> WarmUp.run(loop, config.settings())).get().get();
        return loop.submit(() -> wire(config)).get().get();
    }

    private io.netty.util.concurrent.Future<SocketAddress> wire(ProxyConfig config) {
        SocketShares shares = SocketShares.of(config.sockets());
        NodePool nodes =
                new NodePool(loop, clock, Instance.settings(config.settings()).limits(), shares.nodes());
        if (features.multiGet().listen() != null) {
            nodes.connectOn();
        }
        table = new RequestTable(loop, clock, nodes, config.settings(), config.seed());
        if (features.hotList() != null) {
            hotList = new HotList(features.hotList(), classNames(), clock::nowNanos, loop);
            table.observe(hotList);
        }
        if (traceSink != null) {
            record();
        }
        watch = new MembershipWatch(
                loop, clock, reloadedDiscovery == null ? config.discovery() : reloadedDiscovery, table, nodes);
        if (features.status().port() != null) {
            StatusBoard board =
                    new StatusBoard(StatusPage.version(), classNames(), clock::nowNanos, System::currentTimeMillis);
            table.observe(board);
            watch.observe(board);
            statusPage = new StatusPage(board, loop);
        }
        table.onWatchList(watch::start);
        watch.restore(config.known());
        if (!table.instance().settings.asksForList()) {
            watch.start();
        }
        // Answers that such a time holds up may be too late: the log has to tell why.
        LoopLag lag = new LoopLag(
                loop,
                clock::nowNanos,
                behindNanos -> Log.line("the loop was " + TimeUnit.NANOSECONDS.toMillis(behindNanos) + " ms behind"));
        LoadGate gate = null;
        if (features.ownLoad().on()) {
            gate = new LoadGate(clock.nowNanos(), LoopLag.BEAT_NANOS, table.instance().settings, lag::nanos);
            lag.onBeat(gate::beat);
        }
        clients = new ClientListener(loop, clock, table, () -> ready, lag::nanos, shares.clients());
        io.netty.util.concurrent.Promise<SocketAddress> bound = loop.newPromise();
        SingleRequests plain = new SingleRequests(clients.reader(), table, gate);
        if (table.instance().settings.asksForList()) {
            bind(config, plain, bound);
        } else {
            bindWhenListed(config, plain, bound);
        }
        return bound;
    }

    /** Where lists are pushed, what the agent has counts as told from a process's first moment. */
    private void bindWhenListed(
            ProxyConfig config, RequestHandler plain, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        AtomicBoolean begun = new AtomicBoolean();
        Runnable once = () -> {
            if (begun.compareAndSet(false, true)) {
                bind(config, plain, bound);
            }
        };
        watch.whenListed(once);
        loop.schedule(once, FIRST_LIST_MS, TimeUnit.MILLISECONDS);
    }

    private void bind(ProxyConfig config, RequestHandler plain, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        bindSidePorts(config.listen().getAddress(), plain, bound);
        clients.bind(config.listen(), channel -> plain).addListener((ChannelFuture f) -> {
            if (!f.isSuccess()) {
                bound.tryFailure(f.cause());
            } else if (bound.trySuccess(f.channel().localAddress())) {
                ready = true;
                Log.line(config.name() + " serves on " + f.channel().localAddress());
            }
        });
    }

    private void record() {
        try {
            trace = new TraceRecorder(features.trace(), traceSink, classNames(), clock::nowNanos);
            table.observe(trace);
        } catch (IOException e) {
            Log.line("no trace: " + e.getMessage());
        }
    }

    /** Before the plain port, as on the loop one bind ends before the next: it is ready with all or none. */
    private void bindSidePorts(
            InetAddress host, RequestHandler plain, io.netty.util.concurrent.Promise<SocketAddress> bound) {
        if (statusPage != null) {
            InetSocketAddress statusAt =
                    new InetSocketAddress(host, features.status().port());
            sidePort(
                    "status.listen_port",
                    statusAt,
                    statusPage.bind(statusAt, features.status().refreshMs()),
                    bound);
        }
        InetSocketAddress multiGetAt = features.multiGet().listen();
        if (tls != null) {
            tls.start(plain);
            sidePort(
                    "tls.listen",
                    features.tls().listen(),
                    clients.bind(features.tls().listen(), tls),
                    bound);
        }
        if (multiGetAt != null) {
            MultiGet multiGet =
                    new MultiGet(clients.reader(), table, features.multiGet().maxKeys());
            sidePort("multiget.listen", multiGetAt, clients.bind(multiGetAt, channel -> multiGet), bound);
        }
    }

    /** Settles at once where the bind is over, as on the way to the next bind it must be known. */
    private void sidePort(
            String name,
            SocketAddress address,
            ChannelFuture binding,
            io.netty.util.concurrent.Promise<SocketAddress> bound) {
        if (!binding.isDone()) {
            binding.addListener(f -> sidePort(name, address, binding, bound));
        } else if (binding.isSuccess()) {
            sidePorts.put(name, binding.channel().localAddress());
        } else {
            bound.tryFailure(new IOException(
                    name + " " + address + ": " + binding.cause().getMessage()));
        }
    }

    private List<String> classNames() {
        return table.instance().settings.classes().stream()
                .map(RequestClass::name)
                .toList();
    }

    /** For tests that keep it busy. */
    EventLoop loop() {
        return loop;
    }

    /** Where a port beside the plain one is bound, by the name of its setting. */
    InetSocketAddress sidePort(String name) {
        return (InetSocketAddress) sidePorts.get(name);
    }

    /**
     * SIGHUP: reads the configuration again, on the caller's thread, and watches the address of discovery
     * that it names. The rest holds until the next start. Where two come at once, the one read last counts.
     */
    void reload(Map<String, String> environment) {
        int number = reloads.incrementAndGet();
        try {
            ProxyConfig config = ProxyConfig.load(environment);
            loop.execute(() -> {
                if (number > lastReload) {
                    lastReload = number;
                    Log.line("configuration read again, discovery at " + config.discovery());
                    reloadedDiscovery = config.discovery();
                    if (watch != null) {
                        watch.move(reloadedDiscovery);
                    }
                }
            });
        } catch (ProxyConfig.ConfigException e) {
            Log.line("the configuration stays as it was: " + e.getMessage());
        } catch (RejectedExecutionException e) {
            Log.line("no reload at the end of a drain");
        }
    }

    /** SIGUSR1, which may come before the start is over. */
    void writeHotList() {
        if (hotList != null) {
            hotList.write();
        } else {
            Log.line("no hot list yet");
        }
    }

    /** SIGURG, taken only where there is a TLS port. */
    void reloadCertificates() {
        tls.reloadNow();
    }

    /** How many requests are owed an answer. */
    int owed() throws InterruptedException, ExecutionException {
        return loop.submit(() -> table.owed()).get();
    }

    private void closeServers() {
        clients.closeServer();
        if (statusPage != null) {
            statusPage.closeServer();
        }
    }

    /** Ends at once, with whatever is in hand. */
    void stop() {
        if (tls != null) {
            tls.close();
        }
        if (statusPage != null) {
            statusPage.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /**
     * SIGTERM: goes on serving while what is asked can be answered before the platform kills, then answers
     * what it holds and ends. Ending sooner would not start the next proxy sooner. The shutdown hook waits
     * for it, as the process is gone when the hook returns.
     */
    void drain() {
        CountDownLatch drained = new CountDownLatch(1);
        try {
            DrainTimes times = loop.submit(() -> beginDrain(drained)).get();
            if (times == null) {
                return;
            }
            boolean empty = drained.await(times.killMs(), TimeUnit.MILLISECONDS);
            Log.line(empty ? "drained" : "ends with connections in hand");
            if (trace != null) {
                trace.close();
            }
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).await(200, TimeUnit.MILLISECONDS);
            Log.flush(FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            Log.line("cannot drain: " + e.getCause());
        }
    }

    /** @return null where no port is bound: nothing is owed */
    private DrainTimes beginDrain(CountDownLatch drained) {
        if (!ready) {
            return null;
        }
        DrainTimes times =
                DrainTimes.of(TimeUnit.NANOSECONDS.toMillis(clients.reader().longestTimeoutNanos()));
        Log.line("draining, " + table.owed() + " requests in hand");
        clients.drain(clock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(times.answeredMs()));
        loop.schedule(this::closeServers, times.closeListenersMs(), TimeUnit.MILLISECONDS);
        loop.schedule(
                () -> clients.endConnections(drained::countDown), times.endConnectionsMs(), TimeUnit.MILLISECONDS);
        return times;
    }
}
