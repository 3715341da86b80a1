package burlarch.controller.peers;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.testing.RecordingLink;
import burlarch.testing.RecordingLinks;
import burlarch.testing.VirtualLoop;
import burlarch.transport.PeerConnection;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that the table of peers stays bounded. Without eviction the addresses of replaced controllers would fill it
 * over time, and their successors could not be added.
 */
class ControllerPeersTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final String OWN = "10.0.0.1:9000";
    private static final int REPLACEMENTS = 40;

    private final VirtualLoop loop = new VirtualLoop();
    private final RecordingLinks connections = new RecordingLinks();
    private final ControllerPeers peers = new ControllerPeers(loop, connections, OWN);

    private static String address(int number) {
        return "10.0.1." + number + ":9000";
    }

    private PeerConnection connect(String address) {
        PeerConnection connection = new RecordingLink(address);
        peers.onConnected(connection);
        return connection;
    }

    /** The class must not schedule any task itself. */
    @AfterEach
    void assertNothingScheduled() {
        assertThat(loop.scheduledTaskCount()).isZero();
    }

    @Test
    void newPeerIsAddedAfterManyReplacements() {
        peers.retainAcceptors(List.of(address(1), address(2)));
        PeerConnection permanentConnection = connect(address(1));
        for (int number = 3; number < 3 + REPLACEMENTS; number++) {
            peers.addAddresses(List.of(address(number)));
            PeerConnection connection = connect(address(number));
            assertThat(peers.isConnected(address(number)))
                    .as("number %d", number)
                    .isTrue();
            loop.pass(SECOND_NANOS);
            peers.onDisconnected(connection);
        }
        assertThat(connections.targets)
                .hasSize(ControllerPeers.MAX_PEERS)
                .contains(address(1), address(2), address(2 + REPLACEMENTS));
        assertThat(peers.isConnected(permanentConnection.peerHello().address())).isTrue();
    }

    @Test
    void acceptorIsNeverEvicted() {
        peers.retainAcceptors(List.of(address(1)));
        for (int number = 2; number < 2 + ControllerPeers.MAX_PEERS; number++) {
            loop.pass(SECOND_NANOS);
            peers.addAddresses(List.of(address(number)));
        }
        assertThat(connections.targets).contains(address(1)).doesNotContain(address(2));
    }

    /** Otherwise two controllers that advertise a dead address to each other would keep it forever. */
    @Test
    void neverConnectedAddressesAreNotAdvertised() {
        peers.addAddresses(List.of(address(1), address(2)));
        PeerConnection connection = connect(address(2));
        assertThat(peers.advertisedAddresses()).containsExactly(address(2), OWN);
        peers.onDisconnected(connection);
        assertThat(peers.advertisedAddresses())
                .as("a recently lost peer may come back")
                .contains(address(2));
        loop.pass(60 * SECOND_NANOS);
        assertThat(peers.advertisedAddresses()).containsExactly(OWN);
    }
}
