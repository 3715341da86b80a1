package burlarch.fleet.router;

import static burlarch.fleet.router.FakeEngine.ascii;
import static burlarch.fleet.router.FakeEngine.whole;
import static burlarch.fleet.router.RouterFixture.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Leaving service. */
class DrainTest {
    @Test
    void openRequestIsAnsweredAndTheLastAnswerCloses() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        try (FakeEngine engine = new FakeEngine((received, socket, out) -> {
            if (received.line().contains("slow")) {
                asked.await();
            }
            out.write(ascii(whole(received, "", "x")));
        });
                RouterFixture fixture = new RouterFixture(engine); RawClient slow = fixture.client();
                RawClient kept = fixture.client(); RawClient late = fixture.client();
                RawClient platform = new RawClient(fixture.router.readinessPort())) {
            slow.send(request("POST", "/once/slow", "id", "", "x"));
            engine.next();
            CompletableFuture<Void> drained = fixture.router.drain();
            assertThat(platform.ask("GET /burlarch/readyz HTTP/1.1\r\nHost: x\r\n\r\n").status())
                    .isEqualTo(503);
            RawClient.Answer first = kept.ask(request("POST", "/once/a", "id2", "", "x"));
            assertThat(first.status()).isEqualTo(200);
            assertThat(first.header("Connection")).isNull();
            RawClient.Answer last = first;
            for (int i = 0; last.header("Connection") == null; i++) {
                last = kept.ask(request("POST", "/once/a", "more" + i, "", "x"));
                assertThat(last.status()).isEqualTo(200);
            }
            assertThat(last.header("Connection")).isEqualTo("close");
            assertThat(kept.isClosedByPeer()).isTrue();
            assertThat(drained).isNotDone();
            assertThat(late.ask(request("POST", "/once/a", "id3", "", "x")).status()).isEqualTo(200);
            asked.countDown();
            assertThat(slow.answer().status()).isEqualTo(200);
            drained.get(5, TimeUnit.SECONDS);
        }
    }

    @Test
    void silentRequestDoesNotHoldItBeyondTheGrace() throws Exception {
        CountDownLatch over = new CountDownLatch(1);
        try (FakeEngine engine = new FakeEngine((received, socket, out) -> over.await());
                RouterFixture fixture = new RouterFixture(engine);
                RawClient client = fixture.client()) {
            client.send(request("POST", "/once/a", "id", "", "x"));
            engine.next();
            fixture.router.drain().get(RouterFixture.GRACE_MILLIS, TimeUnit.MILLISECONDS);
            over.countDown();
        }
    }
}
