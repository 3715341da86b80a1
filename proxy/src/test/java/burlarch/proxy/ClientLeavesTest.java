package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A request is not forwarded if its client disconnects, in whatever way, while the request waits. */
@Timeout(120)
class ClientLeavesTest {
    /** How the client disconnects. */
    private enum DisconnectKind {
        FIN,
        RST,
        MORE_SENT_AHEAD,
        READING_PAUSED
    }

    private static final String PATH = "/look/left";

    /**
     * Connecting to the only cache node hangs until the client has disconnected, and succeeds then. The first
     * request that the node receives must be another client's. The settings do not allow attempts to be cancelled.
     */
    @Test
    void requestIsNotForwardedIfClientDisconnectsWhileItWaitsForAConnection() throws Exception {
        for (DisconnectKind kind : DisconnectKind.values()) {
            List<Socket> backlogFillers = new ArrayList<>();
            try (ServerSocket node = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                    Fixture f = new Fixture(
                            List.of(),
                            Fixture.SOCKETS,
                            Features.none(),
                            Fixture.SETTINGS.replace("\"cancel\":true", "\"cancel\":false"))) {
                InetSocketAddress nodeAddress = (InetSocketAddress) node.getLocalSocketAddress();
                for (int i = 0; i < 2; i++) {
                    backlogFillers.add(new Socket(nodeAddress.getAddress(), nodeAddress.getPort()));
                }
                moveCache(f, nodeAddress);
                sendAndDisconnect(f, kind);
                f.awaitNoOpenRequests();
                f.read("next");
                for (Socket filler : backlogFillers) {
                    node.accept().close();
                    filler.close();
                }
                try (Socket connection = node.accept()) {
                    byte[] head = connection.getInputStream().readNBytes("GET /look/next".length());
                    assertEquals("GET /look/next", new String(head, StandardCharsets.US_ASCII), kind.name());
                }
            }
        }
    }

    /** Sends a list that moves the cache to the address, and waits for the next watch, which shows that it was read. */
    private static void moveCache(Fixture f, InetSocketAddress nodeAddress) throws Exception {
        String entry = Fixture.entry("c-1", f.cache, "cache", "SERVING")
                .replace(f.cache.hostPort(), "127.0.0.1:" + nodeAddress.getPort());
        FakeServer.Received watch = f.discovery.next();
        String list =
                Fixture.list(50, true, List.of(entry, Fixture.entry("o-1", f.origin, "origin", "SERVING"))) + "\n";
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
                + "\r\n" + list + "\r\n0\r\n\r\n");
        assertEquals("/catalog/members?stream=1&index=50", f.discovery.next().uri);
    }

    private static void sendAndDisconnect(Fixture f, DisconnectKind kind) throws Exception {
        try (Socket client = new Socket(f.address.getAddress(), f.address.getPort())) {
            StringBuilder text = new StringBuilder(BadInputTest.request("GET", PATH, ""));
            for (int i = 0; kind == DisconnectKind.MORE_SENT_AHEAD && i < 20; i++) {
                text.append(BadInputTest.request("GET", PATH + i, ""));
            }
            client.setReceiveBufferSize(kind == DisconnectKind.READING_PAUSED ? 1 : 4096);
            client.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
            while (f.main.openRequestCount() == 0) {
                Thread.onSpinWait();
            }
            client.setSoLinger(kind == DisconnectKind.RST, 0);
        }
    }
}
