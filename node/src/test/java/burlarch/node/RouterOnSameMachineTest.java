package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The end of a control process beside a router. */
@Timeout(30)
class RouterOnSameMachineTest {
    private static final long LONG_NANOS = TimeUnit.SECONDS.toNanos(25);

    private static RouterOnSameMachine at(ServerSocket listener, long longestWaitNanos) {
        return new RouterOnSameMachine(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()), longestWaitNanos);
    }

    private static ServerSocket listener() throws Exception {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @Test
    void withoutARouterThereIsNothingToWaitFor() throws Exception {
        ServerSocket closed = listener();
        RouterOnSameMachine router = at(closed, LONG_NANOS);
        closed.close();
        router.awaitEnd();
        assertThat(closed.isClosed()).isTrue();
    }

    @Test
    void theControlProcessOutlivesTheRouter() throws Exception {
        try (ServerSocket listener = listener()) {
            CompletableFuture<Void> ended =
                    CompletableFuture.runAsync(() -> at(listener, LONG_NANOS).awaitEnd());
            try (Socket first = listener.accept();
                    Socket second = listener.accept()) {
                assertThat(first.isConnected() && second.isConnected()).isTrue();
            }
            assertThat(ended).isNotDone();
            listener.close();
            ended.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void aRouterThatDoesNotEndIsNotWaitedForBeyondTheGracePeriod() throws Exception {
        try (ServerSocket listener = listener()) {
            long startNanos = System.nanoTime();
            at(listener, TimeUnit.MILLISECONDS.toNanos(150)).awaitEnd();
            assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(150));
        }
    }
}
