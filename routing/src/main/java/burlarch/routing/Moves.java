package burlarch.routing;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.index.PromptIndex;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Which kept parts are moved between engines and stores. */
final class Moves {
    /** A source from which so many moves in turn took this much longer than they should is taken for dead. */
    private static final long DEAD_NANOS = 200_000_000L;

    private static final int DEAD_MOVES = 2;
    private static final long SUSPECT_NANOS = 3_000_000_000L;
    private static final int MOST_LATE = 256;

    /** A source that was found. {@code gained} tokens beyond those that the engine keeps itself. */
    record Source(String address, int gained, long nanos) {}

    private final PlannerSettings settings;
    private final PromptIndex index;
    private final List<Service> stores = new ArrayList<>();
    /** By address. */
    private final Map<String, StoreWatch> watches = new HashMap<>();

    private final Map<String, Integer> late = new HashMap<>();
    private final Map<String, Long> suspectUntil = new HashMap<>();

    Moves(PlannerSettings settings, PromptIndex index) {
        this.settings = settings;
        this.index = index;
    }

    void configure(List<Service> services) {
        stores.clear();
        Set<String> addresses = new HashSet<>();
        for (Service service : services) {
            if (service.kvStore() != null) {
                stores.add(service);
                watches.computeIfAbsent(service.kvStore(), address -> new StoreWatch());
                addresses.add(service.kvStore());
                index.addSource(service.name(), service.kvCapacity());
            }
        }
        watches.keySet().retainAll(addresses);
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
    Source source(RouteRequest request, ServiceState service, Choice choice, Salts salts, long nowNanos) {
        List<PromptPart> parts = request.parts();
        long salt = salts.hash(choice.engine);
        if (PromptScheduler.promptTokens(request) - choice.kept < CostModel.MOVE_TOKENS
                || parts.isEmpty()
                || choice.engine.version(request.model()) == 0) {
            return null;
        }
        long aimLeft = CostModel.aimLeftNanos(request, nowNanos);
        Source best = null;
        double bestGain = 0;
        for (int i = 0; i < stores.size() + service.engines.size(); i++) {
            Source source = i < stores.size()
                    ? fromStore(stores.get(i), service, choice, salt, parts, nowNanos)
                    : fromEngine(service.engines.get(i - stores.size()), service, choice, salt, request, nowNanos);
            if (source == null || isSuspect(source.address(), nowNanos)) {
                continue;
            }
            double read = choice.engine.speed.readNanos(source.gained());
            double gain = read * CostModel.REREAD_WEIGHT - source.nanos() * CostModel.MOVE_WEIGHT;
            if (gain > bestGain && CostModel.movePays(source.nanos(), read, aimLeft)) {
                best = source;
                bestGain = gain;
            }
        }
        return best == null ? byChance(parts, nowNanos) : best;
    }

    /** A store that may have got the parts just now, or whose events went missing: a miss costs little. */
    private Source byChance(List<PromptPart> parts, long nowNanos) {
        if (PromptScheduler.sharedTokens(parts) >= CostModel.CHANCE_TOKENS) {
            for (int i = 0; i < stores.size(); i++) {
                if (index.size(stores.get(i).name()) > 0
                        && !isSuspect(stores.get(i).kvStore(), nowNanos)) {
                    return new Source(stores.get(i).kvStore(), 0, 0);
                }
            }
        }
        return null;
    }

    /** Tokens of the shared parts that some store keeps under the salt. */
    int storedTokens(long salt, List<PromptPart> parts, long nowNanos) {
        int most = 0;
        for (int i = 0; i < stores.size(); i++) {
            if (isSuspect(stores.get(i).kvStore(), nowNanos)) {
                continue;
            }
            most = Math.max(most, index.confirmedPrefixTokens(stores.get(i).name(), salt, parts, nowNanos));
        }
        return most;
    }

    private Source fromStore(
            Service store, ServiceState service, Choice choice, long salt, List<PromptPart> parts, long nowNanos) {
        int gained = index.confirmedPrefixTokens(store.name(), salt, parts, nowNanos) - choice.kept;
        double link = store.linkMbps() > 0 ? Math.min(store.linkMbps(), service.linkMbps()) : service.linkMbps();
        return made(store.kvStore(), store.zone(), gained, link, service, choice, nowNanos);
    }

    private Source fromEngine(
            Engine engine, ServiceState service, Choice choice, long salt, RouteRequest request, long nowNanos) {
        if (engine == choice.engine
                || engine.health.inDoubt()
                || engine.version(request.model()) != choice.engine.version(request.model())) {
            return null;
        }
        int gained = index.confirmedPrefixTokens(engine.id, salt, request.parts(), nowNanos) - choice.kept;
        return made(
                engine.instance().address(),
                engine.instance().zone(),
                gained,
                service.linkMbps(),
                service,
                choice,
                nowNanos);
    }

    private Source made(
            String address, String zone, int gained, double link, ServiceState service, Choice choice, long nowNanos) {
        if (gained < CostModel.MOVE_TOKENS) {
            return null;
        }
        double distance = settings.distance(zone, choice.engine.instance().zone());
        return new Source(
                address,
                gained,
                CostModel.moveNanos(
                        gained, service.tokenBytes(), link, distance, choice.engine.moves.slowness(nowNanos)));
    }

    /** Address of the store that is to get the shared parts: those that are read again and it lacks. */
    String saveTo(RouteRequest request, String salt, long nowNanos) {
        List<PromptPart> parts = request.parts();
        int shared = PromptScheduler.sharedTokens(parts);
        if (stores.isEmpty() || shared < CostModel.SAVE_TOKENS || salt.indexOf('?') >= 0) {
            return null;
        }
        long saltHash = CacheSalt.hash(salt);
        List<PromptPart> sharedParts = parts.subList(0, parts.size() - 1);
        Service nearest = null;
        for (int i = 0; i < stores.size(); i++) {
            Service store = stores.get(i);
            int kept = index.keptPrefixTokens(store.name(), saltHash, sharedParts, nowNanos);
            if (kept + CostModel.FETCH_TOKENS >= shared) {
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
                List<PromptPart> parts = request.parts();
                index.expect(stores.get(i).name(), salt, parts.subList(0, parts.size() - 1), nowNanos);
            }
        }
    }

    /** Events or a list of that source came, which may be a store's service. */
    void onHeard(String source) {
        for (int i = 0; i < stores.size(); i++) {
            if (stores.get(i).name().equals(source)) {
                watches.get(stores.get(i).kvStore()).onHeard();
            }
        }
    }

    /** An engine has read what it was told to save at that address. */
    void onSaveDue(String address, long nowNanos) {
        StoreWatch watch = watches.get(address);
        if (watch != null) {
            watch.onSaveDue(nowNanos);
        }
    }

    /** A move from that address ended so much later than it should have, even if it brought nothing. */
    void onMoved(String address, double lateNanos, long nowNanos) {
        if (lateNanos <= DEAD_NANOS) {
            late.remove(address);
            return;
        }
        if (late.size() >= MOST_LATE) {
            late.clear();
        }
        if (late.merge(address, 1, Integer::sum) >= DEAD_MOVES) {
            late.remove(address);
            suspectUntil.values().removeIf(until -> until - nowNanos < 0);
            suspectUntil.put(address, nowNanos + SUSPECT_NANOS);
        }
    }

    private boolean isSuspect(String address, long nowNanos) {
        StoreWatch watch = watches.get(address);
        if (watch != null && watch.isSilent(nowNanos)) {
            return true;
        }
        Long until = suspectUntil.get(address);
        return until != null && nowNanos - until < 0;
    }
}
