package burlarch.routing.planner;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.CacheSalt;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import burlarch.routing.RouteRequest.PromptSegment;
import burlarch.routing.index.PrefixCacheIndex;
import burlarch.routing.instance.Engine;
import burlarch.routing.instance.StoreLivenessMonitor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which kept parts are moved between engines and stores. */
final class KvTransferPlanner {
    /** A source from which so many moves in turn took this much longer than they should is taken for dead. */
    private static final long UNRESPONSIVE_NANOS = 200_000_000L;

    private static final int UNRESPONSIVE_TRANSFERS = 2;
    private static final long SUSPECT_NANOS = 3_000_000_000L;
    private static final int MAX_LATE_SOURCES = 256;

    /** A source that was found. {@code gainedTokens} tokens beyond those that the engine keeps itself. */
    record TransferSource(String address, int gainedTokens, long nanos) {}

    private final PlannerSettings settings;
    private final PrefixCacheIndex index;
    private final List<Service> stores = new ArrayList<>();
    /** By address. */
    private final Map<String, StoreLivenessMonitor> monitors = new HashMap<>();

    private final Map<String, Integer> lateTransfers = new HashMap<>();
    private final Map<String, Long> suspectUntil = new HashMap<>();

    KvTransferPlanner(PlannerSettings settings, PrefixCacheIndex index) {
        this.settings = settings;
        this.index = index;
    }

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

    /** Names of the stores' services, which are sources of the index. */
    List<String> storeNames() {
        List<String> names = new ArrayList<>(stores.size());
        for (Service store : stores) {
            names.add(store.name());
        }
        return names;
    }

    /** From where the engine best takes what it does not keep, null where reading is no slower. */
    TransferSource chooseSource(
            RouteRequest request,
            ServiceState service,
            SchedulingChoice choice,
            RequestCacheSalt salts,
            long nowNanos) {
        List<PromptSegment> parts = request.segments();
        long salt = salts.hash(choice.engine);
        if (PromptScheduler.promptTokens(request) - choice.cachedTokens < CostModel.MIN_TRANSFER_TOKENS
                || parts.isEmpty()
                || choice.engine.version(request.model()) == 0) {
            return null;
        }
        long aimLeft = CostModel.latencyTargetLeftNanos(request, nowNanos);
        TransferSource best = null;
        double bestGain = 0;
        for (int i = 0; i < stores.size() + service.engines.size(); i++) {
            TransferSource source = i < stores.size()
                    ? fromStore(stores.get(i), service, choice, salt, parts, nowNanos)
                    : fromEngine(service.engines.get(i - stores.size()), service, choice, salt, request, nowNanos);
            if (source == null || isSuspect(source.address(), nowNanos)) {
                continue;
            }
            double read = choice.engine.speed.prefillNanos(source.gainedTokens());
            double gain = read * CostModel.REDUNDANT_PREFILL_WEIGHT - source.nanos() * CostModel.TRANSFER_WEIGHT;
            if (gain > bestGain && CostModel.isTransferWorthwhile(source.nanos(), read, aimLeft)) {
                best = source;
                bestGain = gain;
            }
        }
        return best == null ? storeWorthProbing(parts, nowNanos) : best;
    }

    /** A store that may have got the parts just now, or whose events went missing: a miss costs little. */
    private TransferSource storeWorthProbing(List<PromptSegment> parts, long nowNanos) {
        if (PromptScheduler.sharedTokens(parts) >= CostModel.MIN_STORE_PROBE_TOKENS) {
            for (int i = 0; i < stores.size(); i++) {
                if (index.size(stores.get(i).name()) > 0
                        && !isSuspect(stores.get(i).kvStore(), nowNanos)) {
                    return new TransferSource(stores.get(i).kvStore(), 0, 0);
                }
            }
        }
        return null;
    }

    /** Tokens of the shared parts that some store keeps under the salt. */
    int storedPrefixTokens(long salt, List<PromptSegment> parts, long nowNanos) {
        int most = 0;
        for (int i = 0; i < stores.size(); i++) {
            if (isSuspect(stores.get(i).kvStore(), nowNanos)) {
                continue;
            }
            most = Math.max(most, index.confirmedPrefixTokens(stores.get(i).name(), salt, parts, nowNanos));
        }
        return most;
    }

    private TransferSource fromStore(
            Service store,
            ServiceState service,
            SchedulingChoice choice,
            long salt,
            List<PromptSegment> parts,
            long nowNanos) {
        int gained = index.confirmedPrefixTokens(store.name(), salt, parts, nowNanos) - choice.cachedTokens;
        double link = store.linkMbps() > 0 ? Math.min(store.linkMbps(), service.linkMbps()) : service.linkMbps();
        return sourceIfWorthwhile(store.kvStore(), store.zone(), gained, link, service, choice, nowNanos);
    }

    private TransferSource fromEngine(
            Engine engine,
            ServiceState service,
            SchedulingChoice choice,
            long salt,
            RouteRequest request,
            long nowNanos) {
        if (engine == choice.engine
                || engine.health.isOutlier()
                || engine.version(request.model()) != choice.engine.version(request.model())) {
            return null;
        }
        int gained = index.confirmedPrefixTokens(engine.id, salt, request.segments(), nowNanos) - choice.cachedTokens;
        return sourceIfWorthwhile(
                engine.instance().address(),
                engine.instance().zone(),
                gained,
                service.linkMbps(),
                service,
                choice,
                nowNanos);
    }

    private TransferSource sourceIfWorthwhile(
            String address,
            String zone,
            int gained,
            double link,
            ServiceState service,
            SchedulingChoice choice,
            long nowNanos) {
        if (gained < CostModel.MIN_TRANSFER_TOKENS) {
            return null;
        }
        double distance = settings.distance(zone, choice.engine.instance().zone());
        return new TransferSource(
                address,
                gained,
                CostModel.transferNanos(
                        gained, service.tokenBytes(), link, distance, choice.engine.transferSpeed.slowness(nowNanos)));
    }

    /** Address of the store that is to get the shared parts: those that are read again and it lacks. */
    String storeToSaveTo(RouteRequest request, String salt, long nowNanos) {
        List<PromptSegment> parts = request.segments();
        int shared = PromptScheduler.sharedTokens(parts);
        if (stores.isEmpty() || shared < CostModel.MIN_SAVE_TOKENS || salt.indexOf('?') >= 0) {
            return null;
        }
        long saltHash = CacheSalt.hash(salt);
        List<PromptSegment> sharedParts = parts.subList(0, parts.size() - 1);
        Service nearest = null;
        for (int i = 0; i < stores.size(); i++) {
            Service store = stores.get(i);
            int kept = index.cachedPrefixTokens(store.name(), saltHash, sharedParts, nowNanos);
            if (kept + CostModel.MIN_FETCH_TOKENS >= shared) {
                return null;
            }
            nearest = nearest == null
                            || settings.distance(store.zone(), settings.zone())
                                    < settings.distance(nearest.zone(), settings.zone())
                    ? store
                    : nearest;
        }
        return nearest.kvStore();
    }

    /** Notes that the store at that address was told to take the shared parts. */
    void onSaved(String address, RouteRequest request, String salt, long nowNanos) {
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).kvStore().equals(address)) {
                List<PromptSegment> parts = request.segments();
                index.expectCached(stores.get(i).name(), salt, parts.subList(0, parts.size() - 1), nowNanos);
            }
        }
    }

    /** Events or a list of that source came, which may be a store's service. */
    void onEventsReceived(String source) {
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).name().equals(source)) {
                monitors.get(stores.get(i).kvStore()).onEventsReceived();
            }
        }
    }

    /** An engine has read what it was told to save at that address. */
    void onSaveDue(String address, long nowNanos) {
        StoreLivenessMonitor watch = monitors.get(address);
        if (watch != null) {
            watch.onSaveDue(nowNanos);
        }
    }

    /** A move from that address ended so much later than it should have, even if it brought nothing. */
    void onTransferEnded(String address, double lateNanos, long nowNanos) {
        if (lateNanos <= UNRESPONSIVE_NANOS) {
            lateTransfers.remove(address);
            return;
        }
        if (lateTransfers.size() >= MAX_LATE_SOURCES) {
            lateTransfers.clear();
        }
        if (lateTransfers.merge(address, 1, Integer::sum) >= UNRESPONSIVE_TRANSFERS) {
            lateTransfers.remove(address);
            suspectUntil.values().removeIf(until -> until - nowNanos < 0);
            suspectUntil.put(address, nowNanos + SUSPECT_NANOS);
        }
    }

    private boolean isSuspect(String address, long nowNanos) {
        StoreLivenessMonitor watch = monitors.get(address);
        if (watch != null && watch.isUnresponsive(nowNanos)) {
            return true;
        }
        Long until = suspectUntil.get(address);
        return until != null && nowNanos - until < 0;
    }
}
