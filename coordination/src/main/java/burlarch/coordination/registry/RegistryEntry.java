package burlarch.coordination.registry;

import java.util.Objects;
import java.util.Optional;

/** What a registry knows of one instance. */
final class RegistryEntry {
    private Instance announced;
    private boolean draining;
    private boolean gone;
    private boolean loading;
    private boolean unheard;
    private long heardNanos;
    private long goneNanos;
    private long loadingUntilNanos;
    private long revision;

    /** Takes an announcement that is newer than all before. */
    void take(Instance newer, long nowNanos) {
        announced = newer;
        draining |= newer.state() == InstanceState.DRAINING;
        gone = newer.state() == InstanceState.GONE;
        unheard = false;
        heardNanos = nowNanos;
        goneNanos = nowNanos;
    }

    /** Marks it as gone until a newer announcement says otherwise. */
    void lose(long nowNanos) {
        gone = true;
        goneNanos = nowNanos;
    }

    /** Nothing was heard of it for a while, which may be this controller's own fault. */
    void markUnheard() {
        unheard = true;
    }

    boolean isUnheard() {
        return unheard;
    }

    void load(boolean loads, long untilNanos) {
        loading = loads;
        loadingUntilNanos = untilNanos;
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

    boolean isRemoved() {
        return gone;
    }

    /** Whether it is gone for good. */
    boolean hasLeft() {
        return gone && sequence() == InstanceRegistry.LEFT_SEQUENCE;
    }

    boolean isUnresponsive(long nowNanos, long expiryNanos) {
        return !gone && nowNanos - heardNanos >= expiryNanos;
    }

    boolean isForgettable(long nowNanos, long keepNanos) {
        return gone && nowNanos - goneNanos >= keepNanos;
    }

    boolean hasLoadedTooLong(long nowNanos) {
        return loading && nowNanos - loadingUntilNanos >= 0;
    }

    long revision() {
        return revision;
    }

    void changedAt(long newRevision) {
        revision = newRevision;
    }

    /** The instance as this registry believes it to be. */
    Instance view() {
        return withState(state());
    }

    /** What this registry tells others of the instance: a drain or an end also of one that wasn't heard. */
    Instance statement() {
        boolean saysNothing = unheard && !gone && !draining;
        return withState(saysNothing ? InstanceState.UNHEARD : state());
    }

    /** What the instance said of itself and no silence takes back; empty where only silence speaks. */
    Optional<Instance> selfReported() {
        if (hasLeft()) {
            return Optional.of(statement());
        }
        if (draining) {
            return Optional.of(withState(InstanceState.DRAINING));
        }
        return gone || unheard ? Optional.empty() : Optional.of(statement());
    }

    private Instance withState(InstanceState state) {
        return new Instance(
                announced.id(),
                announced.service(),
                announced.address(),
                announced.zone(),
                announced.softwareVersion(),
                announced.capacity(),
                state,
                announced.warmupLeftMillis(),
                announced.models(),
                announced.sequence());
    }

    private InstanceState state() {
        if (gone) {
            return InstanceState.GONE;
        }
        if (draining) {
            return InstanceState.DRAINING;
        }
        return loading ? InstanceState.LOADING : InstanceState.READY;
    }

    /** Whether two views tell the same: all but what each heartbeat changes. */
    static boolean hasSameContent(Instance one, Instance other) {
        return one.state() == other.state()
                && one.capacity() == other.capacity()
                && Objects.equals(one.service(), other.service())
                && Objects.equals(one.address(), other.address())
                && Objects.equals(one.zone(), other.zone())
                && Objects.equals(one.softwareVersion(), other.softwareVersion())
                && Objects.equals(one.models(), other.models());
    }
}
