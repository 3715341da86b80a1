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
 * Periodic confirmation of the configuration in force by a controller. API keys are accepted only while none of them
 * can have been revoked for longer than the deployment allows. Without a response of a controller that has a quorum,
 * the router stops accepting keys when that time has passed, until a controller responds again.
 *
 * <p>All routers prefer the same controller, the first by name, so that one quorum read serves many routers. A
 * controller without a quorum does not respond, and the router asks the next one. Runs on the event loop;
 * {@link #mayAccept} may be called on any thread.
 */
public final class ConfigurationConfirmer {
    /** Interval between confirmed requests. */
    static final long PERIOD_NANOS = 1_500_000_000L;
    /** Time for a controller to respond before the router asks the next one. */
    static final long RESPONSE_TIMEOUT_NANOS = 700_000_000L;
    /** Interval of the check whether a request is due. */
    static final long CHECK_INTERVAL_NANOS = 250_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Whether keys are accepted; updated at each check and used only for logging. */
    private enum KeyState {
        KEYS_REJECTED,
        KEYS_ACCEPTED
    }

    private final EventLoop loop;
    private final long maxAgeNanos;
    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();
    private Supplier<Collection<PeerConnection>> controllers = List::of;
    private int unansweredRequests;
    private KeyState keyState = KeyState.KEYS_REJECTED;

    /**
     * Creates a confirmer that has not started.
     *
     * @param maxAgeNanos time after a confirmation for which the keys of the configuration are accepted
     */
    public ConfigurationConfirmer(EventLoop loop, long maxAgeNanos) {
        this.loop = loop;
        this.maxAgeNanos = maxAgeNanos;
    }

    /**
     * Starts to send requests. Must be called once, on the event loop.
     *
     * @param connectedControllers supplies the controllers that are connected at the moment
     */
    public void start(Supplier<Collection<PeerConnection>> connectedControllers) {
        controllers = connectedControllers;
        check();
    }

    private void check() {
        logKeyStateChange();
        if (isRequestDue()) {
            request();
        }
        loop.schedule(CHECK_INTERVAL_NANOS, this::check);
    }

    private void logKeyStateChange() {
        KeyState newState = mayAccept(loop.nanoTime()) ? KeyState.KEYS_ACCEPTED : KeyState.KEYS_REJECTED;
        if (newState == keyState) {
            return;
        }
        keyState = newState;
        if (keyState == KeyState.KEYS_ACCEPTED) {
            Logger.info("configuration confirmed, keys are accepted");
        } else {
            Logger.warn(
                    "configuration not confirmed in time, keys are rejected: maxAgeMillis={} connectedControllers={}",
                    maxAgeNanos / NANOS_PER_MILLI,
                    controllers.get().size());
        }
    }

    private boolean isRequestDue() {
        long nowNanos = loop.nanoTime();
        if (!confirmation.isPending()) {
            return !confirmation.isConfirmedSince(nowNanos - PERIOD_NANOS);
        }
        if (nowNanos - confirmation.requestedAtNanos() < RESPONSE_TIMEOUT_NANOS) {
            return false;
        }
        unansweredRequests++;
        return true;
    }

    private void request() {
        List<PeerConnection> connected = new ArrayList<>(controllers.get());
        if (connected.isEmpty()) {
            return;
        }
        connected.sort(Comparator.comparing(connection -> connection.peerHello().nodeName()));
        PeerConnection controller = connected.get(Math.floorMod(unansweredRequests, connected.size()));
        controller.send(new ConfirmConfiguration(confirmation.onRequest(loop.nanoTime())));
    }

    /** Called when a controller is connected. A router that has just started sends it a request immediately. */
    void onControllerConnected() {
        if (!confirmation.isPending() && isRequestDue()) {
            request();
        }
    }

    /** Called when a controller has responded; {@code inForceVersion} is 0 while no configuration is in force. */
    void onConfirmed(ConfigurationConfirmed response, long inForceVersion) {
        confirmation.onResponse(response.request(), response.version(), inForceVersion);
    }

    /** Called when the given version is in force. */
    void onInForce(long version) {
        confirmation.onInForce(version);
    }

    /**
     * Whether the API key of a request may be accepted.
     *
     * @param receivedNanos time at which the request was received, by the clock of the event loop
     */
    public boolean mayAccept(long receivedNanos) {
        return confirmation.isConfirmedSince(receivedNanos - maxAgeNanos);
    }
}
