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
 * Cache nodes, the ledger and discovery on loopback, in this process, with the faults of a script or of the
 * moment. Faults are carried out by one thread, one after another.
 */
public final class Fleet implements AutoCloseable {
    private static final int FILL_AT_ONCE = 1000;

    private final FleetPlan plan;
    private final EventLoopGroup group;
    private final Discovery discovery;
    private final Values values;
    private final Map<String, NodeServer> nodes = new LinkedHashMap<>();
    private final ScheduledExecutorService faultExecutor;
    private final List<Consumer<String>> listeners = new ArrayList<>();

    private Fleet(FleetPlan plan, Sink sink) {
        this.plan = plan;
        this.group = Transport.group(plan.threads(), "burlarch-fleet");
        this.values = new Values(plan.objects(), plan.seed());
        this.discovery = new Discovery(plan, group.next(), sink);
        Map<String, FleetPlan.RequestKind> classes = new LinkedHashMap<>();
        plan.classes().forEach(one -> classes.put(one.name(), one));
        FleetContext context = new FleetContext(plan, classes, sink, values, new PendingMisses(), this::written);
        plan.nodes().forEach(node -> nodes.put(node.id(), new NodeServer(node, context, group.next())));
        this.faultExecutor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "burlarch-faults");
            thread.setDaemon(true);
            return thread;
        });
    }

    /**
     * Starts all of it; it serves when this returns.
     *
     * @throws IOException where a port can't be had; nothing is left running then
     */
    public static Fleet start(FleetPlan plan, Sink sink) throws IOException {
        Fleet fleet = new Fleet(plan, sink);
        try {
            for (NodeServer node : fleet.nodes.values()) {
                node.listen();
                fleet.discovery.put(fleet.member(node, Lifecycle.SERVING), fleet.addresses(node), 0);
            }
            fleet.warm();
            fleet.discovery.listen();
            return fleet;
        } catch (IOException | RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** The most asked keys are at every cache that has room, the most asked of all put last. */
    private void warm() {
        List<String> keys = new ArrayList<>();
        for (int rank = plan.objects().warm() - 1; rank >= 0; rank--) {
            keys.add(key(rank));
            if (keys.size() == FILL_AT_ONCE || rank == 0) {
                List<String> part = List.copyOf(keys);
                caches().forEach(cache -> cache.fill(part));
                keys.clear();
            }
        }
    }

    /** The key at a place in the order of popularity, as the load generator asks for it. */
    public static String key(long rank) {
        return "k" + Long.toString(rank, 36);
    }

    private void written(String key) {
        caches().forEach(cache -> cache.drop(key));
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
        for (FleetPlan.Vantage vantage : plan.vantages()) {
            addresses.put(vantage.name(), hostPort(node.address(vantage.name())));
        }
        return addresses;
    }

    private static String hostPort(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    public FleetPlan plan() {
        return plan;
    }

    /** Where discovery listens for a proxy. */
    public String discovery(String vantage) {
        return hostPort(discovery.address(vantage));
    }

    /** Where a node listens for a proxy. */
    public InetSocketAddress node(String id, String vantage) {
        return nodes.get(id).address(vantage);
    }

    /** Discovery's list as it is now, in its form: what a proxy's configuration brings as known. */
    public String known(String vantage) {
        return discovery.known(plan.vantages().stream()
                .filter(v -> v.name().equals(vantage))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no proxy " + vantage)));
    }

    // ---- faults

    /** Is told of each fault as it is carried out. */
    public synchronized void onFault(Consumer<String> listener) {
        listeners.add(listener);
    }

    /** Carries the file's script out, with its times from now. */
    public void runScript() {
        for (Fault.Timed timed : plan.faults()) {
            faultExecutor.schedule(() -> carryOut(timed.fault()), timed.atNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /** Carries one fault out; it is done when this returns. */
    public void inject(Fault fault) {
        try {
            faultExecutor.submit(() -> carryOut(fault)).get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Shorthand for tests. */
    public void inject(Fault.Kind kind, double amount, String... targets) {
        inject(new Fault(kind, List.of(targets), amount));
    }

    /**
     * Carries out what a text says, in the form of a script's entry without {@code s}; what is to come later
     * comes later.
     *
     * @throws SettingsException naming the key that is wrong
     */
    public void inject(String toml) throws SettingsException {
        SettingsFile file = SettingsFile.parse("fault", "[at]\n" + toml);
        SettingsSection entry = file.section("at");
        List<Fault.Timed> faults = FaultScript.entry(entry, 0, plan, (int) (System.nanoTime() & 0xffff));
        file.rejectUnreadKeys();
        for (Fault.Timed timed : faults) {
            if (timed.atNanos() == 0) {
                inject(timed.fault());
            } else {
                faultExecutor.schedule(() -> carryOut(timed.fault()), timed.atNanos(), TimeUnit.NANOSECONDS);
            }
        }
    }

    private void carryOut(Fault fault) {
        String text = fault.toString();
        try {
            if (!fault.kind().ofNodes()) {
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
        List<Consumer<String>> told;
        synchronized (this) {
            told = List.copyOf(listeners);
        }
        for (Consumer<String> listener : told) {
            listener.accept(text);
        }
    }

    /** What discovery gets to know of it, and when. */
    private void announce(Fault fault, NodeServer node) {
        FleetPlan.DiscoveryPlan times = plan.discovery();
        switch (fault.kind()) {
            case KILL, VANISH -> discovery.put(member(node, Lifecycle.DELETED), null, times.silentNoticeNanos());
            case DRAIN -> discovery.put(member(node, Lifecycle.DRAINING), null, times.noticeNanos());
            case LEAVE -> discovery.put(member(node, Lifecycle.DELETED), null, times.noticeNanos());
            case START, MOVE -> discovery.put(member(node, Lifecycle.SERVING), addresses(node), times.addNanos());
            case HEAL -> {
                if (discovery.member(node.plan.id()) == null) {
                    discovery.put(member(node, Lifecycle.SERVING), addresses(node), times.addNanos());
                }
            }
            default -> {
                // Discovery knows only of processes that run, drain or are gone.
            }
        }
    }

    /** What every party is doing, for a look from outside. */
    public List<Map<String, Object>> state() {
        List<Map<String, Object>> states = new ArrayList<>();
        for (NodeServer node : nodes.values()) {
            states.add(node.loop().submit(node::state).syncUninterruptibly().getNow());
        }
        return states;
    }

    /** How many writes were carried out. */
    public long writes() {
        return values.writes();
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
