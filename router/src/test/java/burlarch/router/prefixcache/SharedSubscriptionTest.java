package burlarch.router.prefixcache;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.engine.KvOffset;
import burlarch.engine.KvUpdate;
import burlarch.router.prefixcache.KvUpdateBatchCodec.MalformedBatchException;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Simulation of many routers that share subscriptions: sources emit events, readers fail before they have published
 * them, and batches are lost. All routers must know the state of each source, or know that events were lost.
 */
class SharedSubscriptionTest {
    private static final int ROUTERS = 30;
    private static final int SOURCES = 20;
    private static final int CALL_LIMIT = 12;

    private final Random random = new Random(4);
    private final Map<String, VirtualSource> sources = new TreeMap<>();
    private final Map<String, VirtualRouter> routers = new TreeMap<>();
    private double batchLossProbability;

    private static final class VirtualSource {
        final List<KvEvent> events = new ArrayList<>();
        final Set<Long> cachedSegments = new HashSet<>();
        long epoch = 1;

        void changeCache(Random random) {
            long segment = random.nextInt(40);
            boolean isAdded = cachedSegments.add(segment);
            if (!isAdded) {
                cachedSegments.remove(segment);
            }
            events.add(new KvEvent(isAdded, "s", segment, isAdded ? 16 : 0, ""));
        }

        void restart() {
            epoch++;
            events.clear();
            cachedSegments.clear();
        }

        KvUpdate read(String name, KvOffset known) {
            long since = known == null || known.epoch() != epoch ? 0 : known.next();
            List<KvEvent> newEvents = List.copyOf(events.subList((int) since, events.size()));
            return new KvUpdate(new KvEvents(name, epoch, false, newEvents), false, since, events.size());
        }
    }

    private static final class VirtualRouter {
        final SourceOffsets offsets = new SourceOffsets();
        final Map<String, Set<Long>> cachedSegments = new HashMap<>();
        final Map<String, Long> epochs = new HashMap<>();
        final Set<String> sourcesWithLostEvents = new HashSet<>();

        boolean apply(KvUpdate update) {
            KvUpdate accepted = offsets.accept(update);
            if (accepted == null) {
                return false;
            }
            String source = accepted.events().source();
            Set<Long> segments = cachedSegments.computeIfAbsent(source, name -> new HashSet<>());
            Long epoch = epochs.put(source, accepted.events().epoch());
            if (epoch != null && epoch != accepted.events().epoch()) {
                segments.clear();
            }
            if (accepted.events().lost()) {
                sourcesWithLostEvents.add(source);
            }
            for (KvEvent event : accepted.events().events()) {
                if (event.added()) {
                    segments.add(event.segment());
                } else {
                    segments.remove(event.segment());
                }
            }
            return true;
        }
    }

    SharedSubscriptionTest() {
        for (int i = 0; i < SOURCES; i++) {
            sources.put("engine-" + i, new VirtualSource());
        }
        for (int i = 0; i < ROUTERS; i++) {
            routers.put("router-" + i, new VirtualRouter());
        }
    }

    /** Changes each source and lets its readers read and publish; some readers fail before they have published. */
    private void step(double failureProbability) throws MalformedBatchException {
        for (VirtualSource source : sources.values()) {
            source.changeCache(random);
        }
        List<String> liveRouters = List.copyOf(routers.keySet());
        for (String router : liveRouters) {
            List<KvUpdate> read = read(router, liveRouters);
            if (random.nextDouble() < failureProbability) {
                routers.remove(router);
            } else {
                publish(router, KvUpdateBatchCodec.encode(read));
            }
        }
    }

    private List<KvUpdate> read(String router, List<String> liveRouters) {
        SourceAssignment assignment = new SourceAssignment(router, liveRouters.size(), liveRouters);
        VirtualRouter self = routers.get(router);
        List<KvUpdate> read = new ArrayList<>();
        sources.forEach((name, source) -> {
            if (assignment.isReader(name, CALL_LIMIT)) {
                KvUpdate update = source.read(name, self.offsets.offsetOf(name).orElse(null));
                if (self.apply(update)) {
                    read.add(update);
                }
            }
        });
        return read;
    }

    private void publish(String publisher, byte[] batch) throws MalformedBatchException {
        for (Map.Entry<String, VirtualRouter> router : routers.entrySet()) {
            if (!router.getKey().equals(publisher) && random.nextDouble() >= batchLossProbability) {
                KvUpdateBatchCodec.decode(batch).forEach(router.getValue()::apply);
            }
        }
    }

    private void assertAllRoutersKnowAllSources() {
        routers.forEach((router, state) -> sources.forEach((name, source) -> assertThat(state.cachedSegments.get(name))
                .as("%s of %s", router, name)
                .isEqualTo(source.cachedSegments)));
    }

    @Test
    void allRoutersKnowAllSourcesWhileReadersFail() throws MalformedBatchException {
        for (int i = 0; i < 60; i++) {
            step(0.01);
        }
        step(0);
        assertThat(routers).hasSizeBetween(11, 29);
        assertAllRoutersKnowAllSources();
        assertThat(routers.values())
                .allSatisfy(router -> assertThat(router.sourcesWithLostEvents).isEmpty());
    }

    @Test
    void allRoutersKnowAllSourcesAfterSourcesRestart() throws MalformedBatchException {
        for (int i = 0; i < 60; i++) {
            sources.get("engine-" + random.nextInt(SOURCES)).restart();
            step(0.01);
        }
        step(0);
        assertAllRoutersKnowAllSources();
    }

    @Test
    void routerThatMissedABatchDetectsTheGap() throws MalformedBatchException {
        batchLossProbability = 0.05;
        for (int i = 0; i < 60; i++) {
            step(0.01);
        }
        batchLossProbability = 0;
        step(0);
        routers.forEach((router, state) -> sources.forEach((name, source) -> {
            if (!state.sourcesWithLostEvents.contains(name)) {
                assertThat(state.cachedSegments.get(name))
                        .as("%s of %s", router, name)
                        .isEqualTo(source.cachedSegments);
            }
        }));
        assertThat(routers.values())
                .anySatisfy(router -> assertThat(router.sourcesWithLostEvents).isNotEmpty());
    }
}
