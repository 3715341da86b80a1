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

/** Tests that a failed attempt to connect is followed by another one. */
@Timeout(20)
class OutboundConnectorTest {
    private static final int ATTEMPTS = 3;

    private final SelectorEventLoop loop = new SelectorEventLoop("connector-test");

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against a connector that stops reconnecting after an unexpected exception of the connection factory. */
    @Test
    void unexpectedExceptionIsFollowedByAnotherAttempt() throws Exception {
        AtomicInteger failedAttempts = new AtomicInteger();
        CountDownLatch remainingAttempts = new CountDownLatch(ATTEMPTS);
        try (ServerSocket listener = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))) {
            OutboundConnector connector = new OutboundConnector(
                    loop,
                    TransportSettings.DEFAULTS,
                    new InetSocketAddress("127.0.0.1", listener.getLocalPort()),
                    channel -> closeAndThrow(channel, failedAttempts, remainingAttempts));
            loop.execute(connector::start);

            assertThat(remainingAttempts.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(failedAttempts.get()).isGreaterThanOrEqualTo(ATTEMPTS);
            loop.execute(connector::stop);
        }
    }

    private static TcpPeerConnection closeAndThrow(
            SocketChannel channel, AtomicInteger failedAttempts, CountDownLatch remainingAttempts) throws IOException {
        channel.close();
        failedAttempts.incrementAndGet();
        remainingAttempts.countDown();
        throw new IllegalStateException("unexpected");
    }
}
