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
 * A cache node, or the ledger: its listeners, connections and faults. Its requests are the
 * {@link RequestProcessor}'s. Confined to one loop; {@link #address}, {@link #listen} and {@link #inject} are
 * not.
 */
final class NodeServer {
    private static final long IDLE_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Times slower, as a process that is stopped is: no work is done in any span that is played. */
    private static final double STANDSTILL = 1e9;

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

    /** Where it listens, or last did, for a vantage. */
    InetSocketAddress address(String vantage) {
        return listeners.address(vantage);
    }

    /** Unix time of its last start; 0 for long ago. */
    long startedAtMs() {
        return startedAtMs;
    }

    Map<String, Object> state() {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("id", plan.id());
        state.put("zone", plan.zone());
        state.put("mode", condition.mode + (condition.draining ? " DRAINING" : ""));
        state.put("in_work", processor.inWork());
        state.put("waiting", processor.waiting());
        state.put("connections", connections.size());
        state.put("objects", processor.objects());
        state.put("served", processor.served());
        state.put("falls", processor.falls());
        return state;
    }

    // ---- connections

    /**
     * Not from the loop, which binds later.
     *
     * @throws IOException where an address can't be had, naming it
     */
    void listen() throws IOException {
        listeners.open(false);
    }

    private void accept(Channel channel, FleetPlan.Vantage vantage) {
        if (connections.size() >= plan.kind().connections() || condition.mode == Mode.REFUSING) {
            Transport.reset(channel);
            return;
        }
        NodeConnection connection = new NodeConnection(this, channel, vantage);
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

    private void resetAll() {
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.endAll(exchange -> processor.end(exchange, Fate.RESET));
            Transport.reset(connection.channel);
        }
    }

    // ---- faults

    /** Carries a fault out, from the fleet's one thread for such; it is done when this returns. */
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
            default -> throw new IllegalArgumentException(fault.kind() + " is not a node's");
        }
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    private void pause() {
        processor.slow(STANDSTILL);
        condition.mode = Mode.PAUSED;
    }

    private void end(Mode how) {
        condition.mode = how;
        listeners.close();
        resetAll();
    }

    /**
     * New connections never come up. Those that are open are read and never answered, so that it is still
     * seen when a proxy closes one.
     */
    private void vanish() throws IOException {
        onLoop(() -> {
            condition.mode = Mode.VANISHED;
            listeners.close();
        });
        listeners.block();
    }

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
        condition.restarted();
    }

    private void heal() throws IOException {
        boolean listensAgain =
                loop.submit(this::undoFaults).syncUninterruptibly().getNow();
        if (listensAgain) {
            listeners.open(false);
        }
    }

    /** @return whether its listeners were closed and are to be opened */
    private boolean undoFaults() {
        boolean back = condition.mode == Mode.VANISHED || condition.mode == Mode.REFUSING;
        boolean hung = condition.mode == Mode.HUNG || condition.mode == Mode.PAUSED;
        if (back) {
            // A machine that comes back knows nothing of connections from before.
            end(condition.mode);
        }
        condition.resetShare = 0;
        condition.mode = condition.mode == Mode.DEAD ? Mode.DEAD : Mode.UP;
        processor.normalSpeed();
        processor.advance();
        if (hung) {
            List.copyOf(connections).forEach(NodeConnection::resume);
        }
        processor.schedule();
        return back;
    }

    void close() {
        listeners.close();
        for (NodeConnection connection : List.copyOf(connections)) {
            connection.endAll(exchange -> processor.end(exchange, Fate.SILENT));
            connection.channel.close();
        }
    }
}
