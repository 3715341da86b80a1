package burlarch.standins.fleet;

import burlarch.audit.Attempt.Fate;
import burlarch.audit.NodeStart;
import burlarch.standins.fleet.NodeCondition.Mode;
import burlarch.standins.net.Transport;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in of a cache node or of the ledger: it manages listeners, connections and faults, and leaves requests to
 * its {@link RequestProcessor}. Confined to one event loop, except {@link #address}, {@link #listen} and
 * {@link #inject}, which must be called from other threads.
 */
final class NodeServer {
    private static final long IDLE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Slowdown factor of a suspended process: large enough that no work is done during any run. */
    private static final double PAUSE_SLOWDOWN = 1e9;

    final FleetPlan.NodePlan plan;
    private final FleetContext context;
    private final EventLoop loop;
    private final NodeListeners listeners;
    private final NodeCondition condition = new NodeCondition();
    private final RequestProcessor processor;
    private final Set<NodeConnection> connections = new HashSet<>();
    private volatile long startedAtMs;

    NodeServer(FleetPlan.NodePlan plan, FleetContext context, EventLoop loop) {
        this.plan = plan;
        this.context = context;
        this.loop = loop;
        this.listeners = new NodeListeners(plan, context.plan(), loop, this::accept);
        this.processor = new RequestProcessor(plan, context, condition, loop);
        loop.scheduleWithFixedDelay(this::closeIdle, IDLE_CHECK_NANOS, IDLE_CHECK_NANOS, TimeUnit.NANOSECONDS);
    }

    EventLoop loop() {
        return loop;
    }

    RequestProcessor processor() {
        return processor;
    }

    /** Address that serves a proxy, also while the node does not listen. */
    InetSocketAddress address(String proxyName) {
        return listeners.address(proxyName);
    }

    /** Unix time in milliseconds of the last start by a fault; 0 if there was none. */
    long startedAtMs() {
        return startedAtMs;
    }

    /** Returns the node's state by field name, for the control server. */
    Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("id", plan.id());
        state.put("zone", plan.zone());
        state.put("mode", condition.mode + (condition.draining ? " DRAINING" : ""));
        state.put("in_work", processor.running());
        state.put("waiting", processor.waiting());
        state.put("connections", connections.size());
        state.put("objects", processor.objects());
        state.put("served", processor.served());
        state.put("falls", processor.overloadFailures());
        return state;
    }

    // ---- connections

    /**
     * Binds the node's listeners. Must not be called on the event loop, which does the binding.
     *
     * @throws IOException if an address cannot be bound; the message names it
     */
    void listen() throws IOException {
        listeners.open(false);
    }

    private void accept(Channel channel, FleetPlan.ProxyPlan proxyPlan) {
        if (connections.size() >= plan.kind().connections() || condition.mode == Mode.REFUSING) {
            Transport.reset(channel);
            return;
        }
        NodeConnection connection = new NodeConnection(this, channel, proxyPlan);
        connections.add(connection);
        connection.install();
        processor.handshake();
    }

    void closed(NodeConnection connection) {
        connections.remove(connection);
    }

    private void closeIdle() {
        long nowNanos = System.nanoTime();
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.closeIfIdle(nowNanos, plan.kind().idleCloseNanos());
        }
    }

    /** Resets all connections and records their requests as reset. */
    private void resetAll() {
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.endRequest(request -> processor.end(request, Fate.RESET));
            Transport.reset(connection.channel);
        }
    }

    // ---- faults

    /** Injects a fault and returns when it has taken effect. Called only by the fleet's fault thread. */
    void inject(Fault fault) throws IOException {
        switch (fault.kind()) {
            case SLOW -> onLoop(() -> processor.slow(fault.amount()));
            case HUNG -> onLoop(() -> condition.mode = Mode.HUNG);
            case PAUSE -> onLoop(this::pause);
            case RESET -> onLoop(() -> condition.resetShare = fault.amount());
            case REFUSE -> onLoop(() -> end(Mode.REFUSING));
            case KILL, LEAVE -> onLoop(() -> end(Mode.DEAD));
            case VANISH -> vanish();
            case DRAIN -> onLoop(() -> condition.draining = true);
            case START, MOVE -> start(fault.kind() == Fault.Kind.MOVE);
            case HEAL -> heal();
            default -> throw new IllegalArgumentException(fault.kind() + " is not a fault of a node");
        }
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    private void pause() {
        processor.slow(PAUSE_SLOWDOWN);
        condition.mode = Mode.PAUSED;
    }

    /** Stops listening, resets all connections and sets the mode. */
    private void end(Mode newMode) {
        condition.mode = newMode;
        listeners.close();
        resetAll();
    }

    /**
     * Makes the node unreachable: new connections are never accepted. Open connections are still read and never
     * answered, so that the close of one by a proxy is noticed.
     */
    private void vanish() throws IOException {
        onLoop(() -> {
            condition.mode = Mode.VANISHED;
            listeners.close();
        });
        listeners.block();
    }

    /** Restarts the node cold and empty, and records the start. */
    private void start(boolean newAddresses) throws IOException {
        onLoop(this::restart);
        listeners.open(newAddresses);
        startedAtMs = System.currentTimeMillis();
        context.sink()
                .write(new NodeStart(
                        plan.id(),
                        System.nanoTime(),
                        plan.kind().capacity(),
                        plan.kind().coldShare(),
                        plan.kind().coldNanos()));
    }

    private void restart() {
        end(Mode.DEAD);
        processor.restart();
        condition.clear();
    }

    private void heal() throws IOException {
        boolean listensAgain =
                loop.submit(this::undoFaults).syncUninterruptibly().getNow();
        if (listensAgain) {
            listeners.open(false);
        }
    }

    /** Ends the faults that HEAL ends and returns whether the listeners were closed and must be opened. */
    private boolean undoFaults() {
        boolean wasClosed = condition.mode == Mode.VANISHED || condition.mode == Mode.REFUSING;
        boolean wasSuspended = condition.mode == Mode.HUNG || condition.mode == Mode.PAUSED;
        if (wasClosed) {
            // A machine that becomes reachable again has no state of its earlier connections.
            end(condition.mode);
        }
        condition.resetShare = 0;
        condition.mode = condition.mode == Mode.DEAD ? Mode.DEAD : Mode.UP;
        processor.restoreSpeed();
        processor.advance();
        if (wasSuspended) {
            List.copyOf(connections).forEach(NodeConnection::resume);
        }
        processor.schedule();
        return wasClosed;
    }

    void close() {
        listeners.close();
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.endRequest(request -> processor.end(request, Fate.SILENT));
            connection.channel.close();
        }
    }
}
