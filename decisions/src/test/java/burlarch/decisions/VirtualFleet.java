package burlarch.decisions;

import burlarch.decisions.Api.Charges;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Obligations;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Repeat;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Scope;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.Api.Tenant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToLongFunction;

/**
 * Discrete-event simulation of many proxies, each with a {@link Policy}, that use the same servers. Each server
 * accepts few connections and processes few requests at once. Counts the requests of the whole fleet.
 */
final class VirtualFleet {
    static final long MS = 1_000_000L;
    static final long ORIGIN = 1000;
    static final long TARGET_NANOS = 300 * MS;
    static final long WARM_UP_NANOS = 20_000 * MS;
    static final long OVERLOAD_WINDOW_NANOS = 3_000 * MS;
    static final double COLD_START_FRACTION = 0.12;
    static final double OVERLOAD_MULTIPLE = 3;
    private static final long IDLE_CLOSE_NANOS = 15_000 * MS;
    private static final long DEFAULT_IDLE_NANOS = 6_000 * MS;
    private static final long NETWORK_DELAY_NANOS = MS;
    private static final long CONNECT_TIMEOUT_NANOS = 250 * MS;

    static Settings settings(int proxies, double quotaPerSecond) {
        return new Settings(
                proxies,
                true,
                1,
                MS,
                new Limits(5, true, false, true, 2_000 * MS, CONNECT_TIMEOUT_NANOS, IDLE_CLOSE_NANOS),
                new Charges(0.08, 0),
                new Obligations(
                        COLD_START_FRACTION, WARM_UP_NANOS, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW_NANOS, 10_000_000_000L),
                List.of(new RequestClass("read", TARGET_NANOS, 0, Repeat.PURE, Scope.ALL, 0, 1, 0)),
                List.of(new Tenant("a", 1, quotaPerSecond)));
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    /** A simulated cache or origin. */
    static final class Node {
        final long id;
        final int maxConnections;
        final int workers;
        final long workNanos;
        boolean dead;
        boolean holdsAllKeys = true;
        long bootNanos;
        int connections;
        int busyWorkers;
        int crowdedCount;
        int refusedConnects;
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        final Set<Long> keys = new HashSet<>();
        /** When attempts were sent to this node, by any proxy. */
        final List<Long> sendTimesNanos = new ArrayList<>();

        Node(long id, int maxConnections, int workers, long workNanos) {
            this.id = id;
            this.maxConnections = maxConnections;
            this.workers = workers;
            this.workNanos = workNanos;
        }

        Server entry(Stage stage) {
            return new Server(id, bootNanos, 1, 0, stage, id == ORIGIN ? 1 : 0, 0);
        }

        /** Returns the most attempts that were sent to this node in any window of that length. */
        int maxCountWithin(long windowNanos) {
            return VirtualFleet.maxCountWithin(sendTimesNanos, windowNanos);
        }
    }

    /** A simulated proxy: a policy with its own connections. */
    final class Proxy implements Api.Actions {
        final Policy policy;
        boolean dead;
        int requestCount;
        int servedCount;
        int refusedCount;
        final List<Long> listCallTimesNanos = new ArrayList<>();
        private final Map<Long, long[]> openRequests = new HashMap<>();
        private final Map<Long, ArrayDeque<Long>> idleSinceNanos = new HashMap<>();
        private final Map<Long, Long> idleLimitsNanos = new HashMap<>();

        Proxy(Settings settings, long seed) {
            policy = new Policy(settings, seed, this);
        }

        void submit(long key) {
            long id = nextId++;
            requestCount++;
            openRequests.put(id, new long[] {key, 0});
            policy.onRequest(nowNanos, new Request(id, 0, 0, true, key, nowNanos + 4 * TARGET_NANOS, 0, false));
        }

        /** Closes expired idle connections to a node and returns when the others became idle, oldest first. */
        private ArrayDeque<Long> idleConnections(Node node) {
            ArrayDeque<Long> sinceNanos = idleSinceNanos.computeIfAbsent(node.id, id -> new ArrayDeque<>());
            long idleLimitNanos =
                    Math.min(DEFAULT_IDLE_NANOS, idleLimitsNanos.getOrDefault(node.id, DEFAULT_IDLE_NANOS));
            while (!sinceNanos.isEmpty() && nowNanos - sinceNanos.peek() >= idleLimitNanos) {
                sinceNanos.poll();
                node.connections--;
            }
            return sinceNanos;
        }

        @Override
        public void send(long request, long server, long abandonAtNanos) {
            Node node = nodes.get(server);
            long[] requestState = openRequests.get(request);
            int attempt = (int) requestState[1]++;
            long sentNanos = nowNanos;
            node.sendTimesNanos.add(nowNanos);
            if (node.dead) {
                node.refusedConnects++;
                schedule(
                        2 * NETWORK_DELAY_NANOS, () -> endAttempt(request, attempt, server, Outcome.NOCONN, sentNanos));
                return;
            }
            if (idleConnections(node).pollLast() == null) {
                proxies.forEach(other -> other.idleConnections(node));
                if (node.connections >= node.maxConnections) {
                    node.crowdedCount++;
                    schedule(
                            2 * NETWORK_DELAY_NANOS,
                            () -> endAttempt(request, attempt, server, Outcome.CROWDED, sentNanos));
                    return;
                }
                node.connections++;
            }
            boolean[] ended = {false};
            schedule(abandonAtNanos - nowNanos, () -> {
                if (!ended[0]) {
                    ended[0] = true;
                    node.connections--;
                    endAttempt(request, attempt, server, Outcome.LATE, sentNanos);
                }
            });
            Runnable process = () -> schedule(node.workNanos, () -> {
                node.busyWorkers--;
                if (!node.queue.isEmpty()) {
                    node.busyWorkers++;
                    node.queue.poll().run();
                }
                if (!ended[0]) {
                    ended[0] = true;
                    idleConnections(node).add(nowNanos);
                    boolean hit = node.id == ORIGIN || node.holdsAllKeys || node.keys.contains(requestState[0]);
                    if (node.id == ORIGIN) {
                        nodes.values().forEach(cache -> cache.keys.add(requestState[0]));
                    }
                    endAttempt(request, attempt, server, hit ? Outcome.GOOD : Outcome.MISS, sentNanos);
                }
            });
            if (node.busyWorkers < node.workers) {
                node.busyWorkers++;
                process.run();
            } else {
                node.queue.add(process);
            }
        }

        private void endAttempt(long request, int attempt, long server, Outcome outcome, long sentNanos) {
            if (dead) {
                return;
            }
            boolean finished = !openRequests.containsKey(request);
            if (outcome == Outcome.GOOD && openRequests.remove(request) != null) {
                servedCount++;
                finished = true;
            }
            policy.onEnded(nowNanos, new Ended(request, attempt, server, outcome, finished, nowNanos - sentNanos));
        }

        @Override
        public void cancel(long request, int attempt) {}

        @Override
        public void refuse(long request, long retryAfterNanos) {
            openRequests.remove(request);
            refusedCount++;
        }

        @Override
        public void fail(long request) {
            openRequests.remove(request);
        }

        @Override
        public void timer(long delayNanos, long token) {
            schedule(delayNanos, () -> {
                if (!dead) {
                    policy.onTimer(nowNanos, token);
                }
            });
        }

        @Override
        public void closeIdleConnections(long server) {
            Node node = nodes.get(server);
            node.connections -= idleConnections(node).size();
            idleSinceNanos.remove(server);
        }

        @Override
        public void trim(long server, long idleNanos) {
            idleLimitsNanos.put(server, idleNanos);
        }

        @Override
        public void watchList() {
            listCallTimesNanos.add(nowNanos);
            schedule(
                    discoveryDelayNanos.applyAsLong(this),
                    () -> policy.onList(nowNanos, ListKind.UNAVAILABLE, List.of()));
        }

        @Override
        public void log(String text) {}
    }

    final Map<Long, Node> nodes = new HashMap<>();
    final List<Proxy> proxies = new ArrayList<>();
    final SplittableRandom random = new SplittableRandom(5);
    /** How long discovery takes to fail a call for the server list; by default it never answers. */
    ToLongFunction<Proxy> discoveryDelayNanos = proxy -> Long.MAX_VALUE / 4;

    long nowNanos = 50_000 * MS;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>((first, second) -> first.atNanos() != second.atNanos()
                    ? Long.compare(first.atNanos(), second.atNanos())
                    : Long.compare(first.sequence(), second.sequence()));
    private long nextId = 1;
    private long nextSequence;

    void schedule(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), nextSequence++, action));
    }

    void add(Node node) {
        nodes.put(node.id, node);
    }

    Proxy addProxy(Settings settings) {
        Proxy proxy = new Proxy(settings, proxies.size() + 1);
        proxies.add(proxy);
        deliverList(
                proxy,
                ListKind.RESTORED,
                nodes.values().stream().map(node -> node.entry(Stage.IN)).toList());
        return proxy;
    }

    void deliverList(Proxy proxy, ListKind kind, List<Server> entries) {
        proxy.policy.onList(nowNanos, kind, entries);
    }

    void deliverListToAll(ListKind kind, List<Server> entries) {
        proxies.forEach(proxy -> deliverList(proxy, kind, entries));
    }

    /** Starts Poisson arrivals at a proxy until that time, of reads of a random one of so many keys. */
    void startTraffic(Proxy proxy, double perSecond, int keys, long untilNanos) {
        double gapSeconds = -Math.log(1 - random.nextDouble()) / perSecond;
        schedule((long) (gapSeconds * 1e9), () -> {
            if (nowNanos < untilNanos && !proxy.dead) {
                proxy.submit(random.nextInt(keys));
                startTraffic(proxy, perSecond, keys, untilNanos);
            }
        });
    }

    /** Runs the events that are due by that time and advances the clock to it. */
    void runUntil(long untilNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= untilNanos) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = untilNanos;
    }

    /** Returns the most of these times that lie within any window of that length. */
    static int maxCountWithin(List<Long> timesNanos, long windowNanos) {
        List<Long> sortedNanos = timesNanos.stream().sorted().toList();
        int maxCount = 0;
        int start = 0;
        for (int end = 0; end < sortedNanos.size(); end++) {
            while (sortedNanos.get(end) - sortedNanos.get(start) >= windowNanos) {
                start++;
            }
            maxCount = Math.max(maxCount, end - start + 1);
        }
        return maxCount;
    }
}
