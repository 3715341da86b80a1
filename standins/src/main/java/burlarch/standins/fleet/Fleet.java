package burlarch.standins.fleet;

import burlarch.audit.Sink;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.settings.SettingsSection;
import burlarch.standins.model.Catalog.Lifecycle;
import burlarch.standins.model.Catalog.Member;
import burlarch.standins.net.Transport;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Stand-ins of the cache nodes, the ledger (the origin) and discovery, in this process and on loopback, with fault
 * injection from a script or on demand. One thread injects all faults, one after another.
 */
public final class Fleet implements AutoCloseable {
    /** Keys preloaded in one task of a node's event loop. */
    private static final int PRELOAD_BATCH_KEYS = 1000;

    private final FleetPlan plan;
    private final EventLoopGroup group;
    private final Discovery discovery;
    private final LedgerValues ledgerValues;
    private final Map<String, NodeServer> nodes = new LinkedHashMap<>();
    private final ScheduledExecutorService faultExecutor;
    private final List<Consumer<String>> listeners = new ArrayList<>();

    private Fleet(FleetPlan plan, Sink sink) {
        this.plan = plan;
        this.group = Transport.group(plan.threads(), "burlarch-fleet");
        this.ledgerValues = new LedgerValues(plan.objects(), plan.seed());
        this.discovery = new Discovery(plan, group.next(), sink);
        Map<String, FleetPlan.RequestClass> classes = new LinkedHashMap<>();
        plan.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
        FleetContext context =
                new FleetContext(plan, classes, sink, ledgerValues, new PendingMisses(), this::invalidate);
        plan.nodes().forEach(node -> nodes.put(node.id(), new NodeServer(node, context, group.next())));
        this.faultExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "burlarch-faults");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Starts a fleet; all its servers accept connections when this returns.
     *
     * @throws IOException if an address cannot be bound; nothing is left running then
     */
    public static Fleet start(FleetPlan plan, Sink sink) throws IOException {
        Fleet fleet = new Fleet(plan, sink);
        try {
            for (NodeServer node : fleet.nodes.values()) {
                node.listen();
                fleet.discovery.put(fleet.member(node, Lifecycle.SERVING), fleet.addresses(node), 0);
            }
            fleet.preloadCaches();
            fleet.discovery.listen();
            return fleet;
        } catch (IOException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Preloads the most popular keys at every cache, the most popular last, so that it is evicted last. */
    private void preloadCaches() {
        List<String> keys = new ArrayList<>();
        for (int rank = plan.objects().warm() - 1; rank >= 0; rank--) {
            keys.add(key(rank));
            if (keys.size() == PRELOAD_BATCH_KEYS || rank == 0) {
                List<String> batch = List.copyOf(keys);
                caches().forEach(cache -> cache.preload(batch));
                keys.clear();
            }
        }
    }

    /** Returns the key of a popularity rank, as the load generator requests it. */
    public static String key(long rank) {
        return "k" + Long.toString(rank, 36);
    }

    /** Invalidates a written key at all caches. */
    private void invalidate(String key) {
        caches().forEach(cache -> cache.invalidate(key));
    }

    private Stream<RequestProcessor> caches() {
        return nodes.values().stream().filter(node -> !node.plan.ledger()).map(NodeServer::processor);
    }

    private Member member(NodeServer node, Lifecycle lifecycle) {
        return new Member(
                node.plan.id(),
                node.plan.zone(),
                node.plan.kind().name(),
                node.plan.cell(),
                node.plan.kind().capacity(),
                lifecycle,
                node.startedAtMs());
    }

    private Map<String, String> addresses(NodeServer node) {
        Map<String, String> addresses = new LinkedHashMap<>();
        for (FleetPlan.ProxyPlan proxyPlan : plan.proxyPlans()) {
            addresses.put(proxyPlan.name(), hostPort(node.address(proxyPlan.name())));
        }
        return addresses;
    }

    private static String hostPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    /** The plan that the fleet was started with. */
    public FleetPlan plan() {
        return plan;
    }

    /** Host and port at which discovery serves a proxy. */
    public String discovery(String proxyName) {
        return hostPort(discovery.address(proxyName));
    }

    /** Address at which a node serves a proxy. */
    public InetSocketAddress node(String id, String proxyName) {
        return nodes.get(id).address(proxyName);
    }

    /** Returns the current member list as JSON, which a proxy's configuration includes as its initial membership. */
    public String memberListJson(String proxyName) {
        return discovery.wholeListJson(plan.proxyPlans().stream()
                .filter(proxyPlan -> proxyPlan.name().equals(proxyName))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown proxy: " + proxyName)));
    }

    // ---- faults

    /** Adds a listener that receives the text of each fault when it has been injected. */
    public synchronized void onFault(Consumer<String> listener) {
        listeners.add(listener);
    }

    /** Schedules the faults of the plan's script, with their times counted from now. */
    public void runScript() {
        for (Fault.Scheduled scheduled : plan.faults()) {
            faultExecutor.schedule(() -> execute(scheduled.fault()), scheduled.atNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Injects a fault and returns when it has taken effect. */
    public void inject(Fault fault) {
        try {
            faultExecutor.submit(() -> execute(fault)).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Injects a fault with the given fields; for tests. */
    public void inject(Fault.Kind kind, double amount, String... targets) {
        inject(new Fault(kind, List.of(targets), amount));
    }

    /**
     * Injects the faults of a script entry, written without its time {@code s}. Faults due at once have taken effect
     * when this returns; later ones are scheduled.
     *
     * @param toml the keys of an {@code [[at]]} table
     * @throws SettingsException if the entry is invalid; the message names the key
     */
    public void inject(String toml) throws SettingsException {
        SettingsFile file = SettingsFile.parse("fault", "[at]\n" + toml);
        SettingsSection entry = file.section("at");
        List<Fault.Scheduled> faults = FaultScript.parseEntry(entry, 0, plan, (int) (System.nanoTime() & 0xffff));
        file.rejectUnreadKeys();
        for (Fault.Scheduled scheduled : faults) {
            if (scheduled.atNanos() == 0) {
                inject(scheduled.fault());
            } else {
                faultExecutor.schedule(() -> execute(scheduled.fault()), scheduled.atNanos(), TimeUnit.NANOSECONDS);
            }
        }
    }

    private void execute(Fault fault) {
        String text = fault.toString();
        try {
            if (!fault.kind().concernsNodes()) {
                discovery.inject(fault);
            }
            for (String id : fault.targets()) {
                NodeServer node = nodes.get(id);
                node.inject(fault);
                announce(fault, node);
            }
        } catch (IOException e) {
            text += " failed: " + e.getMessage();
        }
        List<Consumer<String>> currentListeners;
        synchronized (this) {
            currentListeners = List.copyOf(listeners);
        }
        for (Consumer<String> listener : currentListeners) {
            listener.accept(text);
        }
    }

    /** Tells discovery of the change that a fault makes to a node's membership, with the delay of the plan. */
    private void announce(Fault fault, NodeServer node) {
        FleetPlan.DiscoveryPlan delays = plan.discovery();
        switch (fault.kind()) {
            case KILL, VANISH -> discovery.put(member(node, Lifecycle.DELETED), null, delays.silentNoticeNanos());
            case DRAIN -> discovery.put(member(node, Lifecycle.DRAINING), null, delays.noticeNanos());
            case LEAVE -> discovery.put(member(node, Lifecycle.DELETED), null, delays.noticeNanos());
            case START, MOVE -> discovery.put(member(node, Lifecycle.SERVING), addresses(node), delays.addNanos());
            case HEAL -> {
                if (discovery.member(node.plan.id()) == null) {
                    discovery.put(member(node, Lifecycle.SERVING), addresses(node), delays.addNanos());
                }
            }
            default -> {
                // Other faults do not change the membership.
            }
        }
    }

    /** Returns the state of each node, by field name. */
    public List<Map<String, Object>> state() {
        List<Map<String, Object>> nodeStates = new ArrayList<>();
        for (NodeServer node : nodes.values()) {
            nodeStates.add(node.loop().submit(node::state).syncUninterruptibly().getNow());
        }
        return nodeStates;
    }

    /** Number of writes that the ledger executed. */
    public long writes() {
        return ledgerValues.writes();
    }

    @Override
    public void close() {
        faultExecutor.shutdownNow();
        for (NodeServer node : nodes.values()) {
            node.loop().submit(node::close).awaitUninterruptibly(1000);
        }
        discovery.close();
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
    }
}
