package burlarch.routing.planner;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.admission.FetchAdmission;
import burlarch.routing.admission.RetryBudget;
import burlarch.routing.admission.UrgencyExchange;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineSpeed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One service: its configuration, its instances, the newest weights versions that were seen, and averages over
 * its requests. {@link FleetState} owns it and sets its instances.
 */
final class ServiceState {
    private static final double MEAN_GAIN = 0.02;
    private static final double FETCH_GAIN = 0.1;

    private record SeenVersion(long version, long sinceNanos) {}

    private final EngineSpeed speed = new EngineSpeed();
    private final List<Engine> engines = new ArrayList<>();
    private final RetryBudget budget;
    private final FetchAdmission admission;
    private final UrgencyExchange urgencyExchange = new UrgencyExchange();
    private final Map<String, SeenVersion> newestVersions = new HashMap<>(2);
    private Service service;
    private double meanPrefillTokens = 1_000;
    private double meanFetchTokens = 2_000;
    private double meanMemoryTokens = 2_000;

    ServiceState(Service service, RetryBudget budget, FetchAdmission admission) {
        this.service = service;
        this.budget = budget;
        this.admission = admission;
    }

    void update(Service configured) {
        service = configured;
    }

    /** Average speed of its instances. */
    EngineSpeed speed() {
        return speed;
    }

    /** Its instances in any state; the list itself, which {@link FleetState} changes. */
    List<Engine> engines() {
        return engines;
    }

    RetryBudget budget() {
        return budget;
    }

    FetchAdmission admission() {
        return admission;
    }

    /** Gives its urgent fetches the capacity of less urgent requests. */
    UrgencyExchange urgencyExchange() {
        return urgencyExchange;
    }

    /** Whether its instances are model engines, with a prefix cache. */
    boolean isModelService() {
        return service.engine() != null;
    }

    /** KV cache of each engine in tokens, 0 if not configured. */
    long kvCapacity() {
        return service.engine() == null ? 0 : service.engine().kvCapacity();
    }

    /** Bytes of KV cache for each token. Only for model services. */
    long tokenBytes() {
        return service.engine().kvTokenBytes();
    }

    /** Nominal link speed of its engines in Mbit/s. Only for model services. */
    double linkMbps() {
        return service.engine().linkMbps();
    }

    /** Mean number of tokens that a request leaves to prefill. */
    double meanPrefillTokens() {
        return meanPrefillTokens;
    }

    /** Mean KV cache that a request uses, in tokens. */
    double meanMemoryTokens() {
        return meanMemoryTokens;
    }

    /** Fetches that all ready engines together can prefill in a second. */
    double sustainableFetchesPerSecond() {
        double tokensPerSecond = 0;
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            tokensPerSecond += engine.isReady() ? engine.speed().tokensPerNano() * 1e9 : 0;
        }
        return tokensPerSecond / Math.max(1, meanFetchTokens);
    }

    /** An attempt of a request to this service was sent. */
    void onSent(InFlightAttempt attempt) {
        if (attempt.isFetch()) {
            meanFetchTokens += (attempt.tokensToPrefill() - meanFetchTokens) * FETCH_GAIN;
        }
        meanPrefillTokens += (attempt.tokensToPrefill() - meanPrefillTokens) * MEAN_GAIN;
        meanMemoryTokens += (attempt.memoryTokens() - meanMemoryTokens) * MEAN_GAIN;
    }

    /** An instance has that weights version. */
    void onVersion(String model, long version, long nowNanos) {
        SeenVersion seen = newestVersions.get(model);
        if (seen == null || version > seen.version()) {
            newestVersions.put(model, new SeenVersion(version, nowNanos));
        }
    }

    /** The newest weights version once it has been known for {@code graceNanos}, so that all can have it; before, 0. */
    long minVersion(String model, long graceNanos, long nowNanos) {
        SeenVersion seen = newestVersions.get(model);
        return seen == null || nowNanos - seen.sinceNanos() < graceNanos ? 0 : seen.version();
    }

    /**
     * The newest weights version that is being replaced by a newer one: versions up to it are superseded. A newer
     * version was seen, or an engine with that version was lately seen to load another. 0 if none is known to be
     * replaced.
     */
    long newestSupersededVersion(String model, long nowNanos) {
        SeenVersion seen = newestVersions.get(model);
        long superseded = seen == null ? 0 : seen.version() - 1;
        for (int i = 0; i < engines.size(); i++) {
            superseded = Math.max(superseded, engines.get(i).versionWhenLoading(model, nowNanos));
        }
        return superseded;
    }

    /** Whether there are certainly free slots: under half of them in use, and no instance with a known queue. */
    boolean hasSpareSlots(long nowNanos) {
        double requests = 0;
        double slots = 0;
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            if (engine.isReady()) {
                if (engine.load().hasQueue(nowNanos)) {
                    return false;
                }
                requests += engine.load().requests(nowNanos);
                slots += engine.load().slots();
            }
        }
        return requests < slots / 2;
    }
}
