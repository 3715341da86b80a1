package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Addresses and names of the processes that share one machine. */
class NodeAddressesTest {
    @TempDir
    Path folder;

    private NodeSettings settings(String portRange) throws Exception {
        Path file = Files.writeString(
                folder.resolve("boot.toml"),
                "node_name = \"edge-1\"\nip = \"10.9.0.1\"\nport_range = " + portRange
                        + "\nseeds = [\"10.9.0.2:9100\"]\n");
        return NodeSettings.load(file);
    }

    @Test
    void aRouterAndAControllerOfOneMachineHaveDifferentPorts() throws Exception {
        NodeSettings settings = settings("[7000, 7009]");
        assertThat(NodeAddresses.own(settings, NodeRoles.CONTROLLER)).isEqualTo("10.9.0.1:7000");
        assertThat(NodeAddresses.own(settings, NodeRoles.ROUTER)).isEqualTo("10.9.0.1:7001");
    }

    @Test
    void aRouterAndAControllerOfOneMachineHaveDifferentNames() throws Exception {
        NodeSettings settings = settings("[7000, 7009]");
        assertThat(NodeAddresses.memberName(settings, NodeRoles.CONTROLLER))
                .isNotEqualTo(NodeAddresses.memberName(settings, NodeRoles.ROUTER));
    }

    /** Nodes know a seed by its control address alone, so its node port must follow from their own settings. */
    @Test
    void seedsAreAtThePortOfControllers() throws Exception {
        NodeSettings settings = settings("[7000, 7009]");
        assertThat(NodeAddresses.seeds(settings)).containsExactly("10.9.0.2:7000");
        assertThat(NodeAddresses.own(settings, NodeRoles.CONTROL_REDIRECTOR)).isEqualTo("10.9.0.1:7000");
    }

    @Test
    void aRangeOfOnePortServesAMachineWithOneProcess() throws Exception {
        NodeSettings settings = settings("[7000, 7000]");
        assertThat(NodeAddresses.own(settings, NodeRoles.ROUTER)).isEqualTo("10.9.0.1:7000");
    }
}
