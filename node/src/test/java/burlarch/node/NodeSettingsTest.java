package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import burlarch.settings.SettingsException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how the settings file of a process is read and validated. */
class NodeSettingsTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

    /** File with the required fields only. */
    private static final String MINIMAL_FILE =
            """
            node_name = "n1"
            ip = "10.9.0.1"
            port_range = [7000, 7009]
            """;

    private static final String COMPLETE_FILE =
            """
            node_name = "n2"
            role = "controller"
            machine_class = "core"
            serves = ["control_plane", "edge"]
            ip = "10.9.0.2"
            zone = "north"
            region = "upper"
            port_range = [7000, 7009]
            seeds = ["10.9.0.2:9100", "10.9.0.3:9100"]
            bootstrap = true
            counts_for_quorum = true
            data_dir = "/var/lib/n2"
            discovery = "registry"
            entry = "virtual_ip"
            heartbeat_ms = 900
            contracts = ["base", "drain"]
            colour = "red"
            [zones]
            north = "upper"
            south = "lower"
            [listen]
            front = "10.9.0.2:9101"
            readiness = "10.9.0.2:9102"
            control = "10.9.0.2:9100"
            backdoor = 4
            [limits]
            cpu_share = 0.36
            cpu_cores = 2
            memory_mb = 300
            max_fds = 2000
            link_mbps = 7.5
            disk_mb = 128
            [fault_tolerance]
            machines = 2
            zones = 1
            regions = 1
            [bounds]
            seed_lag_s = 1
            reuse_after_s = 1.5
            contact_ms = 2500
            ack_ms = 3500
            catch_up_s = 5
            drain_timeout_ms = 1500
            grace_s = 6.5
            loss_slack_ms = 150
            config_apply_ms = 1800
            downgrade_ms = 200
            outer_ms = 4000
            revocation = true
            revoke_ms = 3000
            retry_budget = 0.15
            budget_window_s = 8
            budget_slack = 40
            recovery_s = 10
            transit_ms = 100
            again_s = 9
            fencing = true
            lease_ms = 2800
            thaw_ms = 250
            version_ms = 7000
            version_all_ms = 9000
            tides = "high"
            [weather]
            rain = true
            """;

    @TempDir
    Path directory;

    private NodeSettings load(String text) throws Exception {
        return NodeSettings.load(Files.writeString(directory.resolve("boot.toml"), text));
    }

    private List<String> errorLines(String text) {
        SettingsException exception = catchThrowableOfType(() -> load(text), SettingsException.class);
        assertThat(exception).as(text).isNotNull();
        return exception.getMessage().lines().toList();
    }

    @Test
    void everyFieldIsReadAndUnknownFieldsAreIgnored() throws Exception {
        NodeSettings expected = new NodeSettings(
                "n2",
                "controller",
                "core",
                List.of("control_plane", "edge"),
                "10.9.0.2",
                "north",
                "upper",
                new NodeSettings.PortRange(7000, 7009),
                List.of("10.9.0.2:9100", "10.9.0.3:9100"),
                true,
                true,
                Path.of("/var/lib/n2"),
                "registry",
                "virtual_ip",
                900 * NANOS_PER_MILLI,
                List.of("base", "drain"),
                Map.of("north", "upper", "south", "lower"),
                new NodeSettings.Listen(
                        new InetSocketAddress("10.9.0.2", 9101),
                        new InetSocketAddress("10.9.0.2", 9102),
                        new InetSocketAddress("10.9.0.2", 9100)),
                new NodeSettings.Limits(0.36, 2, 300, 2000, 7.5, 128),
                new NodeSettings.FaultTolerance(2, 1, 1),
                new NodeBounds(
                        NANOS_PER_SECOND,
                        1_500 * NANOS_PER_MILLI,
                        2_500 * NANOS_PER_MILLI,
                        3_500 * NANOS_PER_MILLI,
                        5 * NANOS_PER_SECOND,
                        1_500 * NANOS_PER_MILLI,
                        6_500 * NANOS_PER_MILLI,
                        150 * NANOS_PER_MILLI,
                        1_800 * NANOS_PER_MILLI,
                        200 * NANOS_PER_MILLI,
                        4 * NANOS_PER_SECOND,
                        true,
                        3 * NANOS_PER_SECOND,
                        0.15,
                        8 * NANOS_PER_SECOND,
                        40,
                        10 * NANOS_PER_SECOND,
                        100 * NANOS_PER_MILLI,
                        9 * NANOS_PER_SECOND,
                        true,
                        2_800 * NANOS_PER_MILLI,
                        250 * NANOS_PER_MILLI,
                        7 * NANOS_PER_SECOND,
                        9 * NANOS_PER_SECOND));
        NodeSettings settings = load(COMPLETE_FILE);
        assertThat(settings).isEqualTo(expected);
        assertThat(settings.hasContract("drain")).isTrue();
        assertThat(settings.hasContract("retry")).isFalse();
    }

    @Test
    void absentFieldsHaveDefaults() throws Exception {
        NodeSettings settings = load(MINIMAL_FILE);
        assertThat(settings.serves()).isEmpty();
        assertThat(settings.seeds()).isEmpty();
        assertThat(settings.bootstrap()).isFalse();
        assertThat(settings.dataDir()).isNull();
        assertThat(settings.listen()).isEqualTo(new NodeSettings.Listen(null, null, null));
        assertThat(settings.heartbeatNanos()).isPositive();
        assertThat(settings.limits().memoryMegabytes()).isPositive();
        assertThat(settings.bounds().contactNanos()).isPositive();
        assertThat(settings.faultTolerance()).isEqualTo(new NodeSettings.FaultTolerance(1, 0, 0));
    }

    @Test
    void emptyStringsCountAsAbsent() throws Exception {
        NodeSettings settings = load(
                MINIMAL_FILE
                        + """
                discovery = ""
                heartbeat_ms = ""
                contracts = ""
                limits = ""
                """);
        assertThat(settings.discovery()).isEmpty();
        assertThat(settings.heartbeatNanos()).isPositive();
        assertThat(settings.contracts()).isEmpty();
    }

    @Test
    void regionIsDerivedFromTheZone() throws Exception {
        NodeSettings settings = load(MINIMAL_FILE + "zone = \"south\"\n[zones]\nsouth = \"lower\"\n");
        assertThat(settings.region()).isEqualTo("lower");
    }

    @Test
    void allErrorsAreReportedTogether() {
        List<String> lines = errorLines(
                """
                node_name = 4
                ip = "localhost"
                port_range = [7009, 7000]
                seeds = ["10.9.0.1"]
                serves = ["edge", "control_plane"]
                bootstrap = 1
                [limits]
                max_fds = -1
                [fault_tolerance]
                machines = 0.5
                [bounds]
                contact_ms = "soon"
                retry_budget = -0.1
                """);
        for (String field : List.of(
                "node_name",
                "ip",
                "port_range",
                "seeds",
                "bootstrap",
                "listen.front",
                "listen.control",
                "limits.max_fds",
                "fault_tolerance.machines",
                "bounds.contact_ms",
                "bounds.retry_budget")) {
            assertThat(lines)
                    .as(field)
                    .filteredOn(line -> line.contains("boot.toml: " + field + " "))
                    .hasSize(1);
        }
        assertThat(lines).hasSize(11);
    }

    @Test
    void missingRequiredFieldsAreReported() {
        assertThat(errorLines("role = \"router\"\n"))
                .anyMatch(line -> line.endsWith("node_name is missing"))
                .anyMatch(line -> line.endsWith("ip is missing"))
                .anyMatch(line -> line.endsWith("port_range is missing"))
                .hasSize(3);
    }

    @Test
    void valuesInsteadOfTablesAreReported() {
        assertThat(errorLines(MINIMAL_FILE + "limits = 4\nzones = [1]\n"))
                .hasSize(2)
                .anyMatch(line -> line.contains("limits must be a table"))
                .anyMatch(line -> line.contains("zones must be a table"));
    }

    @Test
    void controllerThatCountsForQuorumNeedsADisk() throws Exception {
        String controller = MINIMAL_FILE + "serves = [\"control_plane\"]\ncounts_for_quorum = %s\n%s"
                + "[listen]\ncontrol = \"10.9.0.1:9100\"\n";
        assertThat(errorLines(controller.formatted(true, "")))
                .hasSize(1)
                .allMatch(line -> line.contains("data_dir is missing"));
        assertThat(load(controller.formatted(true, "data_dir = \"/var/lib/n1\"\n"))
                        .countsForQuorum())
                .isTrue();
        assertThat(load(controller.formatted(false, "")).dataDir()).isNull();
    }

    @Test
    void machineThatServesOnlyClientsNeedsNoDisk() throws Exception {
        NodeSettings settings = load(
                MINIMAL_FILE + "serves = [\"edge\"]\ncounts_for_quorum = true\n[listen]\nfront = \"10.9.0.1:9101\"\n");
        assertThat(settings.countsForQuorum()).isTrue();
    }

    @Test
    void settingsOfAnotherProgramAreRejected() throws Exception {
        NodeSettings router = load(MINIMAL_FILE + "serves = [\"edge\"]\n[listen]\nfront = \"10.9.0.1:9101\"\n");
        router.requireServed(NodeSettings.SERVES_CLIENTS);
        assertThatThrownBy(() -> router.requireServed(NodeSettings.SERVES_CONTROL))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("control_plane");
    }

    @Test
    void fileThatIsInvalidTomlOrMissingIsReported() {
        assertThat(errorLines("node_name = ")).hasSize(1);
        assertThatThrownBy(() -> NodeSettings.load(directory.resolve("absent.toml")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("absent.toml: no such file");
    }
}
