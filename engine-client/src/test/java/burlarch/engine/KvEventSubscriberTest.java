package burlarch.engine;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.engine.KvEventSubscriber.Source;
import burlarch.routing.KvEvents;
import burlarch.routing.KvEvents.KvEvent;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the subscriber against a stub engine on loopback; its delays pass in virtual time. */
class KvEventSubscriberTest implements KvUpdateListener {
    private record ScheduledTask(Runnable task, long delayMillis) {}

    private final BlockingQueue<ScheduledTask> scheduledTasks = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private final AtomicLong nowNanos = new AtomicLong(5_000_000_000L);
    private final HttpClient http = new HttpClient();
    private StubEngine engine;
    private KvEventSubscriber subscriber;

    @BeforeEach
    void start() throws Exception {
        http.start();
        engine = new StubEngine();
        subscriber = new KvEventSubscriber(
                new EngineClient(http),
                this,
                (task, delayMillis) -> scheduledTasks.add(new ScheduledTask(task, delayMillis)),
                nowNanos::get,
                () -> 0.5);
    }

    @AfterEach
    void stop() throws Exception {
        subscriber.close();
        engine.close();
        http.stop();
    }

    @Override
    public void onUpdate(KvUpdate update) {
        updates.add((update.snapshot() ? "list " : "events ") + format(update.events()));
    }

    @Test
    void continuesFromTheOffsetAndDeliversOnlyNewEvents() throws Exception {
        engine.respondsWith(200, eventsBody(7, 2, false, "[2,\"+\",\"s\",\"a\",10,\"m\"]"))
                .respondsWith(200, eventsBody(7, 2, false, ""))
                .respondsWith(200, eventsBody(7, 3, false, "[3,\"-\",\"s\",\"a\",0,\"m\"]"));
        subscribeToEngine();

        assertThat(runNextTask()).isZero();
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=0 900 i-1");
        assertThat(nextUpdate()).isEqualTo("events i-1 7 +s:a:10:m");
        assertThat(runNextTask()).isEqualTo(250);
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=2 900 i-1");
        assertThat(runNextTask()).isEqualTo(250);
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=2 900 i-1");
        assertThat(nextUpdate()).isEqualTo("events i-1 7 -s:a:0:m");
    }

    /** Guards against a surplus response to an earlier call, which brings segments back that were removed since. */
    @Test
    void responseThatEndsBeforeItsOffsetIsNotApplied() throws Exception {
        engine.respondsWith(200, eventsBody(7, 20, false, ""))
                .respondsWith(200, eventsBody(7, 12, false, "[12,\"+\",\"s\",\"a\",10,\"m\"]"))
                .respondsWith(200, "{\"epoch\":7,\"next_page_token\":21,\"held\":[[\"s\",\"b\",5,\"m\"]]}");
        subscribeToEngine();

        runNextTask();
        assertThat(nextUpdate()).isEqualTo("events i-1 7");
        runNextTask();
        runNextTask();

        assertThat(nextUpdate()).isEqualTo("list i-1 7 +s:b:5:m");
    }

    @Test
    void newEpochRestartsFromTheOldestEvent() throws Exception {
        engine.respondsWith(200, eventsBody(7, 20, false, ""))
                .respondsWith(200, eventsBody(8, 3, false, ""))
                .respondsWith(200, eventsBody(8, 3, false, "[1,\"+\",\"s\",\"b\",5,\"m\"]"));
        subscribeToStore();

        runNextTask();
        assertThat(nextUpdate()).isEqualTo("events store 7");
        runNextTask();
        assertThat(nextUpdate()).isEqualTo("events store 8");
        assertThat(runNextTask()).isZero();
        assertThat(nextUpdate()).isEqualTo("events store 8 +s:b:5:m");
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=0 900 null");
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=20 900 null");
        assertThat(engine.nextRequest()).isEqualTo("GET /burlarch/kv-events?since=0 900 null");
    }

    @Test
    void lostEventsAreRepairedByOneSnapshotInTenSeconds() throws Exception {
        engine.respondsWith(200, eventsBody(7, 20, true, ""))
                .respondsWith(200, "{\"epoch\":7," + "\"next_page_token\":30,\"held\":[[\"s\",\"c\",9,\"m\"]]}")
                .respondsWith(200, eventsBody(7, 31, true, ""));
        subscribeToEngine();

        runNextTask();
        assertThat(nextUpdate()).isEqualTo("events i-1 7 lost");
        assertThat(runNextTask()).isEqualTo(250);
        assertThat(nextUpdate()).isEqualTo("list i-1 7 +s:c:9:m");
        assertThat(runNextTask()).isZero();
        assertThat(engine.nextRequest()).contains("kv-events?since=0");
        assertThat(engine.nextRequest()).contains("kv-list");
        assertThat(engine.nextRequest()).contains("kv-events?since=30");
        long endNanos = nowNanos.get() + TimeUnit.MILLISECONDS.toNanos(9750);
        while (nowNanos.get() < endNanos) {
            engine.respondsWith(200, eventsBody(7, 31, false, ""));
            runNextTask();
            assertThat(engine.nextRequest()).contains("kv-events?since=31");
        }
        engine.respondsWith(200, "{\"epoch\":7,\"next_page_token\":40,\"held\":[]}");
        runNextTask();
        assertThat(engine.nextRequest()).contains("kv-list");
    }

    @Test
    void requestedSnapshotIsReadSoon() throws Exception {
        engine.respondsWith(200, eventsBody(7, 20, false, ""))
                .respondsWith(200, eventsBody(7, 20, false, ""))
                .respondsWith(200, "{\"epoch\":7,\"next_page_token\":30,\"held\":[]}");
        subscribeToEngine();
        runNextTask();
        subscriber.requestSnapshotsSoon();
        runNextTask();
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(250));
        runNextTask();
        assertThat(engine.nextRequest()).contains("kv-events?since=0");
        assertThat(engine.nextRequest()).contains("kv-events?since=20");
        assertThat(engine.nextRequest()).contains("kv-list");
    }

    @Test
    void continuesFromAKnownOffset() throws Exception {
        engine.respondsWith(200, eventsBody(7, 21, false, "[21,\"+\",\"s\",\"a\",10,\"m\"]"));
        subscriber.subscribe(
                List.of(new Source("i-1", engine.address(), false)), name -> Optional.of(new KvOffset(7, 20)));
        runNextTask();
        assertThat(engine.nextRequest()).contains("kv-events?since=20");
        assertThat(nextUpdate()).isEqualTo("events i-1 7 +s:a:10:m");
    }

    @Test
    void limitedCallIsRetriedAfterOneSecond() throws Exception {
        engine.respondsWith(429, "").respondsWith(429, "").respondsWith(200, eventsBody(7, 1, false, ""));
        subscribeToEngine();

        runNextTask();
        assertThat(runNextTask()).isEqualTo(1000);
        assertThat(runNextTask()).isEqualTo(1000);
        assertThat(nextUpdate()).isEqualTo("events i-1 7");
    }

    @Test
    void backoffGrowsWhileASourceIsDown() throws Exception {
        engine.close();
        subscribeToEngine();

        assertThat(runNextTask()).isZero();
        assertThat(List.of(runNextTask(), runNextTask(), runNextTask(), runNextTask(), runNextTask(), runNextTask()))
                .containsExactly(300L, 600L, 1200L, 2400L, 3000L, 3000L);
        assertThat(updates).isEmpty();
    }

    @Test
    void misdirectedCallIsRetriedAfterMaximumBackoff() throws Exception {
        engine.respondsWith(421, "").respondsWith(421, "");
        subscribeToEngine();

        runNextTask();
        assertThat(runNextTask()).isEqualTo(3000);
    }

    @Test
    void removedSourcesStopAndRemainingOnesAreNotInterrupted() throws Exception {
        engine.respondsWith(200, eventsBody(7, 1, false, ""));
        subscribeToEngine();
        runNextTask();
        subscribeToEngine();
        assertThat(nextUpdate()).isEqualTo("events i-1 7");
        ScheduledTask scheduled = scheduledTasks.poll(5, TimeUnit.SECONDS);
        assertThat(scheduledTasks).isEmpty();

        subscriber.subscribe(List.of());
        scheduled.task().run();

        assertThat(engine.nextRequest()).isNotNull();
        assertThat(scheduledTasks).isEmpty();
        assertThat(updates).isEmpty();
    }

    private void subscribeToEngine() {
        subscriber.subscribe(List.of(new Source("i-1", engine.address(), false)));
    }

    private void subscribeToStore() {
        subscriber.subscribe(List.of(new Source("store", engine.address(), true)));
    }

    /** Advances the clock by the next scheduled delay and runs its task; returns the delay in milliseconds. */
    private long runNextTask() throws InterruptedException {
        ScheduledTask scheduled = scheduledTasks.poll(5, TimeUnit.SECONDS);
        nowNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(scheduled.delayMillis()));
        scheduled.task().run();
        return scheduled.delayMillis();
    }

    private String nextUpdate() throws InterruptedException {
        return updates.poll(5, TimeUnit.SECONDS);
    }

    private static String eventsBody(long epoch, long next, boolean lost, String events) {
        return "{\"epoch\":" + epoch + ",\"next_page_token\":" + next + ",\"lost\":" + lost + ",\"events\":[" + events
                + "]}";
    }

    private static String format(KvEvents events) {
        StringBuilder text = new StringBuilder(events.source() + " " + events.epoch());
        if (events.lost()) {
            text.append(" lost");
        }
        for (KvEvent event : events.events()) {
            text.append(event.added() ? " +" : " -")
                    .append(event.salt())
                    .append(':')
                    .append(Long.toHexString(event.segment()))
                    .append(':')
                    .append(event.tokens())
                    .append(':')
                    .append(event.model());
        }
        return text.toString();
    }
}
