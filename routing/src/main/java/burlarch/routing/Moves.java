package burlarch.routing;

import burlarch.configuration.Configuration.Service;
import burlarch.routing.RouteRequest.PromptPart;
import burlarch.routing.index.PartTable;
import burlarch.routing.index.PromptIndex;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which kept parts are moved between engines and stores. */
final class Moves {
    /** Shared parts whose last use is remembered, to save only what is read again. */
    private static final int SEEN_PARTS = 4_096;
    private static final long SEEN_TICK_NANOS = 1_000_000_000L;
    private static final int SEEN_TICKS = 60;
    /** A source from which a move took this much longer than it should may be dead, for so long. */
    private static final long DEAD_NANOS = 150_000_000L;
    private static final long SUSPECT_NANOS = 3_000_000_000L;

    /** A source that was found. {@code gained} tokens beyond those that the engine keeps itself. */
    record Source(String address, int gained, long nanos) {
    }

    private final PlannerSettings settings;
    private final PromptIndex index;
    private final List<Service> stores = new ArrayList<>();
    private final PartTable seen = new PartTable(SEEN_PARTS, Long.MAX_VALUE);
    private final Map<String, Long> suspectUntil = new HashMap<>();

    Moves(PlannerSettings settings, PromptIndex index) {
        this.settings = settings;
        this.index = index;
    }

    void configure(List<Service> services) {
        stores.clear();
        for (Service service : services) {
            if (service.kvStore() != null) {
                stores.add(service);
                index.addSource(service.name(), service.kvCapacity());
            }
        }
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
                || parts.isEmpty() || choice.engine.version(request.model()) == 0) {
            return null;
        }
        Source best = null;
        double bestGain = 0;
        for (int i = 0; i < stores.size() + service.engines.size(); i++) {
            Source source = i < stores.size()
                    ? fromStore(stores.get(i), service, choice, salt, parts, nowNanos)
                    : fromEngine(service.engines.get(i - stores.size()), service, choice, salt, request,
                            nowNanos);
            if (source == null || isSuspect(source.address(), nowNanos)) {
                continue;
            }
            double read = choice.engine.speed.readNanos(source.gained());
            if (source.nanos() < Math.min(CostModel.MOVE_LONGEST_NANOS, CostModel.MOVE_GAIN * read)
                    && read - source.nanos() > bestGain) {
                best = source;
                bestGain = read - source.nanos();
            }
        }
        return best;
    }

    private Source fromStore(Service store, ServiceState service, Choice choice, long salt,
            List<PromptPart> parts, long nowNanos) {
        int gained = index.confirmedPrefixTokens(store.name(), salt, parts, nowNanos) - choice.kept;
        double link = store.linkMbps() > 0 ? Math.min(store.linkMbps(), service.linkMbps())
                : service.linkMbps();
        return made(store.kvStore(), store.zone(), gained, link, service, choice, nowNanos);
    }

    private Source fromEngine(Engine engine, ServiceState service, Choice choice, long salt,
            RouteRequest request, long nowNanos) {
        if (engine == choice.engine || engine.health.inDoubt()
                || engine.version(request.model()) != choice.engine.version(request.model())) {
            return null;
        }
        int gained = index.confirmedPrefixTokens(engine.id, salt, request.parts(), nowNanos) - choice.kept;
        return made(engine.instance().address(), engine.instance().zone(), gained, service.linkMbps(),
                service, choice, nowNanos);
    }

    private Source made(String address, String zone, int gained, double link, ServiceState service,
            Choice choice, long nowNanos) {
        if (gained < CostModel.MOVE_TOKENS) {
            return null;
        }
        double distance = settings.distance(zone, choice.engine.instance().zone());
        return new Source(address, gained, CostModel.moveNanos(gained, service.tokenBytes(), link, distance,
                service.slowness(nowNanos)));
    }

    /** Address of the store that is to get the shared parts: those that are read again and it lacks. */
    String saveTo(RouteRequest request, String salt, long nowNanos) {
        List<PromptPart> parts = request.parts();
        int shared = PromptScheduler.sharedTokens(parts);
        if (stores.isEmpty() || shared < CostModel.SAVE_TOKENS || salt.indexOf('?') >= 0) {
            return null;
        }
        long saltHash = CacheSalt.hash(salt);
        if (!seenBefore(saltHash, parts.get(parts.size() - 2).id(), nowNanos)) {
            return null;
        }
        List<PromptPart> sharedParts = parts.subList(0, parts.size() - 1);
        Service nearest = null;
        for (int i = 0; i < stores.size(); i++) {
            Service store = stores.get(i);
            int kept = index.keptPrefixTokens(store.name(), saltHash, sharedParts, nowNanos);
            if (kept + CostModel.FETCH_TOKENS >= shared) {
                return null;
            }
            nearest = nearest == null || settings.distance(store.zone(), settings.zone())
                    < settings.distance(nearest.zone(), settings.zone()) ? store : nearest;
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

    private boolean seenBefore(long saltHash, long part, long nowNanos) {
        long key = CacheSalt.key(saltHash, part);
        int now = (int) (nowNanos / SEEN_TICK_NANOS);
        boolean before = seen.tokens(key) > 0 && now - seen.touchedAt(key) <= SEEN_TICKS;
        seen.put(key, 1, (short) 0, now, false);
        return before;
    }

    /** A move from that address ended so much later than it should have. */
    void onMoved(String address, double lateNanos, long nowNanos) {
        suspectUntil.values().removeIf(until -> until - nowNanos < 0);
        if (lateNanos > DEAD_NANOS) {
            suspectUntil.put(address, nowNanos + SUSPECT_NANOS);
        }
    }

    private boolean isSuspect(String address, long nowNanos) {
        Long until = suspectUntil.get(address);
        return until != null && nowNanos - until < 0;
    }
}
