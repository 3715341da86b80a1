package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.emulator.server.ControllerClient;
import burlarch.testing.client.ProcessResources;
import burlarch.testing.client.RequestTemplate;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * Three controllers, a router and a plain instance behind it, started with the commands of the deployment. The checks
 * don't depend on the speed of the machine.
 */
final class MisbehavingClientsFleet implements AutoCloseable {
    /** Memory of the smallest machine that runs a router, in the deployments that the project must serve. */
    private static final long ROUTER_MEMORY_BYTES = 330_000_000;
    /** Memory of the smallest machine that runs a controller. */
    private static final long CONTROLLER_MEMORY_BYTES = 426_000_000;
    /** The descriptors that the settings file grants each process. */
    private static final long MAX_DESCRIPTORS = 1024;

    private static final Path HOME = Path.of("..").toAbsolutePath().normalize();
    private static final long VERSION = 1;
    private static final long START_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Long enough for each time limit of the configuration on any machine; a process that hangs is slower. */
    private static final long SERVICE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final long POLL_INTERVAL_MILLIS = 50;
    private static final int OK = 200;
    private static final String HEARTBEAT =
            """
            {"service":"%s","address":"127.0.0.1:9","state":"ready","sequence":%%d}"""
                    .formatted(DemoConfiguration.SHOP_NEW);

    /** Sequence of the latest heartbeat. */
    private final AtomicLong heartbeats = new AtomicLong();

    static {
        // The first HTTP client of the virtual machine reads the properties, and other tests share that machine.
        Main.configureHttp();
    }

    private final LoopbackNetwork network = LoopbackNetwork.reserve();
    private final Path directory = Files.createTempDirectory("burlarch-clients");
    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final SoakFleet fleet = new SoakFleet(network, HOME, directory, directory, 1);
    private final List<String> controllers = SoakFleet.controlAddresses(network);
    private final DemoInstances instances = new DemoInstances(network, new SoakObservations(), http, controllers);

    private MisbehavingClientsFleet() throws IOException {}

    /** Starts the processes and waits until the router serves a request. */
    static MisbehavingClientsFleet start() throws IOException, InterruptedException {
        MisbehavingClientsFleet started = new MisbehavingClientsFleet();
        started.fleet.startAll();
        DemoOperator operator = new DemoOperator(
                new ControllerClient(started.http, started.controllers, 0), Duration.ofNanos(START_TIMEOUT_NANOS));
        assertThat(operator.createConfiguration(VERSION, started.instances.startStore()))
                .as("first configuration acknowledged")
                .isTrue();
        started.instances.startPlainInstance(DemoConfiguration.SHOP);
        started.assertRequestIsServed();
        return started;
    }

    InetSocketAddress front() {
        return new InetSocketAddress(network.router(1), LoopbackNetwork.FRONT_PORT);
    }

    InetSocketAddress readiness() {
        return new InetSocketAddress(network.router(1), LoopbackNetwork.READINESS_PORT);
    }

    InetSocketAddress control() {
        return new InetSocketAddress(network.controller(1), LoopbackNetwork.CONTROL_PORT);
    }

    /** Returns an ordinary request of a client. */
    RequestTemplate frontRequest() {
        return new RequestTemplate(
                DemoConfiguration.READ + "item",
                number -> "Host: " + DemoConfiguration.HOST + "\r\nX-Request-Id: m-" + number
                        + "\r\nX-Request-Deadline: 4000\r\nX-Credential: " + DemoConfiguration.KEYS[0] + "\r\n",
                16_384);
    }

    /** Returns an ordinary readiness check. */
    RequestTemplate readinessRequest() {
        return new RequestTemplate("/burlarch/readyz", number -> "Host: router\r\n", 16_384);
    }

    /** Returns an ordinary call of an operator. */
    RequestTemplate controlRequest() {
        return new RequestTemplate("/burlarch/config", number -> "Host: controller\r\n", 8_192);
    }

    /** Checks that no process has ended, and that each is within its memory and its descriptors. */
    void assertProcessesWithinBounds() throws IOException {
        for (SoakProcess process : fleet.all()) {
            boolean isRouter = fleet.routers().contains(process);
            assertThat(process.isAlive())
                    .as("%s runs; last lines of its log: %s", process.name(), endOfLog(process))
                    .isTrue();
            assertThat(ProcessResources.peakMemoryBytes(process.pid()))
                    .as("memory of %s", process.name())
                    .isLessThanOrEqualTo(isRouter ? ROUTER_MEMORY_BYTES : CONTROLLER_MEMORY_BYTES);
            assertThat(ProcessResources.openDescriptors(process.pid()))
                    .as("descriptors of %s", process.name())
                    .isLessThanOrEqualTo(MAX_DESCRIPTORS);
        }
    }

    private String endOfLog(SoakProcess process) throws IOException {
        List<String> lines = Files.readAllLines(directory.resolve(process.name() + ".log"));
        return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    }

    /** Checks that a client's ordinary request is answered with success, if it is repeated as clients do. */
    void assertRequestIsServed() throws InterruptedException {
        assertAnswered(front(), frontRequest());
    }

    /** Checks that the router is found ready. */
    void assertReady() throws InterruptedException {
        assertAnswered(readiness(), readinessRequest());
    }

    /** Checks that a controller answers an operator. */
    void assertConfigurationIsRead() throws InterruptedException {
        assertAnswered(control(), controlRequest());
    }

    /** Checks that a controller acknowledges the heartbeat of an instance. */
    void assertHeartbeatIsAcknowledged() throws InterruptedException {
        RequestTemplate heartbeat =
                new RequestTemplate("/burlarch/instances/i-heartbeat", number -> "Host: controller\r\n", 8_192);
        assertAnswered(control(), heartbeat, "PUT", () -> HEARTBEAT.formatted(heartbeats.incrementAndGet()));
    }

    private static void assertAnswered(InetSocketAddress address, RequestTemplate template)
            throws InterruptedException {
        assertAnswered(address, template, "GET", () -> "");
    }

    private static void assertAnswered(
            InetSocketAddress address, RequestTemplate template, String method, Supplier<String> body)
            throws InterruptedException {
        long deadlineNanos = System.nanoTime() + SERVICE_TIMEOUT_NANOS;
        String last = "no attempt";
        for (int number = -1; System.nanoTime() - deadlineNanos < 0; number--) {
            last = attempt(address, template, number, method, body.get());
            if (last.equals(Integer.toString(OK))) {
                return;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
        assertThat(last).as("outcome of an ordinary request to %s", address).isEqualTo(Integer.toString(OK));
    }

    private static String attempt(
            InetSocketAddress address, RequestTemplate template, int number, String method, String body)
            throws InterruptedException {
        try (SoakConnection connection =
                new SoakConnection(address.getAddress().getHostAddress(), address.getPort(), READ_TIMEOUT_MILLIS)) {
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            String request = method + " " + template.path() + " HTTP/1.1\r\n"
                    + template.headerLines().apply(number) + length + "\r\n" + body;
            connection.send(request.getBytes(StandardCharsets.ISO_8859_1));
            return Integer.toString(connection.receive(0).status());
        } catch (IOException | RuntimeException noResponse) {
            return noResponse.toString();
        }
    }

    @Override
    public void close() throws IOException {
        instances.close();
        fleet.close();
        network.close();
        TemporaryDirectory.delete(directory);
    }
}
