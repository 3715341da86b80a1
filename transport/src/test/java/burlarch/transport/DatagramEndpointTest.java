package burlarch.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests sending and receiving datagrams over loopback. */
@Timeout(20)
class DatagramEndpointTest {
    private final SelectorEventLoop loop = new SelectorEventLoop("datagram-test");
    private final InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    /** A received datagram. */
    private record Received(InetSocketAddress from, byte[] content) {}

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void datagramIsDeliveredWithTheAddressOfItsSender() throws Exception {
        BlockingQueue<Received> received = new LinkedBlockingQueue<>();
        try (DatagramEndpoint sender = new DatagramEndpoint(loop, anyPort, (from, content) -> {});
                DatagramEndpoint receiver = new DatagramEndpoint(loop, anyPort, (from, content) -> {
                    received.add(new Received(from, content));
                    throw new IllegalStateException("meant to be thrown by a test");
                })) {
            sender.send(receiver.address(), new byte[] {1, 2, 3});
            sender.send(receiver.address(), new byte[DatagramEndpoint.MAX_DATAGRAM_BYTES]);
            Received first = RecordingListener.awaitNext(received);
            assertThat(first.content()).containsExactly(1, 2, 3);
            assertThat(first.from()).isEqualTo(sender.address());
            assertThat(RecordingListener.awaitNext(received).content()).hasSize(DatagramEndpoint.MAX_DATAGRAM_BYTES);
        }
    }

    @Test
    void datagramsThatCannotBeSentAreCountedAsDropped() throws Exception {
        DatagramEndpoint endpoint = new DatagramEndpoint(loop, anyPort, (from, content) -> {});
        endpoint.send(anyPort, new byte[DatagramEndpoint.MAX_DATAGRAM_BYTES + 1]);
        assertThat(endpoint.droppedDatagrams()).isEqualTo(1);
        endpoint.close();
        endpoint.send(endpoint.address(), new byte[1]);
        assertThat(endpoint.droppedDatagrams()).isEqualTo(2);
    }
}
