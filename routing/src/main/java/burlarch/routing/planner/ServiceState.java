package burlarch.routing.planner;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.admission.FetchAdmission;
import burlarch.routing.admission.RetryBudget;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.EngineSpeed;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One service: its instances and what its requests have shown on average. */
final class ServiceState {
    private static final double MEAN_GAIN = 0.02;
    private static final double FETCH_GAIN = 0.1;

    private record SeenVersion(long version, long sinceNanos) {}

    final String name;
    final EngineSpeed speed = new EngineSpeed();
    final List<Engine> engines = new ArrayList<>();
    final RetryBudget budget;
    final FetchAdmission admission;
    private final Map<String, SeenVersion> newestVersions = new HashMap<>(2);
    private Service service;
    private double meanPrefillTokens = 1_000;
    private double meanFetchTokens = 2_000;
    private double meanMemoryTokens = 2_000;

    ServiceState(Service service, RetryBudget budget, FetchAdmission admission) {
        this.name = service.name();
        this.service = service;
        this.budget = budget;
        this.admission = admission;
    }

    void update(Service configured) {
        service = configured;
    }

    boolean isModelService() {
        return service.engine() != null;
    }

    /** Memory of each engine in tokens, 0 if not told. */
    long kvCapacity() {
        return service.engine() == null ? 0 : service.engine().kvCapacity();
    }

    long tokenBytes() {
        return service.engine().kvTokenBytes();
    }

    double linkMbps() {
        return service.engine().linkMbps();
    }

    double meanPrefillTokens() {
        return meanPrefillTokens;
    }

    double meanMemoryTokens() {
        return meanMemoryTokens;
    }

    /** Fetches a second that all ready engines together can read. */
    double sustainableFetchesPerSecond() {
        double tokensPerSecond = 0;
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            tokensPerSecond += engine.isReady() ? engine.speed.tokensPerNano() * 1e9 : 0;
        }
        return tokensPerSecond / Math.max(1, meanFetchTokens);
    }

    void onSent(InFlightAttempt flight) {
        if (flight.fetch) {
            meanFetchTokens += (flight.tokensToPrefill - meanFetchTokens) * FETCH_GAIN;
        }
        meanPrefillTokens += (flight.tokensToPrefill - meanPrefillTokens) * MEAN_GAIN;
        meanMemoryTokens += (flight.memoryTokens - meanMemoryTokens) * MEAN_GAIN;
    }

    void onVersion(String model, long version, long nowNanos) {
        SeenVersion seen = newestVersions.get(model);
        if (seen == null || version > seen.version()) {
            newestVersions.put(model, new SeenVersion(version, nowNanos));
        }
    }

    /** The version below which an engine gets nothing any more: newer ones have had time to come to all. */
    long minVersion(String model, long graceNanos, long nowNanos) {
        SeenVersion seen = newestVersions.get(model);
        return seen == null || nowNanos - seen.sinceNanos() < graceNanos ? 0 : seen.version();
    }

    /** Whether places are free for sure: under half of them taken, and nothing told to wait. */
    boolean hasSpareSlots(long nowNanos) {
        double requests = 0;
        double slots = 0;
        for (int i = 0; i < engines.size(); i++) {
            Engine engine = engines.get(i);
            if (engine.isReady()) {
                if (engine.load.hasQueue(nowNanos)) {
                    return false;
                }
                requests += engine.load.requests(nowNanos);
                slots += engine.load.slots();
            }
        }
        return requests < slots / 2;
    }
}
