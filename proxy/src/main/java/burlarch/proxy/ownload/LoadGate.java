package burlarch.proxy.ownload;

import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Settings;
import burlarch.overload.LoadShedder;
import burlarch.proxy.Log;
import burlarch.proxy.RequestTable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Admission control against the proxy's own CPU overload. It asks {@link LoadShedder} before a request is accepted; the
 * port refuses a request that is not admitted at once. Used on the event loop only.
 */
public final class LoadGate {
    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final LoadShedder ownLoad;
    private final Settings settings;
    private final LongSupplier lagNanos;
    private long lastLogNanos;
    private long loggedRefused;

    /**
     * Creates the admission control.
     *
     * @param beatNanos the period of {@link #beat}
     * @param lagNanos how long data that is read now may have waited in its socket, in nanoseconds
     */
    public LoadGate(long nowNanos, long beatNanos, Settings settings, LongSupplier lagNanos) {
        this.ownLoad = new LoadShedder(
                nowNanos,
                beatNanos,
                settings.classes().stream().mapToDouble(RequestClass::worth).toArray());
        this.settings = settings;
        this.lagNanos = lagNanos;
        this.lastLogNanos = nowNanos - LOG_INTERVAL_NANOS;
    }

    /** Updates the load estimate; called by the event loop periodically. Logs refusals at most every 10 s. */
    public void beat(long nowNanos) {
        ownLoad.beat(nowNanos);
        if (ownLoad.refused() > loggedRefused && nowNanos - lastLogNanos >= LOG_INTERVAL_NANOS) {
            Log.line("CPU overload: the event loop is " + TimeUnit.NANOSECONDS.toMillis(ownLoad.standingLagNanos())
                    + " ms behind, " + (ownLoad.refused() - loggedRefused) + " requests refused");
            lastLogNanos = nowNanos;
            loggedRefused = ownLoad.refused();
        }
    }

    /** Returns whether the request is admitted; if not, the caller refuses it at once. */
    public boolean admits(RequestTable.ClientRequest clientRequest) {
        return ownLoad.admits(
                settings.classes().get(clientRequest.requestClass()).worth(),
                lagNanos.getAsLong(),
                TimeUnit.MILLISECONDS.toNanos(clientRequest.timeoutMs()));
    }

    /** Returns the retry delay for a request that was just refused; 0 if the settings disable retry advice. */
    public long retryAfterNanos() {
        return settings.limits().retryAfter()
                ? Math.min(settings.limits().maxRetryAfterNanos(), ownLoad.retryAfterNanos())
                : 0;
    }
}
