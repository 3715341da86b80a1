package burlarch.decisions;

import burlarch.admission.CallGapping;
import burlarch.admission.LearnedCapacity;
import burlarch.decisions.Api.Actions;
import burlarch.decisions.Api.Charges;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.Api.Tenant;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * The servers of the server list as one proxy sees them: choice of a cache for a key by weighted rendezvous
 * hashing, ejection of failing caches, warm-up, draining and the idle time of connections. Not thread-safe.
 */
final class CachePool {
    /** Consecutive failures that eject a cache; fewer for caches that get few requests. */
    private static final int EJECT_AFTER_FAILURES = 3;
    /** Where more than this part of all connections to caches break, ejection takes more broken ones. */
    private static final double USUAL_BROKEN_FRACTION = 0.1;
    /** Number of attempts that the fraction of broken connections is averaged over. */
    private static final double BROKEN_FRACTION_ATTEMPTS = 64;
    /** Once more than this part of the caches is ejected, no further cache is ejected for late answers. */
    static final double MAX_EJECTED_FOR_LATENESS = 0.25;

    private static final long MIN_EJECTION_NANOS = 1_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 8_000_000_000L;
    /** Part of the stated overload limit of a cold cache that all proxies together may use. */
    private static final double COLD_LOAD_SAFETY = 0.5;
    /** Time constant of the measured load of the warm caches. */
    private static final double LOAD_SECONDS = 3;
    /** Growth of the idle time of connections with each answer; a refused connection halves the idle time. */
    private static final double IDLE_GROWTH = 1.005;
    /** Lowest factor of the idle time: a proxy that closes every idle connection opens one for each request. */
    private static final double MIN_IDLE_FACTOR = 1 / 16.0;

    /** Growth with each answer at a server that was crowded. Few proxies notice that, so they cut to the minimum. */
    private static final double CROWDED_IDLE_GROWTH = 1.02;

    /** Most hits that the speed of a machine kind is averaged over, and the hits that the listed size counts for. */
    private static final int MAX_SPEED_HITS = 96;

    private static final int LISTED_SIZE_HITS = 8;

    /**
     * Measured speed of the caches of one machine kind, from the mean logarithm of the time that a hit takes per
     * work. Listed sizes are rough and a proxy sees few answers of a single cache, but machines of a kind are
     * alike. Also moves keys away from a kind that became slow; if it is slow only briefly, that costs some misses.
     */
    private static final class MachineKind {
        double meanLogTime;
        double speed = 1;
        int hits;

        void onHit(double logNanosPerWork, MachineKind allKinds) {
            hits = Math.min(MAX_SPEED_HITS, hits + 1);
            meanLogTime += (logNanosPerWork - meanLogTime) / hits;
            speed = Math.exp((allKinds.meanLogTime - meanLogTime) * hits / (hits + LISTED_SIZE_HITS));
        }
    }

    /** State of one listed server, a cache or an origin, in this proxy. */
    static final class Node {
        final long id;
        final long idHash;
        Server entry;
        final LearnedCapacity capacity;
        final MachineKind machineKind;
        int inFlight;
        int consecutiveFailures;
        boolean ejected;
        boolean probeInFlight;
        boolean hasConnection;
        /** When this incarnation was first listed, and when the probe of an ejected one was sent. */
        final long knownSinceNanos;

        long probeSentNanos;
        long silentSinceNanos;
        long lastUsedNanos;
        long ejectedUntilNanos;
        long coldLevelUpdatedNanos;
        long ejectionNanos = MIN_EJECTION_NANOS;
        double coldLevel;
        double weight = 1;
        /** Factor of the idle time of connections to this server. */
        double idleFactor = 1;

        Node(Server entry, LearnedCapacity capacity, MachineKind machineKind, long nowNanos) {
            this.knownSinceNanos = nowNanos;
            this.id = entry.id();
            this.idHash = mixBits(id * 0x9E3779B97F4A7C15L);
            this.entry = entry;
            this.capacity = capacity;
            this.machineKind = machineKind;
        }

        boolean isReady() {
            return entry.stage() == Stage.IN;
        }
    }

    private final Settings settings;
    private final Actions actions;
    private final SplittableRandom random;
    private final long silenceTimeoutNanos;
    private final double quotaPerSecond;
    private final Supplier<LearnedCapacity> capacityFactory;
    private final Map<Integer, MachineKind> machineKinds = new HashMap<>();
    private final MachineKind allKinds = new MachineKind();
    private final Map<Long, Node> nodes = new LinkedHashMap<>();
    /** The caches and origins that are in service. */
    private Node[] caches = {};

    private Node[] origins = {};

    private int ejectedCount;
    private double warmLoad;
    private double idleFactor = 1;
    private double brokenFraction;
    private long warmLoadNanos;

    CachePool(
            Settings settings,
            Actions actions,
            SplittableRandom random,
            long silenceTimeoutNanos,
            Supplier<LearnedCapacity> capacityFactory) {
        this.settings = settings;
        this.actions = actions;
        this.random = random;
        this.silenceTimeoutNanos = silenceTimeoutNanos;
        this.capacityFactory = capacityFactory;
        this.quotaPerSecond =
                settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    }

    static long mixBits(long bits) {
        long mixed = (bits ^ (bits >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    void update(List<Server> entries, boolean complete, long nowNanos) {
        if (complete) {
            nodes.keySet().retainAll(entries.stream().map(Server::id).collect(Collectors.toSet()));
        }
        for (Server entry : entries) {
            Node node = nodes.get(entry.id());
            if (entry.stage() == Stage.OUT) {
                nodes.remove(entry.id());
            } else if (node == null || entry.bootNanos() > node.entry.bootNanos()) {
                MachineKind machineKind = machineKinds.computeIfAbsent(entry.kind(), kind -> new MachineKind());
                nodes.put(entry.id(), new Node(entry, capacityFactory.get(), machineKind, nowNanos));
            } else {
                node.entry = entry;
            }
        }
        caches =
                nodes.values().stream().filter(n -> n.isReady() && !isOrigin(n)).toArray(Node[]::new);
        origins =
                nodes.values().stream().filter(n -> n.isReady() && isOrigin(n)).toArray(Node[]::new);
        ejectedCount = (int) Arrays.stream(caches).filter(node -> node.ejected).count();
    }

    /** Returns the incarnation that an attempt was sent to, or null if it was replaced or removed since. */
    Node find(long id, long sentNanos) {
        Node node = nodes.get(id);
        return node == null || sentNanos < node.knownSinceNanos ? null : node;
    }

    Node find(long id) {
        return nodes.get(id);
    }

    boolean isOrigin(Node node) {
        return node.entry.kind() == settings.originKind();
    }

    /** Returns the origin with the fewest attempts of this proxy in flight, or null. */
    Node origin() {
        return Arrays.stream(origins)
                .min(Comparator.comparingInt(node -> node.inFlight))
                .orElse(null);
    }

    // ---- choice of a cache

    /**
     * Returns the best cache for the key by weighted rendezvous hashing, the one with the smallest −ln(u)/w,
     * among those not yet tried for this request, or null. As −ln(u) is at least 1 − u, few caches need the
     * logarithm or the other checks.
     */
    Node chooseCache(long key, List<Node> tried, long nowNanos) {
        // If most caches fail, the fault is likely in the network: ejecting most of them would make it worse.
        boolean mostEjected = ejectedCount > 0.5 * caches.length;
        Node best = null;
        double minDistance = Double.MAX_VALUE;
        for (Node node : caches) {
            double uniform = ((mixBits(key ^ node.idHash) >>> 11) + 0.5) * 0x1.0p-53;
            double weight = node.entry.size() * node.weight * node.machineKind.speed;
            if (1 - uniform < minDistance * weight && isUsable(node, mostEjected, nowNanos) && !tried.contains(node)) {
                double distance = -Math.log(uniform) / (weight * warmFraction(node, nowNanos));
                if (distance < minDistance) {
                    best = node;
                    minDistance = distance;
                }
            }
        }
        return best;
    }

    private boolean isUsable(Node node, boolean mostEjected, long nowNanos) {
        boolean probe = nowNanos >= node.ejectedUntilNanos && !node.probeInFlight;
        return mostEjected || (node.ejected ? probe : !isSilent(node, nowNanos));
    }

    /** Returns whether the node has attempts in flight and has not answered for the silence timeout. */
    boolean isSilent(Node node, long nowNanos) {
        return nowNanos - node.silentSinceNanos > silenceTimeoutNanos && node.inFlight >= failuresToEject();
    }

    /**
     * Three failures, if a cache gets several requests in a first ejection time. With many proxies it gets none
     * in that time: one failure has to suffice, and a wrong ejection affects a request or two.
     */
    private int failuresToEject() {
        double requestsPerEjection = warmLoad * MIN_EJECTION_NANOS * 1e-9 / Math.max(1, caches.length);
        return (int) Math.max(1, Math.min(EJECT_AFTER_FAILURES, Math.ceil(requestsPerEjection * 2)));
    }

    /**
     * Where the network breaks connections to all caches, three in a row occur by chance. The number is raised
     * until the run is as unlikely as otherwise. This avoids ejecting healthy caches, whose keys would load the
     * others; a cache that dies meanwhile causes some more repeats.
     */
    private int breaksToEject() {
        return (int) Math.ceil(failuresToEject()
                * Math.max(1, Math.log(USUAL_BROKEN_FRACTION) / Math.log(Math.min(0.9, brokenFraction))));
    }

    /** Returns the part of its full work that the node can do, by the slowest warm-up that the settings allow. */
    double warmFraction(Node node, long nowNanos) {
        double progress = (nowNanos - node.entry.bootNanos())
                / (double) settings.obligations().warmUpNanos();
        double coldStart = settings.obligations().coldStartFraction();
        return node.entry.bootNanos() == 0 || progress >= 1 ? 1 : coldStart + (1 - coldStart) * Math.max(0, progress);
    }

    /**
     * Work that this proxy may send a cold node in any overload window. If every proxy sends it in proportion to
     * its load on the warm nodes, the sum is the warm fraction of a warm node's load. The settings allow a
     * multiple of that; half of it is used and bounds bursts.
     */
    private double coldWorkBudget(Node node, long nowNanos) {
        double windowSeconds = settings.obligations().overloadWindowNanos() * 1e-9;
        double warmSize = 0;
        for (Node cache : caches) {
            warmSize += warmFraction(cache, nowNanos) >= 1 ? cache.entry.size() : 0;
        }
        double currentLoad = CallGapping.nextRate(warmLoad, 0, (nowNanos - warmLoadNanos) * 1e-9, LOAD_SECONDS);
        return Math.max(
                2.0 / settings.proxies(),
                COLD_LOAD_SAFETY
                        * settings.obligations().overloadMultiple()
                        * warmFraction(node, nowNanos)
                        * (warmSize > 0 ? currentLoad / warmSize : 0)
                        * node.entry.size()
                        * windowSeconds);
    }

    /**
     * Takes work from the node's leaky bucket: half the budget at once and half over the window, so that no
     * window gets more than the budget. Where half the budget is less than one request, a request is allowed at
     * random, so that many proxies together send no more than the sum of their budgets, even when all learn of
     * a new node at once and need the same key.
     */
    boolean takeColdBudget(Node node, double cost, long nowNanos) {
        if (isOrigin(node) || warmFraction(node, nowNanos) >= 1) {
            return true;
        }
        double halfBudget = coldWorkBudget(node, nowNanos) / 2;
        double elapsedWindows = (nowNanos - node.coldLevelUpdatedNanos)
                / (double) settings.obligations().overloadWindowNanos();
        double bucketLevel = Math.max(0, node.coldLevel - elapsedWindows * halfBudget);
        if (bucketLevel + cost > halfBudget && (bucketLevel > 0 || random.nextDouble() * cost > halfBudget)) {
            return false;
        }
        node.coldLevel = bucketLevel + cost;
        node.coldLevelUpdatedNanos = nowNanos;
        return true;
    }

    /**
     * Idle time after which keeping a connection has cost as much as opening a new one. It is shorter after
     * caches refused connections, as their connection tables are full: otherwise hundreds of proxies would hold
     * connections that a few could use. A cache that is down refuses too, which causes some more new
     * connections until it is ejected.
     */
    private long idleTimeNanos() {
        Charges charges = settings.charges();
        double breakEvenNanos = charges.perHundredConnections() == 0 || quotaPerSecond == 0
                ? Double.MAX_VALUE
                : charges.perHandshake() / charges.perHundredConnections() * caches.length / quotaPerSecond * 1e11;
        return (long) (idleFactor * Math.min(breakEvenNanos, settings.limits().idleCloseNanos()));
    }

    /** Closes connections, also to origins, that have been idle for longer than keeping them pays. */
    void closeIdleConnections(long nowNanos) {
        long maxIdleNanos = idleTimeNanos();
        for (Node node : maxIdleNanos < settings.limits().idleCloseNanos() ? nodes.values() : List.<Node>of()) {
            if (node.hasConnection && node.inFlight == 0 && nowNanos - node.lastUsedNanos >= maxIdleNanos) {
                node.hasConnection = false;
                actions.closeIdleConnections(node.id);
            }
        }
    }

    // ---- events of attempts

    /** Returns whether the next attempt at the node has to open a connection. */
    boolean needsNewConnection(Node node, long nowNanos) {
        long idleNanos = nowNanos - node.lastUsedNanos;
        return node.inFlight == 0
                && (!node.hasConnection || idleNanos >= settings.limits().idleCloseNanos());
    }

    void onSend(Node node, double cost, long nowNanos) {
        if (node.inFlight++ == 0) {
            node.silentSinceNanos = nowNanos;
        }
        if (node.ejected) {
            node.probeInFlight = true;
            node.probeSentNanos = nowNanos;
        }
        if (!isOrigin(node) && warmFraction(node, nowNanos) >= 1) {
            warmLoad = CallGapping.nextRate(warmLoad, cost, (nowNanos - warmLoadNanos) * 1e-9, LOAD_SECONDS);
            warmLoadNanos = nowNanos;
        }
    }

    /** Reverts the load that {@link #onSend} counted, for an attempt that was never sent. */
    void onWithdrawn(Node node, double cost, long ageNanos, long nowNanos) {
        node.coldLevel = Math.max(0, node.coldLevel - cost);
        if (!isOrigin(node) && warmFraction(node, nowNanos) >= 1) {
            double remainingLoad = CallGapping.nextRate(cost / LOAD_SECONDS, 0, ageNanos * 1e-9, LOAD_SECONDS);
            warmLoad = Math.max(0, warmLoad - remainingLoad);
        }
    }

    void onHit(Node node, double nanosPerWork) {
        double logNanosPerWork = Math.log(Math.max(1, nanosPerWork));
        allKinds.onHit(logNanosPerWork, allKinds);
        node.machineKind.onHit(logNanosPerWork, allKinds);
    }

    void onEnded(Node node, Outcome outcome, long elapsedNanos, long nowNanos) {
        node.inFlight = Math.max(0, node.inFlight - 1);
        // An attempt that was sent before the probe is not the probe, which stays in flight.
        boolean probe = node.probeInFlight && nowNanos - elapsedNanos >= node.probeSentNanos;
        node.lastUsedNanos = nowNanos;
        node.hasConnection |= outcome == Outcome.GOOD || outcome == Outcome.MISS;
        boolean broken = outcome == Outcome.NOCONN || outcome == Outcome.RST;
        if (!isOrigin(node) && outcome != Outcome.CXL && outcome != Outcome.NOP) {
            brokenFraction += ((broken ? 1 : 0) - brokenFraction) / BROKEN_FRACTION_ATTEMPTS;
        }
        switch (outcome) {
            case GOOD, MISS -> {
                if (node.idleFactor < 1) {
                    setIdleFactor(node, Math.min(1, node.idleFactor * CROWDED_IDLE_GROWTH));
                }
                idleFactor = Math.min(1, idleFactor * IDLE_GROWTH);
                node.silentSinceNanos = nowNanos;
                node.consecutiveFailures = 0;
                if (node.ejected) {
                    node.ejected = false;
                    ejectedCount -= node.isReady() ? 1 : 0;
                    node.ejectionNanos = MIN_EJECTION_NANOS;
                }
            }
            case NOCONN, RST, LATE, BAD -> {
                node.hasConnection &= !broken;
                if (outcome == Outcome.NOCONN
                        && elapsedNanos < settings.limits().connectTimeoutNanos() / 2) {
                    idleFactor = Math.max(MIN_IDLE_FACTOR, idleFactor / 2);
                }
                if (++node.consecutiveFailures >= (broken ? breaksToEject() : failuresToEject()) || probe) {
                    eject(node, broken ? 1 : MAX_EJECTED_FOR_LATENESS, nowNanos);
                }
            }
            case FULL -> node.silentSinceNanos = nowNanos;
            case CROWDED -> {
                node.silentSinceNanos = nowNanos;
                setIdleFactor(node, minIdleFactor());
            }
            default -> {}
        }
        node.probeInFlight &= !probe && node.ejected;
    }

    /**
     * Idle time factor at a crowded server. There an idle connection blocks requests of other proxies: one
     * request in each answer time, for which the silence timeout stands. A connection is kept until that cost
     * equals the charge of a new one.
     */
    private double minIdleFactor() {
        double minNanos = Math.max(settings.quantumNanos(), settings.charges().perHandshake() * silenceTimeoutNanos);
        return Math.min(1, minNanos / settings.limits().idleCloseNanos());
    }

    /**
     * Sets how long connections to a server may stay idle. All proxies share the connection table of a server:
     * two or three idle connections of one proxy do no harm, but those of many fill it and shut out a proxy
     * without one. A proxy that is refused therefore closes its own soon, which costs up to one new connection
     * for each request.
     */
    private void setIdleFactor(Node node, double factor) {
        node.idleFactor = factor;
        actions.trim(node.id, (long) (factor * settings.limits().idleCloseNanos()));
    }

    /**
     * Ejects the node for a time that doubles while its probes fail. Of caches that only answer late, at most a
     * quarter is ejected: in an overload, each ejection loads the others and turns its keys into misses.
     */
    void eject(Node node, double maxEjected, long nowNanos) {
        if (isOrigin(node)
                || (node.ejected ? nowNanos < node.ejectedUntilNanos : ejectedCount > maxEjected * caches.length)) {
            return;
        }
        node.ejectedUntilNanos = nowNanos + node.ejectionNanos;
        node.ejectionNanos = Math.min(MAX_EJECTION_NANOS, node.ejectionNanos * 2);
        ejectedCount += node.ejected || !node.isReady() ? 0 : 1;
        node.ejected = true;
    }
}
