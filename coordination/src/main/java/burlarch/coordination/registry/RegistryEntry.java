package burlarch.coordination.registry;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * A registry's entry of one instance: its newest announcement, and three independent facts.
 *
 * <p><em>Presence</em>, whose transitions {@link #moveTo} makes:
 *
 * <pre>
 * from            event                                                            to
 * (new), any      newer announcement, not GONE                                     HEARD
 * any             newer announcement, GONE, of an ordinary sequence                LOST
 * any             newer announcement, GONE, of the sequence of a final leave       LEFT
 * HEARD           no heartbeat for the expiry, but it may have been missed here    UNHEARD
 * HEARD, UNHEARD  no heartbeat for the expiry, or another instance at its address  LOST
 * </pre>
 *
 * After LEFT no newer announcement is possible, so LEFT is final.
 *
 * <p><em>Draining</em>: set by an announcement in state DRAINING and never cleared (invariant <em>permanent
 * drain</em>).
 *
 * <p><em>Loading</em>: set and cleared by the owner of the weights rollout, with a deadline.
 *
 * <p>The states that follow from them:
 *
 * <pre>
 * presence    draining  loading  local view     published         self-reported
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
    /** Whether heartbeats of the instance are received. */
    private enum Presence {
        /** Its heartbeats are received. */
        HEARD,
        /** No heartbeat came for the expiry, which may be this controller's own fault. */
        UNHEARD,
        /** Its heartbeats ended; a newer announcement brings it back. */
        LOST,
        /** It has left permanently. */
        LEFT
    }

    private Instance announced;
    private Presence presence = Presence.HEARD;
    private boolean draining;
    /** When the loading state ends by itself; empty while the instance does not load. */
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

    /** Records that its heartbeats ended, or that another instance has its address. */
    void onLost(long nowNanos) {
        moveTo(removedPresence(), nowNanos);
    }

    /** No heartbeat came for the expiry, which may be this controller's own fault. */
    void onUnheard(long nowNanos) {
        moveTo(Presence.UNHEARD, nowNanos);
    }

    /** Records that the instance loads weights, until {@link #endLoading} or the deadline. */
    void beginLoading(long deadlineNanos) {
        loadingDeadlineNanos = OptionalLong.of(deadlineNanos);
    }

    /** Records that the instance no longer loads weights. */
    void endLoading() {
        loadingDeadlineNanos = OptionalLong.empty();
    }

    /** Sets the registry's revision of the last change of the published view. */
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

    boolean isDraining() {
        return draining;
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

    /** Returns the instance in the view of this registry. */
    Instance localView() {
        return announced.withState(localState());
    }

    /**
     * Returns the instance as this registry publishes it. A drain or an end is published even while heartbeats are
     * missing.
     */
    Instance published() {
        boolean unknownState = presence == Presence.UNHEARD && !draining;
        return announced.withState(unknownState ? InstanceState.UNHEARD : localState());
    }

    /**
     * Returns the announcement that stays valid without heartbeats; empty if there is none, because the instance is
     * lost or unheard and does not drain.
     */
    Optional<Instance> selfReported() {
        if (hasLeft()) {
            return Optional.of(published());
        }
        if (draining) {
            return Optional.of(announced.withState(InstanceState.DRAINING));
        }
        return presence == Presence.HEARD ? Optional.of(published()) : Optional.empty();
    }

    private InstanceState localState() {
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
