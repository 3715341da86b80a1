package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the addresses and names of processes on one machine. */
class NodeAddressesTest {
    @TempDir
    Path directory;

    private NodeSettings loadSettings(String portRange) throws Exception {
        Path file = Files.writeString(
                directory.resolve("boot.toml"),
                "node_name = \"edge-1\"\nip = \"10.9.0.1\"\nport_range = " + portRange
                        + "\nseeds = [\"10.9.0.2:9100\"]\n");
        return NodeSettings.load(file);
    }

    @Test
    void routerAndControllerOnOneMachineHaveDifferentPorts() throws Exception {
        NodeSettings settings = loadSettings("[7000, 7009]");
        assertThat(NodeAddresses.own(settings, NodeRoles.CONTROLLER)).isEqualTo("10.9.0.1:7000");
        assertThat(NodeAddresses.own(settings, NodeRoles.ROUTER)).isEqualTo("10.9.0.1:7001");
    }

    @Test
    void routerAndControllerOnOneMachineHaveDifferentNames() throws Exception {
        NodeSettings settings = loadSettings("[7000, 7009]");
        assertThat(NodeAddresses.memberName(settings, NodeRoles.CONTROLLER))
                .isNotEqualTo(NodeAddresses.memberName(settings, NodeRoles.ROUTER));
    }

    /** Nodes know only the control address of a seed, so they must derive its node port from their own settings. */
    @Test
    void seedsHaveThePortOfControllers() throws Exception {
        NodeSettings settings = loadSettings("[7000, 7009]");
        assertThat(NodeAddresses.seeds(settings)).containsExactly("10.9.0.2:7000");
        assertThat(NodeAddresses.own(settings, NodeRoles.CONTROL_REDIRECTOR)).isEqualTo("10.9.0.1:7000");
    }

    @Test
    void routerHasTheOnlyPortOfARangeOfOnePort() throws Exception {
        NodeSettings settings = loadSettings("[7000, 7000]");
        assertThat(NodeAddresses.own(settings, NodeRoles.ROUTER)).isEqualTo("10.9.0.1:7000");
    }
}
