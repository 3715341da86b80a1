package burlarch.transport;

import static burlarch.transport.RecordingListener.awaitNext;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests transports over loopback, connected with each other and with misbehaving raw sockets. */
@Timeout(60)
class NodeTransportTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

    private final List<NodeTransport> transports = new ArrayList<>();
    private final List<SelectorEventLoop> loops = new ArrayList<>();
    private final FrameCodec codec = new FrameCodec();

    @AfterEach
    void close() {
        transports.forEach(NodeTransport::close);
        loops.forEach(SelectorEventLoop::close);
    }

    private static InetSocketAddress loopback(int port) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    private NodeTransport startTransport(String name, PeerConnectionListener listener) throws IOException {
        return startTransport(name, listener, TransportSettings.DEFAULTS);
    }

    private NodeTransport startTransport(String name, PeerConnectionListener listener, TransportSettings settings)
            throws IOException {
        SelectorEventLoop loop = new SelectorEventLoop(name);
        loops.add(loop);
        NodeTransport transport = new NodeTransport(loop, SampleMessages.hello(name), loopback(0), listener, settings);
        transports.add(transport);
        return transport;
    }

    private static Socket connectRawSocket(NodeTransport target) throws IOException {
        Socket socket = new Socket();
        socket.connect(target.listenAddress(), SOCKET_TIMEOUT_MILLIS);
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        return socket;
    }

    /** Returns whether the peer closed the connection; reads and discards the bytes sent before. */
    private static boolean isClosedByPeer(Socket socket) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream input = socket.getInputStream();
            int read = input.read(buffer);
            while (read >= 0) {
                read = input.read(buffer);
            }
            return true;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    /** Sends each received message back. */
    private static class EchoListener extends RecordingListener {
        @Override
        public void onMessage(PeerConnection connection, NodeMessage message) {
            connection.send(message);
        }
    }

    @Test
    void bothSidesReceiveTheHelloAndMessagesAreDeliveredInBothDirections() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        EchoListener echoListener = new EchoListener();
        NodeTransport server = startTransport("echo", echoListener);
        startTransport("asking", clientListener).connect(server.listenAddress());
        TcpPeerConnection connection = awaitNext(clientListener.connected);
        assertThat(connection.peerHello()).isEqualTo(SampleMessages.hello("echo"));
        assertThat(connection.isOutbound()).isTrue();
        TcpPeerConnection accepted = awaitNext(echoListener.connected);
        assertThat(accepted.peerHello()).isEqualTo(SampleMessages.hello("asking"));
        assertThat(accepted.isOutbound()).isFalse();
        List<NodeMessage> sent = SampleMessages.all()
                .filter(message -> !(message instanceof NodeMessage.Ping) && !(message instanceof NodeMessage.Hello))
                .toList();
        sent.forEach(connection::send);
        for (NodeMessage message : sent) {
            assertThat(awaitNext(clientListener.messages))
                    .usingRecursiveComparison()
                    .isEqualTo(message);
        }
    }

    @Test
    void messageOfFiveMegabytesIsDeliveredUnchanged() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        NodeTransport server = startTransport("echo", new EchoListener());
        startTransport("asking", clientListener).connect(server.listenAddress());
        byte[] json = new byte[5 << 20];
        new Random(5).nextBytes(json);
        awaitNext(clientListener.connected).send(new NodeMessage.ConfigurationUpdate(8, json));
        NodeMessage.ConfigurationUpdate echoed = (NodeMessage.ConfigurationUpdate) awaitNext(clientListener.messages);
        assertThat(echoed.json()).isEqualTo(json);
    }

    @Test
    void closedConnectionIsReopenedAndEachSideIsNotifiedOnce() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        startTransport("asking", clientListener).connect(server.listenAddress());
        TcpPeerConnection first = awaitNext(clientListener.connected);
        TcpPeerConnection accepted = awaitNext(serverListener.connected);
        accepted.close();
        accepted.close();
        assertThat(awaitNext(clientListener.disconnected)).isSameAs(first);
        assertThat(awaitNext(serverListener.disconnected)).isSameAs(accepted);
        TcpPeerConnection second = awaitNext(clientListener.connected);
        assertThat(second).isNotSameAs(first);
        assertThat(second.isOpen()).isTrue();
        assertThat(first.isOpen()).isFalse();
        awaitNext(serverListener.connected).send(new NodeMessage.FetchCommitted());
        assertThat(awaitNext(clientListener.messages)).isEqualTo(new NodeMessage.FetchCommitted());
        assertThat(clientListener.disconnected).isEmpty();
        assertThat(serverListener.disconnected).isEmpty();
    }

    @Test
    void connectRetriesUntilThePeerListens() throws Exception {
        int port;
        try (ServerSocket unusedPort = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = unusedPort.getLocalPort();
        }
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener();
        startTransport("asking", clientListener).connect(loopback(port));
        SelectorEventLoop loop = new SelectorEventLoop("late");
        loops.add(loop);
        transports.add(new NodeTransport(loop, SampleMessages.hello("late"), loopback(port), serverListener));
        assertThat(awaitNext(clientListener.connected).peerHello().nodeName()).isEqualTo("late");
    }

    @Test
    void disconnectStopsReconnecting() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        NodeTransport client = startTransport("asking", clientListener);
        client.connect(server.listenAddress());
        client.connect(server.listenAddress());
        TcpPeerConnection first = awaitNext(clientListener.connected);
        awaitNext(serverListener.connected);
        client.disconnect(server.listenAddress());
        assertThat(awaitNext(clientListener.disconnected)).isSameAs(first);
        awaitNext(serverListener.disconnected);
        CompletableFuture<Boolean> waited = new CompletableFuture<>();
        loops.get(1).schedule(300 * NANOS_PER_MILLI, () -> waited.complete(true));
        waited.get(10, TimeUnit.SECONDS);
        assertThat(serverListener.connected).isEmpty();
        client.connect(server.listenAddress());
        awaitNext(clientListener.connected);
    }

    @Test
    void malformedFrameClosesOnlyItsConnection() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        startTransport("asking", clientListener).connect(server.listenAddress());
        TcpPeerConnection validConnection = awaitNext(clientListener.connected);
        awaitNext(serverListener.connected);
        try (Socket invalidPeer = connectRawSocket(server)) {
            invalidPeer.getOutputStream().write(codec.encode(SampleMessages.hello("bad")));
            awaitNext(serverListener.connected);
            byte[] frame = codec.encode(SampleMessages.hello("bad"));
            frame[FrameCodec.HEADER_BYTES + 1] = (byte) 0xff;
            invalidPeer.getOutputStream().write(frame);
            assertThat(isClosedByPeer(invalidPeer)).isTrue();
        }
        assertThat(awaitNext(serverListener.disconnected).peerHello().nodeName())
                .isEqualTo("bad");
        assertThat(server.rejectedFrames()).isEqualTo(1);
        validConnection.send(new NodeMessage.FetchCommitted());
        assertThat(awaitNext(serverListener.messages)).isEqualTo(new NodeMessage.FetchCommitted());
        assertThat(clientListener.disconnected).isEmpty();
    }

    /** A frame of another connection or an earlier time must not be accepted as the peer's current state. */
    @Test
    void eachUnknownLateOrRepeatedFrameClosesItsConnectionAndIsCounted() throws Exception {
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        byte[] unknownTypeFrame = {0, 0, 0, 1, 63};
        List<byte[]> invalidFrames = List.of(
                unknownTypeFrame,
                codec.encode(SampleMessages.hello("bad")),
                codec.encode(new NodeMessage.ConfigurationAck(3)),
                codec.encode(new NodeMessage.InstancesAck(6)));
        for (int i = 0; i < invalidFrames.size(); i++) {
            try (Socket socket = connectRawSocket(server)) {
                socket.getOutputStream().write(codec.encode(SampleMessages.hello("bad")));
                socket.getOutputStream().write(codec.encode(new NodeMessage.ConfigurationAck(4)));
                socket.getOutputStream().write(codec.encode(new NodeMessage.InstancesAck(7)));
                awaitNext(serverListener.messages);
                awaitNext(serverListener.messages);
                socket.getOutputStream().write(invalidFrames.get(i));
                assertThat(isClosedByPeer(socket)).isTrue();
            }
            awaitNext(serverListener.disconnected);
            assertThat(serverListener.messages).isEmpty();
            assertThat(server.rejectedFrames()).isEqualTo(i + 1);
        }
    }

    @Test
    void firstMessageOtherThanHelloClosesTheConnection() throws Exception {
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        try (Socket invalidPeer = connectRawSocket(server)) {
            invalidPeer.getOutputStream().write(codec.encode(new NodeMessage.FetchCommitted()));
            assertThat(isClosedByPeer(invalidPeer)).isTrue();
        }
        assertThat(serverListener.connected).isEmpty();
        assertThat(serverListener.messages).isEmpty();
        assertThat(serverListener.disconnected).isEmpty();
    }

    @Test
    void connectionWithoutHelloIsClosedAfterTheHandshakeTimeout() throws Exception {
        TransportSettings defaults = TransportSettings.DEFAULTS;
        TransportSettings shortHandshakeTimeout = new TransportSettings(
                20 * NANOS_PER_MILLI,
                60_000 * NANOS_PER_MILLI,
                defaults.connectTimeoutNanos(),
                100 * NANOS_PER_MILLI,
                defaults.minBackoffNanos(),
                defaults.maxBackoffNanos(),
                defaults.maxInboundConnections(),
                defaults.maxQueuedBytes());
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener, shortHandshakeTimeout);
        try (Socket silentPeer = connectRawSocket(server)) {
            assertThat(isClosedByPeer(silentPeer)).isTrue();
        }
        assertThat(serverListener.disconnected).isEmpty();
    }

    @Test
    void connectionOfASilentPeerIsClosedAfterTheIdleTimeout() throws Exception {
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport(
                "asked", serverListener, TransportSettings.DEFAULTS.withIdleTimeout(100 * NANOS_PER_MILLI));
        try (Socket silentPeer = connectRawSocket(server)) {
            silentPeer.getOutputStream().write(codec.encode(SampleMessages.hello("silent")));
            TcpPeerConnection connection = awaitNext(serverListener.connected);
            assertThat(awaitNext(serverListener.disconnected)).isSameAs(connection);
        }
    }

    @Test
    void pingsKeepAnIdleConnectionOpen() throws Exception {
        TransportSettings shortIdleTimeout = TransportSettings.DEFAULTS.withIdleTimeout(600 * NANOS_PER_MILLI);
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener, shortIdleTimeout);
        startTransport("asking", clientListener, shortIdleTimeout).connect(server.listenAddress());
        awaitNext(clientListener.connected);
        awaitNext(serverListener.connected);
        CompletableFuture<Boolean> waited = new CompletableFuture<>();
        loops.get(0).schedule(1_800 * NANOS_PER_MILLI, () -> waited.complete(true));
        waited.get(10, TimeUnit.SECONDS);
        assertThat(clientListener.disconnected).isEmpty();
        assertThat(serverListener.disconnected).isEmpty();
        assertThat(serverListener.messages).isEmpty();
    }

    @Test
    void connectionOfAPeerThatDoesNotReadIsClosedAtTheQueueLimit() throws Exception {
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener);
        try (Socket nonReadingPeer = connectRawSocket(server)) {
            nonReadingPeer.getOutputStream().write(codec.encode(SampleMessages.hello("lazy")));
            TcpPeerConnection connection = awaitNext(serverListener.connected);
            byte[] frame = codec.encode(new NodeMessage.ConfigurationUpdate(1, new byte[1 << 20]));
            for (int i = 0; i < 64; i++) {
                connection.sendFrame(frame);
            }
            assertThat(awaitNext(serverListener.disconnected)).isSameAs(connection);
        }
    }

    @Test
    void connectionsAboveTheLimitAreClosed() throws Exception {
        TransportSettings defaults = TransportSettings.DEFAULTS;
        TransportSettings twoConnections = new TransportSettings(
                defaults.pingIntervalNanos(),
                60_000 * NANOS_PER_MILLI,
                defaults.connectTimeoutNanos(),
                60_000 * NANOS_PER_MILLI,
                defaults.minBackoffNanos(),
                defaults.maxBackoffNanos(),
                2,
                defaults.maxQueuedBytes());
        RecordingListener serverListener = new RecordingListener();
        NodeTransport server = startTransport("asked", serverListener, twoConnections);
        try (Socket first = connectRawSocket(server);
                Socket second = connectRawSocket(server)) {
            first.getOutputStream().write(codec.encode(SampleMessages.hello("first")));
            awaitNext(serverListener.connected);
            second.getOutputStream().write(codec.encode(SampleMessages.hello("second")));
            awaitNext(serverListener.connected);
            try (Socket third = connectRawSocket(server)) {
                assertThat(isClosedByPeer(third)).isTrue();
            }
            first.close();
            awaitNext(serverListener.disconnected);
            try (Socket fourth = connectRawSocket(server)) {
                fourth.getOutputStream().write(codec.encode(SampleMessages.hello("fourth")));
                assertThat(awaitNext(serverListener.connected).peerHello().nodeName())
                        .isEqualTo("fourth");
            }
        }
    }

    @Test
    void laterMessagesAreDeliveredAfterAListenerThrows() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        RecordingListener serverListener = new RecordingListener() {
            @Override
            public void onMessage(PeerConnection connection, NodeMessage message) {
                super.onMessage(connection, message);
                throw new IllegalStateException("meant to be thrown by a test");
            }
        };
        NodeTransport server = startTransport("asked", serverListener);
        startTransport("asking", clientListener).connect(server.listenAddress());
        TcpPeerConnection connection = awaitNext(clientListener.connected);
        connection.send(new NodeMessage.ConfigurationAck(1));
        connection.send(new NodeMessage.ConfigurationAck(2));
        assertThat(awaitNext(serverListener.messages)).isEqualTo(new NodeMessage.ConfigurationAck(1));
        assertThat(awaitNext(serverListener.messages)).isEqualTo(new NodeMessage.ConfigurationAck(2));
    }

    @Test
    void closingATransportClosesItsConnections() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        NodeTransport server = startTransport("asked", new RecordingListener());
        startTransport("asking", clientListener).connect(server.listenAddress());
        TcpPeerConnection connection = awaitNext(clientListener.connected);
        server.close();
        assertThat(awaitNext(clientListener.disconnected)).isSameAs(connection);
    }
}
