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
 * The membership protocol {@link Swim} on a UDP port: sends and receives its datagrams, runs its one timer and notifies
 * listeners of changes. Runs on the event loop and owns the Swim; methods are called there unless they say otherwise.
 */
public final class MembershipService implements AutoCloseable {
    /** The most cached socket addresses; beyond it the cache starts anew. */
    private static final int MAX_CACHED_ADDRESSES = 4_096;

    private static final long LEAVE_TIMEOUT_MILLIS = 300;

    /**
     * CREATED to RUNNING by {@link #start()}; any to CLOSED by {@link #close()} or {@link #leave()}; CLOSED is final.
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
    private final Map<String, InetSocketAddress> sockets = new HashMap<>();
    private EventLoop.Timer timer;
    private long timerDueAtNanos;
    private Lifecycle lifecycle = Lifecycle.CREATED;

    /**
     * Who this process is among the members.
     *
     * @param processId drawn anew at each start, never 0
     */
    public record Self(String name, String role, String zone, long processId) {}

    /** Notified on the event loop. */
    public interface Listener {
        /** The changes that one datagram or timer caused, in order; never empty. */
        void onChanges(List<MemberChange> changes);
    }

    /**
     * Binds the port. Nothing is sent, and datagrams are ignored, before {@link #start()}.
     *
     * @param bind the address to receive datagrams at
     * @param seeds addresses IP:PORT at which other members may be
     * @throws IOException if the address cannot be bound
     */
    public MembershipService(
            SelectorEventLoop loop, Self self, InetSocketAddress bind, List<String> seeds, SwimSettings settings)
            throws IOException {
        this.loop = loop;
        endpoint = new DatagramEndpoint(loop, bind, this::onDatagram);
        MemberInfo own =
                new MemberInfo(self.name(), text(endpoint.address()), self.role(), self.zone(), self.processId());
        swim = new Swim(own, seeds, settings, self.processId(), loop.nanoTime());
    }

    /** Adds a listener; it hears of later changes only. */
    public void addListener(Listener listener) {
        listeners.add(listener);
    }

    /** Starts to look for the other members; may be called on any thread. */
    public void start() {
        loop.execute(() -> {
            if (lifecycle == Lifecycle.CREATED) {
                lifecycle = Lifecycle.RUNNING;
            }
            onTimer();
        });
    }

    /** The address IP:PORT at which other members reach this one; may be called on any thread. */
    public String address() {
        return swim.own().address();
    }

    /** Whether any other member is known. */
    public boolean hasJoined() {
        return swim.joined();
    }

    /** The live members without this one, in no particular order. */
    public List<MemberInfo> members() {
        return swim.members();
    }

    /** The member's state in the local view, empty where the member isn't known. */
    public Optional<MemberState> stateOf(String name) {
        return swim.stateOf(name);
    }

    /**
     * Announces to some members that this process leaves, and closes. May be called on any thread; done when the
     * announcement has been sent.
     */
    public CompletableFuture<Void> leave() {
        CompletableFuture<Void> sent = new CompletableFuture<>();
        loop.execute(() -> {
            if (lifecycle != Lifecycle.CLOSED) {
                handle(swim.leave(loop.nanoTime()));
                close();
            }
            sent.complete(null);
        });
        return sent;
    }

    /** Calls {@link #leave()} and waits a short time for it; must not be called on the event loop. */
    public void leaveWithinTimeout() {
        try {
            leave().get(LEAVE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.debug("departure not announced to other members");
        }
    }

    /** The addresses of the members with this role that became live by the changes. */
    public static List<String> appearedAddresses(List<MemberChange> changes, String role) {
        List<String> addresses = new ArrayList<>(0);
        for (MemberChange change : changes) {
            if (change.appeared() && change.member().role().equals(role)) {
                addresses.add(change.member().address());
            }
        }
        return addresses;
    }

    /** Closes without an announcement, so that the others have to detect it; may be called on any thread. */
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

    private void onDatagram(InetSocketAddress from, byte[] content) {
        if (lifecycle == Lifecycle.RUNNING) {
            handle(swim.onDatagram(text(from), content, loop.nanoTime()));
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
            endpoint.send(socket(datagram.to()), datagram.bytes());
        }
        if (!step.changes().isEmpty()) {
            step.changes().forEach(MembershipService::log);
            listeners.forEach(listener -> listener.onChanges(step.changes()));
        }
    }

    private void wakeUpAt(long due) {
        if (timer != null) {
            if (timerDueAtNanos == due) {
                return;
            }
            timer.cancel();
        }
        timerDueAtNanos = due;
        timer = loop.schedule(due - loop.nanoTime(), this::onTimer);
    }

    private InetSocketAddress socket(String address) {
        InetSocketAddress known = sockets.get(address);
        if (known == null) {
            if (sockets.size() >= MAX_CACHED_ADDRESSES) {
                sockets.clear();
            }
            known = NodeAddresses.socket(address);
            sockets.put(address, known);
        }
        return known;
    }

    private static String text(InetSocketAddress address) {
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
