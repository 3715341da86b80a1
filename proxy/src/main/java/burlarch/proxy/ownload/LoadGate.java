package burlarch.proxy.ownload;

import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Settings;
import burlarch.overload.OwnLoad;
import burlarch.proxy.Log;
import burlarch.proxy.RequestTable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Asks {@link OwnLoad} before a request is taken: what is not admitted is refused by the port, at once. */
public final class LoadGate {
    private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final OwnLoad load;
    private final Settings settings;
    private final LongSupplier lag;
    private long loggedNanos;
    private long loggedRefused;

    /**
     * @param beatNanos the period of {@link #beat}
     * @param lag       how long what is read now may have lain in its socket, in nanoseconds
     */
    public LoadGate(long nowNanos, long beatNanos, Settings settings, LongSupplier lag) {
        this.load = new OwnLoad(
                nowNanos,
                beatNanos,
                settings.classes().stream().mapToDouble(RequestClass::worth).toArray());
        this.settings = settings;
        this.lag = lag;
        this.loggedNanos = nowNanos - LOG_NANOS;
    }

    /** The loop's beat. */
    public void beat(long nowNanos) {
        load.beat(nowNanos);
        if (load.refused() > loggedRefused && nowNanos - loggedNanos >= LOG_NANOS) {
            Log.line("short of CPU: the loop is " + TimeUnit.NANOSECONDS.toMillis(load.standingLagNanos())
                    + " ms behind, " + (load.refused() - loggedRefused) + " requests turned away for it");
            loggedNanos = nowNanos;
            loggedRefused = load.refused();
        }
    }

    public boolean admits(RequestTable.Arrival arrival) {
        return load.admits(
                settings.classes().get(arrival.requestClass()).worth(),
                lag.getAsLong(),
                TimeUnit.MILLISECONDS.toNanos(arrival.timeoutMs()));
    }

    /** @return for a request that has just been turned away; 0 where the settings allow none */
    public long retryAfterNanos() {
        return settings.limits().retryAfter()
                ? Math.min(settings.limits().maxRetryAfterNanos(), load.retryAfterNanos())
                : 0;
    }
}
