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

/** Tests how long a control process waits at shutdown for the router on its machine. */
@Timeout(30)
class RouterOnSameMachineTest {
    private static final long LONG_WAIT_NANOS = TimeUnit.SECONDS.toNanos(25);

    private static RouterOnSameMachine routerAt(ServerSocket listener, long maxWaitNanos) {
        return new RouterOnSameMachine(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort()), maxWaitNanos);
    }

    private static ServerSocket openListener() throws Exception {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @Test
    void returnsIfNoRouterListens() throws Exception {
        ServerSocket closed = openListener();
        RouterOnSameMachine router = routerAt(closed, LONG_WAIT_NANOS);
        closed.close();
        router.awaitEnd();
        assertThat(closed.isClosed()).isTrue();
    }

    @Test
    void waitsUntilRouterStopsListening() throws Exception {
        try (ServerSocket listener = openListener()) {
            CompletableFuture<Void> waitEnded = CompletableFuture.runAsync(
                    () -> routerAt(listener, LONG_WAIT_NANOS).awaitEnd());
            try (Socket first = listener.accept();
                    Socket second = listener.accept()) {
                assertThat(first.isConnected() && second.isConnected()).isTrue();
            }
            assertThat(waitEnded).isNotDone();
            listener.close();
            waitEnded.get(20, TimeUnit.SECONDS);
        }
    }

    @Test
    void stopsWaitingForRouterThatKeepsListeningAtTheLimit() throws Exception {
        try (ServerSocket listener = openListener()) {
            long startNanos = System.nanoTime();
            routerAt(listener, TimeUnit.MILLISECONDS.toNanos(150)).awaitEnd();
            assertThat(System.nanoTime() - startNanos).isGreaterThanOrEqualTo(TimeUnit.MILLISECONDS.toNanos(150));
        }
    }
}
