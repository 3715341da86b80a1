package burlarch.controller.redirect;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.node.MembershipService;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.transport.SelectorEventLoop;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the program on loopback, with membership services that act as controllers. */
@Timeout(60)
class ControlRedirectorProgramTest {
    private static final String SEED = "127.0.0.41";
    private static final String OTHER = "127.0.0.42";
    private static final String OWN = "127.0.0.43";

    @TempDir
    Path folder;

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .followRedirects(HttpClient.Redirect.NEVER)
            .build();

    private static int freePort() throws Exception {
        try (ServerSocket free = new ServerSocket(0)) {
            return free.getLocalPort();
        }
    }

    /**
     * The settings name one controller as seed. The program learns the other from membership, and redirects only to
     * that one after the seed has left.
     */
    @Test
    void redirectsFollowMembershipChanges() throws Exception {
        int nodePort = freePort();
        int controlPort = freePort();
        MembershipService seed = startMembership(SEED, nodePort);
        MembershipService other = startMembership(OTHER, nodePort);
        ControlRedirectorProgram.run(settings(nodePort, controlPort));
        awaitLocation(controlPort, SEED);
        awaitLocation(controlPort, OTHER);
        seed.leaveWithinTimeout();
        awaitOnly(controlPort, OTHER);
        other.close();
    }

    private MembershipService startMembership(String ip, int nodePort) throws Exception {
        MembershipService membership = new MembershipService(
                new SelectorEventLoop("test"),
                new MembershipService.Self(ip + "/controller", NodeRoles.CONTROLLER, "hall", ip.hashCode() | 1),
                new InetSocketAddress(ip, nodePort),
                List.of(SEED + ":" + nodePort),
                SwimSettings.defaults());
        membership.start();
        return membership;
    }

    private NodeSettings settings(int nodePort, int controlPort) throws Exception {
        return NodeSettings.load(Files.writeString(
                folder.resolve("boot.toml"),
                """
                node_name = "edge-1"
                serves = ["control_plane"]
                ip = "%s"
                zone = "hall"
                port_range = [%d, %d]
                seeds = ["%s:%d"]
                [listen]
                control = "%s:%d"
                """
                        .formatted(OWN, nodePort, nodePort, SEED, controlPort, OWN, controlPort)));
    }

    private String location(int controlPort) throws Exception {
        HttpResponse<String> response = client.send(
                HttpRequest.newBuilder(URI.create("http://" + OWN + ":" + controlPort + "/burlarch/config"))
                        .build(),
                BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(307);
        return response.headers().firstValue("Location").orElseThrow();
    }

    private void awaitLocation(int controlPort, String ip) throws Exception {
        String expected = "http://" + ip + ":" + controlPort + "/burlarch/config";
        while (!location(controlPort).equals(expected)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Waits until many consecutive calls were redirected to that controller. */
    private void awaitOnly(int controlPort, String ip) throws Exception {
        String expected = "http://" + ip + ":" + controlPort + "/burlarch/config";
        int consecutive = 0;
        while (consecutive < 30) {
            consecutive = location(controlPort).equals(expected) ? consecutive + 1 : 0;
        }
    }
}
