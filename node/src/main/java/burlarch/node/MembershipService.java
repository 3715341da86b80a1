package burlarch.node;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.MemberState;
import burlarch.coordination.membership.swim.Swim;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.coordination.membership.swim.SwimStep;
import burlarch.transport.DatagramEndpoint;
import burlarch.transport.EventLoop;
import burlarch.transport.SelectorEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.tinylog.Logger;

/**
 * Service that runs the membership protocol {@link Swim} on a UDP port: sends and receives its datagrams, runs its
 * timer and notifies listeners of changes. It owns the protocol state, which is confined to the event loop; methods
 * must be called there unless they say otherwise.
 */
public final class MembershipService implements AutoCloseable {
    /** Capacity of the cache of socket addresses, which is cleared when it is full. */
    private static final int MAX_CACHED_SOCKET_ADDRESSES = 4_096;

    private static final long LEAVE_TIMEOUT_MILLIS = 300;

    /**
     * State of the service. {@link #start()} changes CREATED to RUNNING; {@link #close()} and {@link #leave()} change
     * any state to CLOSED, which is final.
     */
    private enum Lifecycle {
        CREATED,
        RUNNING,
        CLOSED
    }

    private final SelectorEventLoop loop;
    private final DatagramEndpoint endpoint;
    private final Swim swim;
    private final List<Listener> listeners = new ArrayList<>();
    private final Map<String, InetSocketAddress> socketsByAddress = new HashMap<>();
    private EventLoop.Timer timer;
    private long timerDueAtNanos;
    private Lifecycle lifecycle = Lifecycle.CREATED;

    /**
     * Identity of this process in the membership.
     *
     * @param processId random number of this run of the process, never 0
     */
    public record Self(String name, String role, String zone, long processId) {}

    /** Listener for membership changes; called on the event loop. */
    public interface Listener {
        /** Receives the changes that one datagram or timer caused, in order; the list is never empty. */
        void onChanges(List<MemberChange> changes);
    }

    /**
     * Binds the port. Before {@link #start()} nothing is sent and received datagrams are ignored.
     *
     * @param bind local address to receive datagrams at
     * @param seeds addresses, in the form {@code IP:PORT}, at which other members may be found
     * @throws IOException if the address cannot be bound
     */
    public MembershipService(
            SelectorEventLoop loop, Self self, InetSocketAddress bind, List<String> seeds, SwimSettings settings)
            throws IOException {
        this.loop = loop;
        endpoint = new DatagramEndpoint(loop, bind, this::onDatagram);
        MemberInfo ownInfo =
                new MemberInfo(self.name(), format(endpoint.address()), self.role(), self.zone(), self.processId());
        swim = new Swim(ownInfo, seeds, settings, self.processId(), loop.nanoTime());
    }

    /** Adds a listener, which is notified of later changes only. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Starts the protocol, which looks for the other members; may be called on any thread. */
    public void start() {
        loop.execute(() -> {
            if (lifecycle == Lifecycle.CREATED) {
                lifecycle = Lifecycle.RUNNING;
            }
            onTimer();
        });
    }

    /** Returns the address, {@code IP:PORT}, at which other members reach this one; may be called on any thread. */
    public String address() {
        return swim.own().address();
    }

    /** Returns whether any other member is known. */
    public boolean hasJoined() {
        return swim.joined();
    }

    /** Returns the live members except this one, in no particular order. */
    public List<MemberInfo> members() {
        return swim.members();
    }

    /** Returns the state of a member in the local view; empty if the member is not known. */
    public Optional<MemberState> stateOf(String name) {
        return swim.stateOf(name);
    }

    /**
     * Announces to some members that this process leaves, and closes the service. May be called on any thread. The
     * future completes when the announcement has been sent.
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> announced = new CompletableFuture<>();
        loop.execute(() -> {
            if (lifecycle != Lifecycle.CLOSED) {
                handle(swim.leave(loop.nanoTime()));
                close();
            }
            announced.complete(null);
        });
        return announced;
    }

    /** Calls {@link #leave()} and waits for it up to a short timeout; must not be called on the event loop. */
    public void leaveWithinTimeout() {
        try {
            leave().get(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.debug("departure not announced to other members");
        }
    }

    /** Returns the addresses of the members with {@code role} that became live by these changes. */
    public static List<String> addressesOfNewMembers(List<MemberChange> changes, String role) {
        List<String> addresses = new ArrayList<>(0);
        for (MemberChange change : changes) {
            if (change.appeared() && change.member().role().equals(role)) {
                addresses.add(change.member().address());
            }
        }
        return addresses;
    }

    /**
     * Closes the service without an announcement, so that the other members detect it as a failure; may be called on
     * any thread.
     */
    @Override
    public void close() {
        endpoint.close();
        if (loop.inEventLoop()) {
            stopTimer();
        } else {
            loop.execute(this::stopTimer);
        }
    }

    private void stopTimer() {
        lifecycle = Lifecycle.CLOSED;
        if (timer != null) {
            timer.cancel();
        }
    }

    private void onDatagram(InetSocketAddress sender, byte[] content) {
        if (lifecycle == Lifecycle.RUNNING) {
            handle(swim.onDatagram(format(sender), content, loop.nanoTime()));
        }
    }

    private void onTimer() {
        timer = null;
        if (lifecycle != Lifecycle.CLOSED) {
            handle(swim.onTimer(loop.nanoTime()));
        }
    }

    private void handle(SwimStep step) {
        wakeUpAt(step.wakeUpAtNanos());
        for (SwimStep.Datagram datagram : step.datagrams()) {
            endpoint.send(resolve(datagram.to()), datagram.bytes());
        }
        if (!step.changes().isEmpty()) {
            step.changes().forEach(MembershipService::log);
            listeners.forEach(listener -> listener.onChanges(step.changes()));
        }
    }

    private void wakeUpAt(long dueAtNanos) {
        if (timer != null) {
            if (timerDueAtNanos == dueAtNanos) {
                return;
            }
            timer.cancel();
        }
        timerDueAtNanos = dueAtNanos;
        timer = loop.schedule(dueAtNanos - loop.nanoTime(), this::onTimer);
    }

    private InetSocketAddress resolve(String address) {
        InetSocketAddress socketAddress = socketsByAddress.get(address);
        if (socketAddress == null) {
            if (socketsByAddress.size() >= MAX_CACHED_SOCKET_ADDRESSES) {
                socketsByAddress.clear();
            }
            socketAddress = NodeAddresses.socket(address);
            socketsByAddress.put(address, socketAddress);
        }
        return socketAddress;
    }

    private static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static void log(MemberChange change) {
        MemberInfo member = change.member();
        if (member.role().equals(NodeRoles.CONTROLLER)) {
            Logger.info(
                    "member changed: role={} name={} address={} state={}",
                    member.role(),
                    member.name(),
                    member.address(),
                    change.after());
        } else {
            Logger.debug(
                    "member changed: role={} name={} address={} state={}",
                    member.role(),
                    member.name(),
                    member.address(),
                    change.after());
        }
    }
}
