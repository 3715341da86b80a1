package burlarch.routing.planner;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.CacheSalt;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.StoreLivenessMonitor;
import burlarch.routing.instance.TrackedInstance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Plans the transfers of cached segments between engines and stores: from where the chosen engine fetches what it does
 * not cache, and to which store it saves the shared segments.
 *
 * <p>A source is <em>suspect</em> for some time after several consecutive late transfers, and while its store is
 * unresponsive. Nothing is fetched from a suspect source, because engines would wait for it.
 */
final class KvTransferPlanner {
    /** Lateness beyond which a transfer counts as late. */
    private static final long LATE_TRANSFER_NANOS = 200_000_000L;

    /** Consecutive late transfers from one source after which it is suspect. */
    private static final int MAX_LATE_TRANSFERS = 2;

    private static final long SUSPECT_NANOS = 3_000_000_000L;
    /** Maximum number of sources whose late transfers are counted. */
    private static final int MAX_LATE_SOURCES = 256;

    /**
     * Source of a transfer.
     *
     * @param address of the engine or store
     * @param gainedTokens tokens in addition to those that the receiving engine caches; 0 for a store that is only
     *     probed
     * @param nanos expected time of the transfer
     */
    record TransferSource(String address, int gainedTokens, long nanos) {}

    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final List<Service> stores = new ArrayList<>();
    /** Monitors by address of the store. */
    private final Map<String, StoreLivenessMonitor> monitors = new HashMap<>();
    /** Consecutive late transfers by address. */
    private final Map<String, Integer> lateTransfers = new HashMap<>();
    /** Until when a source is suspect, by address. */
    private final Map<String, Long> suspectUntilNanos = new HashMap<>();

    KvTransferPlanner(PlannerSettings settings, PrefixCacheIndex index) {
        this.settings = settings;
        this.index = index;
    }

    /** Replaces the stores by those among the configured services. */
    void configure(List<Service> services) {
        stores.clear();
        Set<String> addresses = new HashSet<>();
        for (Service service : services) {
            if (service.kvStore() != null) {
                stores.add(service);
                monitors.computeIfAbsent(service.kvStore(), address -> new StoreLivenessMonitor());
                addresses.add(service.kvStore());
                index.addSource(service.name(), service.kvCapacity());
            }
        }
        monitors.keySet().retainAll(addresses);
    }

    /** Returns the names of the stores' services, by which the index identifies them. */
    List<String> storeNames() {
        List<String> names = new ArrayList<>(stores.size());
        for (Service store : stores) {
            names.add(store.name());
        }
        return names;
    }

    /**
     * Returns the source from which the chosen engine gains most, or null if prefilling is not slower. If there is no
     * source, a store is probed that may cache the segments without the index knowing.
     */
    TransferSource chooseSource(
            RouteRequest request,
            ServiceState service,
            SchedulingChoice choice,
            RequestCacheSalt salts,
            long nowNanos) {
        List<PromptSegment> segments = request.segments();
        long saltHash = salts.hash(choice.instance());
        if (request.totalPromptTokens() - choice.cachedTokens() < CostModel.MIN_TRANSFER_TOKENS
                || segments.isEmpty()
                || choice.instance().version(request.model()) == 0) {
            return null;
        }
        long targetLeftNanos = request.latencyTargetLeftNanos(nowNanos);
        List<TrackedInstance> engines = service.instances();
        boolean superseded = salts.isSuperseded(choice.instance());
        TransferSource best = null;
        double bestGainNanos = 0;
        for (int i = superseded ? stores.size() : 0; i < stores.size() + engines.size(); i++) {
            TransferSource source = i < stores.size()
                    ? fromStore(stores.get(i), service, choice, saltHash, segments, nowNanos)
                    : fromEngine(engines.get(i - stores.size()), service, choice, saltHash, request, nowNanos);
            if (source == null || isSuspect(source.address(), nowNanos)) {
                continue;
            }
            double prefillNanos = choice.instance().speed().prefillNanos(source.gainedTokens());
            double gainNanos =
                    prefillNanos * CostModel.REDUNDANT_PREFILL_WEIGHT - source.nanos() * CostModel.TRANSFER_WEIGHT;
            if (gainNanos > bestGainNanos
                    && CostModel.isTransferWorthwhile(source.nanos(), prefillNanos, targetLeftNanos)) {
                best = source;
                bestGainNanos = gainNanos;
            }
        }
        return best == null && !superseded ? storeToProbe(request, nowNanos) : best;
    }

    /** Returns a store that may have just saved the segments, or whose events were lost. A miss there costs little. */
    private TransferSource storeToProbe(RouteRequest request, long nowNanos) {
        if (request.sharedTokens() >= CostModel.MIN_STORE_PROBE_TOKENS) {
            for (int i = 0; i < stores.size(); i++) {
                if (index.size(stores.get(i).name()) > 0
                        && !isSuspect(stores.get(i).kvStore(), nowNanos)) {
                    return new TransferSource(stores.get(i).kvStore(), 0, 0);
                }
            }
        }
        return null;
    }

    /** Returns the tokens of the longest prefix that a store caches under the salt. Suspect stores are left out. */
    int storedPrefixTokens(long saltHash, List<PromptSegment> segments, long nowNanos) {
        int maxTokens = 0;
        for (int i = 0; i < stores.size(); i++) {
            if (isSuspect(stores.get(i).kvStore(), nowNanos)) {
                continue;
            }
            maxTokens = Math.max(
                    maxTokens, index.confirmedPrefixTokens(stores.get(i).name(), saltHash, segments, nowNanos));
        }
        return maxTokens;
    }

    private TransferSource fromStore(
            Service store,
            ServiceState service,
            SchedulingChoice choice,
            long saltHash,
            List<PromptSegment> segments,
            long nowNanos) {
        int gainedTokens =
                index.confirmedPrefixTokens(store.name(), saltHash, segments, nowNanos) - choice.cachedTokens();
        double linkMbps = store.linkMbps() > 0 ? Math.min(store.linkMbps(), service.linkMbps()) : service.linkMbps();
        return sourceIfWorthwhile(store.kvStore(), store.zone(), gainedTokens, linkMbps, service, choice, nowNanos);
    }

    private TransferSource fromEngine(
            TrackedInstance engine,
            ServiceState service,
            SchedulingChoice choice,
            long saltHash,
            RouteRequest request,
            long nowNanos) {
        if (engine == choice.instance()
                || engine.health().isOutlier()
                || !engine.hasConsistentCache(request.model(), nowNanos)
                || engine.version(request.model()) != choice.instance().version(request.model())) {
            return null;
        }
        int gainedTokens = index.confirmedPrefixTokens(engine.id(), saltHash, request.segments(), nowNanos)
                - choice.cachedTokens();
        return sourceIfWorthwhile(
                engine.announcement().address(),
                engine.announcement().zone(),
                gainedTokens,
                service.linkMbps(),
                service,
                choice,
                nowNanos);
    }

    private TransferSource sourceIfWorthwhile(
            String address,
            String zone,
            int gainedTokens,
            double linkMbps,
            ServiceState service,
            SchedulingChoice choice,
            long nowNanos) {
        if (gainedTokens < CostModel.MIN_TRANSFER_TOKENS) {
            return null;
        }
        double distance =
                settings.distance(zone, choice.instance().announcement().zone());
        double slowdown = choice.instance().transferSpeed().slowdown(nowNanos);
        return new TransferSource(
                address,
                gainedTokens,
                CostModel.transferNanos(gainedTokens, service.tokenBytes(), linkMbps, distance, slowdown));
    }

    /**
     * Returns the address of the nearest store, to which the shared segments of a request are to be saved. Returns
     * null if a store caches them already, if they are too short, if the salt is unique to one engine, or if the
     * engine's weights are superseded.
     */
    String storeToSaveTo(RouteRequest request, RequestCacheSalt salts, TrackedInstance engine, long nowNanos) {
        int sharedTokens = request.sharedTokens();
        String salt = salts.text(engine);
        if (stores.isEmpty()
                || sharedTokens < CostModel.MIN_SAVE_TOKENS
                || CacheSalt.isOfUnknownVersion(salt)
                || salts.isSuperseded(engine)) {
            return null;
        }
        long saltHash = CacheSalt.hash(salt);
        List<PromptSegment> sharedSegments = sharedSegments(request);
        Service nearest = null;
        for (int i = 0; i < stores.size(); i++) {
            Service store = stores.get(i);
            int storedTokens = index.cachedPrefixTokens(store.name(), saltHash, sharedSegments, nowNanos);
            if (storedTokens + CostModel.MIN_MISS_TOKENS >= sharedTokens) {
                return null;
            }
            nearest = nearest == null || distanceTo(store) < distanceTo(nearest) ? store : nearest;
        }
        return nearest.kvStore();
    }

    private double distanceTo(Service store) {
        return settings.distance(store.zone(), settings.zone());
    }

    private static List<PromptSegment> sharedSegments(RouteRequest request) {
        List<PromptSegment> segments = request.segments();
        return segments.subList(0, segments.size() - 1);
    }

    /** Records that an engine was told to save the shared segments of a request to the store at that address. */
    void onSaveRequested(String address, RouteRequest request, String salt, long nowNanos) {
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).kvStore().equals(address)) {
                index.expectCached(stores.get(i).name(), salt, sharedSegments(request), nowNanos);
            }
        }
    }

    /**
     * Records that events or a complete list of a source arrived. It has no effect unless the source is a store's
     * service.
     */
    void onEventsReceived(String source) {
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).name().equals(source)) {
                monitors.get(stores.get(i).kvStore()).onEventsReceived();
            }
        }
    }

    /** Records that an engine has prefilled segments that it was told to save to the store at that address. */
    void onSaveDue(String address, long nowNanos) {
        StoreLivenessMonitor monitor = monitors.get(address);
        if (monitor != null) {
            monitor.onSaveDue(nowNanos);
        }
    }

    /**
     * Records the end of a transfer from that address.
     *
     * @param lateNanos lateness beyond what is explained even if the transfer delivered nothing
     */
    void onTransferEnded(String address, double lateNanos, long nowNanos) {
        if (lateNanos <= LATE_TRANSFER_NANOS) {
            lateTransfers.remove(address);
            return;
        }
        if (lateTransfers.size() >= MAX_LATE_SOURCES) {
            lateTransfers.clear();
        }
        if (lateTransfers.merge(address, 1, Integer::sum) >= MAX_LATE_TRANSFERS) {
            lateTransfers.remove(address);
            suspectUntilNanos.values().removeIf(untilNanos -> untilNanos - nowNanos < 0);
            suspectUntilNanos.put(address, nowNanos + SUSPECT_NANOS);
        }
    }

    private boolean isSuspect(String address, long nowNanos) {
        StoreLivenessMonitor monitor = monitors.get(address);
        if (monitor != null && monitor.isUnresponsive(nowNanos)) {
            return true;
        }
        Long untilNanos = suspectUntilNanos.get(address);
        return untilNanos != null && nowNanos - untilNanos < 0;
    }
}
