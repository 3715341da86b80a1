package burlarch.coordination.registry;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What one registry knows of one instance: its newest announcement, and three facts that are independent of each other.
 *
 * <p><em>Presence</em>, whose transitions {@link #moveTo} makes:
 *
 * <pre>
 * from            event                                                            to
 * (new), any      newer announcement, not GONE                                     HEARD
 * any             newer announcement, GONE, of an ordinary sequence                LOST
 * any             newer announcement, GONE, of the sequence of a final leave       LEFT
 * HEARD           silent for the expiry while this registry may have missed it     UNHEARD
 * HEARD, UNHEARD  silent for the expiry, or another instance has taken its address LOST
 * </pre>
 *
 * After LEFT no newer announcement is possible, so LEFT is final.
 *
 * <p><em>Draining</em>: set by an announcement that says so and never cleared (invariant <em>permanent drain</em>).
 *
 * <p><em>Loading</em>: set and cleared by the owner of the weights rollout, with a deadline.
 *
 * <p>The states that follow from them:
 *
 * <pre>
 * presence    draining  loading  believed here  stated to others  self-reported
 * LEFT        any       any      GONE           GONE              GONE
 * LOST        yes       any      GONE           GONE              DRAINING
 * LOST        no        any      GONE           GONE              (none)
 * UNHEARD     yes       any      DRAINING       DRAINING          DRAINING
 * UNHEARD     no        yes      LOADING        UNHEARD           (none)
 * UNHEARD     no        no       READY          UNHEARD           (none)
 * HEARD       yes       any      DRAINING       DRAINING          DRAINING
 * HEARD       no        yes      LOADING        LOADING           LOADING
 * HEARD       no        no       READY          READY             READY
 * </pre>
 */
final class RegistryEntry {
    /** Whether the instance is heard of. */
    private enum Presence {
        /** Its heartbeats come. */
        HEARD,
        /** No heartbeat came for the expiry, which may be this controller's own fault. */
        UNHEARD,
        /** Its heartbeats ended; a newer one brings it back. */
        LOST,
        /** It has left for good. */
        LEFT
    }

    private Instance announced;
    private Presence presence = Presence.HEARD;
    private boolean draining;
    /** When the loading state ends by itself; empty while the instance doesn't load. */
    private OptionalLong loadingDeadlineNanos = OptionalLong.empty();

    private long heardAtNanos;
    private long removedAtNanos;
    private long revision;

    /** Applies an announcement of a higher sequence than all before. */
    void onAnnouncement(Instance newer, long nowNanos) {
        announced = newer;
        draining |= newer.state() == InstanceState.DRAINING;
        heardAtNanos = nowNanos;
        moveTo(newer.state() == InstanceState.GONE ? removedPresence() : Presence.HEARD, nowNanos);
    }

    /** Its heartbeats ended, or another instance has its address. */
    void onLost(long nowNanos) {
        moveTo(removedPresence(), nowNanos);
    }

    /** No heartbeat came for the expiry, which may be this controller's own fault. */
    void onUnheard(long nowNanos) {
        moveTo(Presence.UNHEARD, nowNanos);
    }

    /** The instance loads weights, until {@link #endLoading} or the deadline. */
    void beginLoading(long deadlineNanos) {
        loadingDeadlineNanos = OptionalLong.of(deadlineNanos);
    }

    /** The instance loads no weights. */
    void endLoading() {
        loadingDeadlineNanos = OptionalLong.empty();
    }

    /** The registry's revision since which others are to see the present statement. */
    void setRevision(long newRevision) {
        revision = newRevision;
    }

    long revision() {
        return revision;
    }

    String id() {
        return announced.id();
    }

    String address() {
        return announced.address();
    }

    long sequence() {
        return announced.sequence();
    }

    boolean isUnheard() {
        return presence == Presence.UNHEARD;
    }

    boolean isRemoved() {
        return presence == Presence.LOST || presence == Presence.LEFT;
    }

    boolean hasLeft() {
        return presence == Presence.LEFT;
    }

    boolean isUnresponsive(long nowNanos, long expiryNanos) {
        return !isRemoved() && nowNanos - heardAtNanos >= expiryNanos;
    }

    boolean isForgettable(long nowNanos, long retentionNanos) {
        return isRemoved() && nowNanos - removedAtNanos >= retentionNanos;
    }

    boolean isLoadingOverdue(long nowNanos) {
        return loadingDeadlineNanos.isPresent() && nowNanos - loadingDeadlineNanos.getAsLong() >= 0;
    }

    /** The instance as this registry believes it to be. */
    Instance believed() {
        return announced.withState(believedState());
    }

    /** What this registry states to others: a drain or an end also of an instance that wasn't heard of. */
    Instance stated() {
        boolean statesNothing = presence == Presence.UNHEARD && !draining;
        return announced.withState(statesNothing ? InstanceState.UNHEARD : believedState());
    }

    /** What the instance said of itself and no missing heartbeat takes back; empty where only silence speaks. */
    Optional<Instance> selfReported() {
        if (hasLeft()) {
            return Optional.of(stated());
        }
        if (draining) {
            return Optional.of(announced.withState(InstanceState.DRAINING));
        }
        return presence == Presence.HEARD ? Optional.of(stated()) : Optional.empty();
    }

    private InstanceState believedState() {
        if (isRemoved()) {
            return InstanceState.GONE;
        }
        if (draining) {
            return InstanceState.DRAINING;
        }
        return loadingDeadlineNanos.isPresent() ? InstanceState.LOADING : InstanceState.READY;
    }

    private void moveTo(Presence next, long nowNanos) {
        presence = next;
        if (isRemoved()) {
            removedAtNanos = nowNanos;
        }
    }

    private Presence removedPresence() {
        return sequence() == InstanceRegistry.LEFT_SEQUENCE ? Presence.LEFT : Presence.LOST;
    }
}
