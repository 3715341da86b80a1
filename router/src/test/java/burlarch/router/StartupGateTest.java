package burlarch.router;

import static burlarch.router.FakeEngine.ascii;
import static burlarch.router.FakeEngine.whole;
import static burlarch.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.junit.jupiter.api.Test;

/** Requests that come before the router knows where they go. */
class StartupGateTest {
    @Test
    void requestBeforeTheFirstConfigurationWaitsForIt() throws Exception {
        try (FakeEngine engine = new FakeEngine((in, socket, out) -> out.write(ascii(whole(in, "", "x"))));
                RouterFixture fixture = new RouterFixture(false, engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "id", "", "body"));
            fixture.inform();
            assertThat(client.answer().status()).isEqualTo(200);
            assertThat(engine.next().body()).isEqualTo(ascii("body"));
        }
    }

    @Test
    void requestIsRefusedWhereNoConfigurationComes() throws Exception {
        try (RouterFixture fixture = new RouterFixture(false);
                RawClient client = fixture.client()) {
            RawClient.Answer answer = client.ask(request("POST", "/once/a", "id", "", "body"));
            assertThat(answer.status()).isEqualTo(503);
            assertThat(answer.header("Retry-After")).isNotNull();
        }
    }

    @Test
    void whatWaitsGoesOnInTheOrderOfArrivalAndTheRestAtOnce() throws Exception {
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("hold", true);
        scheduler.start();
        try {
            StartupGate hold = new StartupGate(scheduler);
            List<Integer> passed = new ArrayList<>();
            hold.pass(() -> passed.add(1));
            hold.pass(() -> passed.add(2));
            assertThat(passed).isEmpty();
            hold.open();
            assertThat(passed).containsExactly(1, 2);
            hold.pass(() -> passed.add(3));
            assertThat(passed).containsExactly(1, 2, 3);
        } finally {
            scheduler.stop();
        }
    }

    @Test
    void noMoreThanTheBoundWait() throws Exception {
        ScheduledExecutorScheduler scheduler = new ScheduledExecutorScheduler("hold", true);
        scheduler.start();
        try {
            StartupGate hold = new StartupGate(scheduler);
            AtomicInteger passed = new AtomicInteger();
            for (int i = 0; i <= StartupGate.MOST; i++) {
                hold.pass(new Counting(passed));
            }
            assertThat(passed.get()).isEqualTo(1);
        } finally {
            scheduler.stop();
        }
    }

    private static final class Counting implements Runnable {
        private final AtomicInteger count;

        Counting(AtomicInteger count) {
            this.count = count;
        }

        @Override
        public void run() {
            count.incrementAndGet();
        }
    }

    @Test
    void coverIsWholeOnceEachServiceThatTakesRequestsWasHeardOf() {
        Configuration configuration = new Configuration(
                1,
                List.of(),
                List.of(service("a", null), service("b", null), service("store", "10.0.0.1:1")),
                null,
                List.of());
        assertThat(ServiceAvailability.isWhole(configuration, List.of(instance("a"))))
                .isFalse();
        assertThat(ServiceAvailability.isWhole(configuration, List.of(instance("a"), instance("b"))))
                .isTrue();
    }

    private static Service service(String name, String store) {
        return new Service(name, "/healthz", 100, null, store, null, 0, 0, 0);
    }

    private static Instance instance(String service) {
        return new Instance(
                "i-" + service, service, "10.0.0.2:1", "zone", "v1", 8, InstanceState.READY, 0, List.of(), 1);
    }
}
