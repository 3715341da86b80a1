package burlarch.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Runs the packaged proxy as a separate process, for tests. */
public final class ProxyProcess implements AutoCloseable {
    /** Exit status of a command, and what it wrote to standard error. */
    public record Ended(int status, String error) {}

    private static final Path PROJECT_ROOT = Path.of("..").toAbsolutePath().normalize();
    private static final String RUN_LINE_START = "run = \"exec java ";

    private final Process process;
    private final InetSocketAddress address;
    private final FakeServer discovery;
    private final BufferedReader error;

    private ProxyProcess(Process process, InetSocketAddress address, FakeServer discovery) {
        this.process = process;
        this.address = address;
        this.discovery = discovery;
        this.error = process.errorReader(StandardCharsets.UTF_8);
    }

    /** Starts a proxy whose configuration lists the given nodes, and waits until it serves. */
    public static ProxyProcess serve(Path folder, List<String> nodes, String... arguments) throws IOException {
        FakeServer discovery = new FakeServer();
        int port = freePort();
        return awaitReady(command(folder, port, discovery, nodes, arguments).start(), port, discovery);
    }

    /** As {@link #serve}, with the command that the platform uses and this number of descriptors. */
    static ProxyProcess serveAsDeployed(Path folder, List<String> nodes, int sockets) throws IOException {
        FakeServer discovery = new FakeServer();
        int port = freePort();
        Path config = writeConfig(folder, port, discovery, nodes, sockets);
        ProcessBuilder builder = new ProcessBuilder(deployedCommand())
                .directory(PROJECT_ROOT.toFile())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("EDGE_CONFIG", config.toAbsolutePath().toString());
        return awaitReady(builder.start(), port, discovery);
    }

    /** Returns the words of the platform's command, with the path of the running Java in place of "exec java". */
    private static List<String> deployedCommand() throws IOException {
        for (String line : Files.readAllLines(PROJECT_ROOT.resolve("deploy").resolve("balancer.toml"))) {
            if (line.startsWith(RUN_LINE_START)) {
                List<String> command = new ArrayList<>();
                command.add(javaProgram());
                command.addAll(List.of(line.substring(RUN_LINE_START.length(), line.length() - 1)
                        .split(" ")));
                return command;
            }
        }
        throw new IOException("deploy/balancer.toml has no run line");
    }

    private static ProxyProcess awaitReady(Process process, int port, FakeServer discovery) throws IOException {
        ProxyProcess program =
                new ProxyProcess(process, new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), discovery);
        for (String line = program.error.readLine();
                line == null || !line.contains(" serves on ");
                line = program.error.readLine()) {
            if (line == null) {
                throw new IOException("the program ended before it was ready");
            }
        }
        return program;
    }

    /** Starts a proxy that is expected to fail at startup, and waits for its end. */
    public static Ended failedStart(Path folder, String... arguments) throws IOException, InterruptedException {
        try (FakeServer discovery = new FakeServer()) {
            return awaitEnd(
                    command(folder, freePort(), discovery, List.of(), arguments).start());
        }
    }

    private static ProcessBuilder command(
            Path folder, int port, FakeServer discovery, List<String> nodes, String... arguments) throws IOException {
        Path config = writeConfig(folder, port, discovery, nodes, Fixture.SOCKETS);
        List<String> command = java();
        command.add("serve");
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("EDGE_CONFIG", config.toString());
        return builder;
    }

    private static Path writeConfig(Path folder, int port, FakeServer discovery, List<String> nodes, int sockets)
            throws IOException {
        return Files.writeString(
                folder.resolve("config.json"),
                "{\"listen\":\"127.0.0.1:" + port
                        + "\",\"discovery\":\"" + discovery.hostPort() + "\",\"limits\":{\"sockets\":" + sockets
                        + "},\"known\":" + Fixture.list(41, true, nodes)
                        + ",\"settings\":" + Fixture.SETTINGS + "}");
    }

    private static String javaProgram() {
        return Path.of(System.getProperty("java.home"), "bin", "java").toString();
    }

    static List<String> java() {
        return new ArrayList<>(
                List.of(javaProgram(), "-jar", Path.of("target", "burlarch.jar").toString()));
    }

    /**
     * A loopback port that is currently free, from below the ephemeral range: a port of that range could be
     * assigned to an outgoing connection before the program binds it, seconds later.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < 100; i++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // In use: try another one.
            }
        }
        throw new IOException("no port is free");
    }

    /** Runs a program with the given arguments and waits for its end. */
    public static Ended run(String program, String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(program));
        command.addAll(List.of(arguments));
        return awaitEnd(new ProcessBuilder(command)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start());
    }

    private static Ended awaitEnd(Process process) throws IOException, InterruptedException {
        process.getOutputStream().close();
        String error = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        return new Ended(process.waitFor(), error);
    }

    /** Runs a subcommand that addresses this process by its id. */
    public Ended command(String name) throws IOException, InterruptedException {
        return run(Path.of("..", "bin", "burlarch").toString(), name, "--pid", Long.toString(process.pid()));
    }

    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -s " + name + " " + process.pid())
                .start()
                .waitFor();
    }

    public InetSocketAddress address() {
        return address;
    }

    /** Standard error of the process, from when it was ready. */
    public BufferedReader error() {
        return error;
    }

    long pid() {
        return process.pid();
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
        discovery.close();
    }
}
