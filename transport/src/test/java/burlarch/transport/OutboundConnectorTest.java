package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class OutboundConnectorTest {
    private static final int ATTEMPTS = 3;

    private final SelectorEventLoop loop = new SelectorEventLoop("connector-test");

    @AfterEach
    void close() {
        loop.close();
    }

    /** Else a peer would never be dialled again. */
    @Test
    void anUnexpectedExceptionIsFollowedByAnotherAttempt() throws Exception {
        AtomicInteger opened = new AtomicInteger();
        CountDownLatch attempts = new CountDownLatch(ATTEMPTS);
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            OutboundConnector connector = new OutboundConnector(
                    loop,
                    TransportSettings.DEFAULTS,
                    new InetSocketAddress("127.0.0.1", listener.getLocalPort()),
                    channel -> fail(channel, opened, attempts));
            loop.execute(connector::start);

            assertThat(attempts.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(opened.get()).isGreaterThanOrEqualTo(ATTEMPTS);
            loop.execute(connector::stop);
        }
    }

    private static TcpPeerConnection fail(SocketChannel channel, AtomicInteger opened, CountDownLatch attempts)
            throws IOException {
        channel.close();
        opened.incrementAndGet();
        attempts.countDown();
        throw new IllegalStateException("unexpected");
    }
}
