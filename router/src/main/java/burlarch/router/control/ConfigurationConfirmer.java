package burlarch.router.control;

import burlarch.transport.EventLoop;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import burlarch.transport.NodeMessage.ConfirmConfiguration;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;
import org.tinylog.Logger;

/**
 * Has the configuration in force confirmed by a controller periodically, so that keys are accepted only as long as
 * none of
 * them can have been revoked for longer than the deployment allows. A router that no controller with a quorum
 * responds to
 * accepts no keys once that time is over, until one responds again.
 *
 * <p>All routers prefer the same controller, the first by name, so that one quorum read serves many of them. A
 * controller
 * without a quorum does not respond, and the next one is asked. Runs on the event loop; {@link #mayAccept} on any
 * thread.
 */
public final class ConfigurationConfirmer {
    /** Time from one confirmed request to the next. */
    static final long PERIOD_NANOS = 1_500_000_000L;
    /** How long a controller may take to respond before the next one is asked. */
    static final long RESPONSE_TIMEOUT_NANOS = 700_000_000L;
    /** How often it is checked whether a request is due. */
    static final long CHECK_INTERVAL_NANOS = 250_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Whether keys are accepted; updated at each check, for the log alone. */
    private enum State {
        KEYS_REJECTED,
        KEYS_ACCEPTED
    }

    private final EventLoop loop;
    private final long maxAgeNanos;
    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();
    private Supplier<Collection<PeerConnection>> controllers = List::of;
    private int unanswered;
    private State state = State.KEYS_REJECTED;

    /** @param maxAgeNanos for how long after its confirmation the configuration's keys are accepted */
    public ConfigurationConfirmer(EventLoop loop, long maxAgeNanos) {
        this.loop = loop;
        this.maxAgeNanos = maxAgeNanos;
    }

    /**
     * Starts to send requests; to be called once, on the loop.
     *
     * @param connectedControllers the controllers that are connected at the moment
     */
    public void start(Supplier<Collection<PeerConnection>> connectedControllers) {
        controllers = connectedControllers;
        check();
    }

    private void check() {
        reportState();
        if (isRequestDue()) {
            request();
        }
        loop.schedule(CHECK_INTERVAL_NANOS, this::check);
    }

    private void reportState() {
        State next = mayAccept(loop.nanoTime()) ? State.KEYS_ACCEPTED : State.KEYS_REJECTED;
        if (next == state) {
            return;
        }
        state = next;
        if (state == State.KEYS_ACCEPTED) {
            Logger.info("configuration confirmed, keys are accepted");
        } else {
            Logger.warn(
                    "configuration not confirmed in time, keys are rejected: maxAgeMillis={} connectedControllers={}",
                    maxAgeNanos / NANOS_PER_MILLI,
                    controllers.get().size());
        }
    }

    private boolean isRequestDue() {
        long now = loop.nanoTime();
        if (!confirmation.isPending()) {
            return !confirmation.isConfirmedSince(now - PERIOD_NANOS);
        }
        if (now - confirmation.requestedAtNanos() < RESPONSE_TIMEOUT_NANOS) {
            return false;
        }
        unanswered++;
        return true;
    }

    private void request() {
        List<PeerConnection> connected = new ArrayList<>(controllers.get());
        if (connected.isEmpty()) {
            return;
        }
        connected.sort(Comparator.comparing(connection -> connection.peerHello().nodeName()));
        PeerConnection chosen = connected.get(Math.floorMod(unanswered, connected.size()));
        chosen.send(new ConfirmConfiguration(confirmation.onRequest(loop.nanoTime())));
    }

    /** A controller is connected. A router that has just started asks it at once. */
    void onControllerConnected() {
        if (!confirmation.isPending() && isRequestDue()) {
            request();
        }
    }

    /** A controller has responded; {@code inForceVersion} is 0 while no configuration is in force. */
    void onConfirmed(ConfigurationConfirmed response, long inForceVersion) {
        confirmation.onResponse(response.request(), response.version(), inForceVersion);
    }

    /** A configuration is in force. */
    void onInForce(long version) {
        confirmation.onInForce(version);
    }

    /**
     * Whether keys may be accepted from a request.
     *
     * @param receivedNanos when the request was received, by the loop's clock
     */
    public boolean mayAccept(long receivedNanos) {
        return confirmation.isConfirmedSince(receivedNanos - maxAgeNanos);
    }
}
