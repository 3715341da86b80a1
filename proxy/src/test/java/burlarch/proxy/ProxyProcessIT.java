package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Arguments, configuration, signals and exit codes of the packaged program. */
@Timeout(60)
class ProxyProcessIT {
    @TempDir
    Path folder;

    private record Ended(int status, String error) {}

    private static Ended run(String config, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                Path.of("target", "burlarch.jar").toString()));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().keySet().removeIf(name -> name.startsWith("EDGE_"));
        if (config != null) {
            builder.environment().put("EDGE_CONFIG", config);
        }
        Process process = builder.start();
        process.getOutputStream().close();
        String error = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ended(process.waitFor(), error);
    }

    @Test
    void invalidArgumentsPrintUsageAndExitWith2() throws Exception {
        for (String[] arguments : new String[][] {
            {}, {"fly"}, {"serve", "now"}, {"serve", "--config"}, {"serve", "--config", "a", "--config", "b"}
        }) {
            Ended ended = run(null, arguments);
            assertEquals(2, ended.status);
            assertTrue(ended.error.startsWith("usage: "), ended.error);
        }
    }

    @Test
    void missingOrInvalidConfigurationIsReportedInOneLine() throws Exception {
        Path malformed = Files.writeString(folder.resolve("broken.json"), "{\"name\":");
        Path empty = Files.writeString(folder.resolve("empty.json"), "{}");
        Path address = Files.writeString(
                folder.resolve("address.json"), "{\"settings\":{\"request_classes\":[{}]},\"listen\":\"localhost\"}");
        for (String config : new String[] {
            null, folder.resolve("none.json").toString(), malformed.toString(), empty.toString(), address.toString()
        }) {
            Ended ended = run(config, "serve");
            assertEquals(1, ended.status, ended.error);
            assertEquals(1, ended.error.lines().count(), ended.error);
            assertTrue(ended.error.startsWith("burlarch: "), ended.error);
        }
    }

    private String serviceConfig(FakeServer discovery) throws IOException {
        return Files.writeString(
                        folder.resolve("service.json"),
                        "{\"listen\":\"127.0.0.1:"
                                + ProxyProcess.freePort() + "\",\"discovery\":\"" + discovery.hostPort()
                                + "\",\"known\":{},\"settings\":" + Fixture.SETTINGS + "}")
                .toString();
    }

    private String operatorFile(String text) throws IOException {
        return Files.writeString(folder.resolve("operator.toml"), text).toString();
    }

    @Test
    void invalidOperatorFileIsReportedInOneLineWithFileAndKey() throws Exception {
        try (FakeServer discovery = new FakeServer()) {
            String config = serviceConfig(discovery);
            for (String text : new String[] {
                "[multiget]\nlisten = \"here\"\n",
                "[multiget]\nmax_keys = 0\n",
                "[status]\nlisten_port = 0\n",
                "[hotlist]\nhalf_life_s = \"long\"\n",
                "[multiget]\nmax_kyes = 3\n"
            }) {
                String file = operatorFile(text);
                Ended ended = run(config, "serve", "--config", file);
                assertEquals(1, ended.status, ended.error);
                assertEquals(1, ended.error.lines().count(), ended.error);
                assertTrue(ended.error.startsWith("burlarch: " + file + ": "), ended.error);
                assertTrue(ended.error.matches("(?s).*(multiget|status|hotlist)\\..*"), ended.error);
            }
            assertTrue(discovery.hasNoRequests());
        }
    }

    @Test
    void sidePortInUseFailsStartupWithSettingAndAddress() throws Exception {
        try (FakeServer discovery = new FakeServer();
                FakeServer portHolder = new FakeServer()) {
            String file = operatorFile("multiget.listen = \"" + portHolder.hostPort() + "\"\n");
            Ended ended = run(serviceConfig(discovery), "serve", "--config", file);
            assertEquals(1, ended.status, ended.error);
            assertTrue(
                    ended.error.contains("multiget.listen") && ended.error.contains(portHolder.hostPort()),
                    ended.error);
        }
    }

    /**
     * Without a handler, SIGHUP ends the JVM with status 129. A JVM that is started with SIGHUP ignored, as
     * under nohup, keeps ignoring it, so the signal is reset to its default first.
     */
    @Test
    void sighupReloadsConfiguration() throws Exception {
        try (FakeServer firstDiscovery = new FakeServer();
                FakeServer secondDiscovery = new FakeServer()) {
            String config = "{\"listen\":\"127.0.0.1:" + ProxyProcess.freePort()
                    + "\",\"discovery\":\"%s\",\"known\":{},\"settings\":" + Fixture.SETTINGS + "}";
            Path file = Files.writeString(folder.resolve("c.json"), String.format(config, firstDiscovery.hostPort()));
            ProcessBuilder builder = new ProcessBuilder(
                            "env",
                            "--default-signal=HUP",
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-jar",
                            Path.of("target", "burlarch.jar").toString(),
                            "serve")
                    .redirectError(ProcessBuilder.Redirect.DISCARD);
            builder.environment().put("EDGE_CONFIG", file.toString());
            Process process = builder.start();
            try {
                firstDiscovery.next();
                Files.writeString(file, String.format(config, secondDiscovery.hostPort()));
                String pid = Long.toString(process.pid());
                assertEquals(0, new ProcessBuilder("kill", "-HUP", pid).start().waitFor());
                assertEquals("/catalog/members?stream=1", secondDiscovery.next().uri);
                assertTrue(process.isAlive());
            } finally {
                process.destroyForcibly().waitFor();
            }
        }
    }

    /** The build archives the classes that the rehearsal loads, so it must start, serve and end by itself. */
    @Test
    void rehearsalExitsWithStatus0() throws Exception {
        Ended ended = run(null, "rehearse");
        assertEquals(0, ended.status, ended.error);
        assertTrue(ended.error.contains("drained"), ended.error);
    }
}
