package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.testing.RecordingLink;
import burlarch.testing.RecordingLinks;
import burlarch.transport.NodeMessage.FleetUpdate;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Over its lifetime a router sees far more controllers than it keeps addresses of. Addresses of ended controllers must
 * be removed, but never that of a controller that is connected or being connected.
 */
class ControllerReplacementTest {
    private static final int REPLACEMENTS = 40;
    private static final String CURRENT = address(250);
    private static final String OUTDATED = address(251);

    private final RecordingLinks transport = new RecordingLinks();
    private final ControllerLinks links = new ControllerLinks(new IgnoringUpdateHandler());

    private static String address(int number) {
        return "10.0.1." + number + ":9000";
    }

    private PeerConnection connect(String address) {
        PeerConnection link = new RecordingLink(address);
        links.onConnected(link);
        return link;
    }

    private void sendControllers(PeerConnection sender, String... controllers) {
        links.onMessage(sender, new FleetUpdate(List.of(controllers), 1));
    }

    @Test
    void newestControllersAreConnectedAfterAnyNumberOfReplacements() {
        links.start(transport, List.of(CURRENT));
        PeerConnection current = connect(CURRENT);
        List<PeerConnection> newestConnections = new ArrayList<>();
        for (int number = 1; number <= REPLACEMENTS; number++) {
            sendControllers(current, CURRENT, address(number));
            assertThat(transport.targets).as("number %d", number).contains(address(number));
            newestConnections.add(connect(address(number)));
            if (newestConnections.size() > 2) {
                links.onDisconnected(newestConnections.remove(0));
            }
        }
        assertThat(transport.targets)
                .hasSize(ControllerLinks.MAX_CONTROLLERS)
                .contains(CURRENT, address(REPLACEMENTS - 1), address(REPLACEMENTS));
    }

    private static List<String> nineAddresses() {
        List<String> nineAddresses = new ArrayList<>();
        for (int number = 201; number <= 209; number++) {
            nineAddresses.add(address(number));
        }
        return nineAddresses;
    }

    /** Connected controllers must be kept although no update names them any more. */
    @Test
    void connectedControllersAreNeverRemoved() {
        List<String> connected = nineAddresses();
        links.start(transport, connected);
        List<PeerConnection> connections = connected.stream().map(this::connect).toList();
        for (int number = 1; number <= REPLACEMENTS; number++) {
            sendControllers(connections.get(0), address(number));
            assertThat(transport.targets).as("number %d", number).containsAll(connected);
        }
        assertThat(transport.targets).hasSize(ControllerLinks.MAX_CONTROLLERS);
    }

    /** If all known controllers are connected, a further one is added only after one of them has disconnected. */
    @Test
    void furtherControllerIsNotAddedWhileAllAreConnected() {
        links.start(transport, List.of());
        List<PeerConnection> connected = new ArrayList<>();
        for (int number = 1; number <= ControllerLinks.MAX_CONTROLLERS; number++) {
            links.addControllers(List.of(address(number)));
            connected.add(connect(address(number)));
        }
        String furtherAddress = address(REPLACEMENTS);
        sendControllers(connected.get(0), furtherAddress);
        assertThat(transport.targets).hasSize(ControllerLinks.MAX_CONTROLLERS).doesNotContain(furtherAddress);
        links.onDisconnected(connected.get(1));
        sendControllers(connected.get(0), furtherAddress);
        assertThat(transport.targets).contains(furtherAddress).doesNotContain(address(2));
    }

    /**
     * A controller with outdated information still names ended controllers while the successor is being connected.
     */
    @Test
    void recentlyNamedControllerIsNotRemovedForOlderOnes() {
        links.start(transport, List.of(CURRENT, OUTDATED));
        PeerConnection current = connect(CURRENT);
        PeerConnection outdated = connect(OUTDATED);
        for (int number = 1; number < REPLACEMENTS; number++) {
            sendControllers(current, address(number));
        }
        sendControllers(current, address(REPLACEMENTS));
        for (int number = 1; number < ControllerLinks.MAX_CONTROLLERS / 2; number++) {
            sendControllers(outdated, address(number));
            assertThat(transport.targets).as("older one %d", number).contains(address(REPLACEMENTS));
        }
    }

    /** A controller that disconnected recently is more likely to return than one that disconnected long ago. */
    @Test
    void controllerThatDisconnectedLastIsRemovedLast() {
        List<String> disconnected = nineAddresses();
        links.start(transport, disconnected);
        links.addControllers(List.of(CURRENT));
        PeerConnection current = connect(CURRENT);
        List<PeerConnection> connections =
                disconnected.stream().map(this::connect).toList();
        for (int number = 1; number < REPLACEMENTS; number++) {
            sendControllers(current, address(number));
        }
        connections.forEach(links::onDisconnected);
        for (int number = 1; number < ControllerLinks.MAX_CONTROLLERS / 2; number++) {
            sendControllers(current, address(REPLACEMENTS + number));
            assertThat(transport.targets).as("further one %d", number).containsAll(disconnected);
        }
    }
}
