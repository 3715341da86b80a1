package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import burlarch.emulator.server.EmulatedInstance;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Performs the steps of a soak, each on a thread of its own, so that they overlap. A process on which another step acts
 * is left out.
 */
final class SoakActions implements AutoCloseable {
    static final long INITIAL_VERSION = 1;

    /** How long an operator repeats a call; several kills of all processes may come meanwhile. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);

    /** Longest calm in which a call may be without an acknowledgement: {@code contact_ms} and {@code ack_ms}. */
    private static final long MAX_UNACKNOWLEDGED_CALM_NANOS = TimeUnit.SECONDS.toNanos(3 + 4);

    private static final long TURN_GAP_MILLIS = 1_300;
    /** How long an instance that ends serves beyond its drain timeout: so long that a late heartbeat finds it alive. */
    private static final long LINGER_MILLIS = 8_000;

    /** How late a heartbeat is at least: all processes may be killed and started again before. */
    private static final long MIN_LATE_MILLIS = 4_000;

    private static final long STEP_TIMEOUT_SECONDS = 60;

    private final SoakFleet fleet;
    private final DemoInstances instances;
    private final DemoOperator operator;
    private final HttpClient http;
    private final List<String> controlAddresses;
    private final SoakViolations violations;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private volatile long weightsVersion = INITIAL_VERSION;

    SoakActions(
            SoakFleet fleet,
            DemoInstances instances,
            DemoOperator operator,
            HttpClient http,
            List<String> controlAddresses,
            SoakViolations violations) {
        this.fleet = fleet;
        this.instances = instances;
        this.operator = operator;
        this.http = http;
        this.controlAddresses = controlAddresses;
        this.violations = violations;
    }

    long weightsVersion() {
        return weightsVersion;
    }

    /** Performs steps at their times; returns when all have ended. */
    void perform(List<SoakPlan.Step> steps) throws Exception {
        long startNanos = System.nanoTime();
        List<Future<?>> performed = new ArrayList<>();
        for (SoakPlan.Step step : steps) {
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            Thread.sleep(Math.max(0, step.atMillis() - elapsedMillis));
            performed.add(threads.submit(() -> {
                perform(step);
                return null;
            }));
        }
        await(performed);
    }

    private static void await(List<Future<?>> performed) throws Exception {
        for (Future<?> step : performed) {
            step.get(STEP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private void perform(SoakPlan.Step step) throws Exception {
        switch (step.fault()) {
            case TERMINATE_ROUTER -> terminateRouter(fleet.routers().get(step.target()));
            case TERMINATE_ROUTERS_IN_TURN -> terminateRoutersInTurn();
            case KILL_ROUTER -> kill(List.of(fleet.routers().get(step.target())), step.lengthMillis());
            case PAUSE_ROUTER -> pause(fleet.routers().get(step.target()), step.lengthMillis());
            case RELOAD_ROUTER -> fleet.routers().get(step.target()).signal("HUP");
            case TERMINATE_CONTROLLER -> terminateController(fleet.controllers().get(step.target()));
            case KILL_CONTROLLER -> kill(List.of(fleet.controllers().get(step.target())), step.lengthMillis());
            case PAUSE_CONTROLLER -> pause(fleet.controllers().get(step.target()), step.lengthMillis());
            case KILL_ALL -> kill(fleet.all(), step.lengthMillis());
            case CHANGE_CONFIGURATION -> changeConfiguration();
            case NAME_WEIGHTS -> nameWeights();
            case REPLACE_ENGINE -> replaceEngine(step.lengthMillis());
            case REPLACE_PLAIN_INSTANCE -> replacePlainInstance(step.lengthMillis());
        }
    }

    /** A SIGTERM of a router is planned work: it excuses no lost request. */
    private void terminateRouter(SoakProcess router) throws Exception {
        router.act(() -> {
            router.recordTermination();
            endAndStart(router);
        });
    }

    private void terminateRoutersInTurn() throws Exception {
        List<Future<?>> performed = new ArrayList<>();
        for (SoakProcess router : fleet.routers()) {
            performed.add(threads.submit(() -> {
                terminateRouter(router);
                return null;
            }));
            Thread.sleep(TURN_GAP_MILLIS);
        }
        await(performed);
    }

    /** While a controller restarts, the routers may be out of touch. */
    private void terminateController(SoakProcess controller) throws Exception {
        controller.act(() -> {
            controller.beginDisruption();
            endAndStart(controller);
            controller.endDisruption();
        });
    }

    private void endAndStart(SoakProcess process) throws Exception {
        if (!process.terminate()) {
            violations.add("FAULT", process.name(), "did not end after SIGTERM");
        }
        process.start();
    }

    private static void kill(List<SoakProcess> processes, long outageMillis) throws Exception {
        List<SoakProcess> reserved =
                processes.stream().filter(SoakProcess::reserve).toList();
        try {
            for (SoakProcess process : reserved) {
                process.beginDisruption();
                process.kill();
            }
            Thread.sleep(outageMillis);
            for (SoakProcess process : reserved) {
                process.start();
                process.endDisruption();
            }
        } finally {
            reserved.forEach(SoakProcess::release);
        }
    }

    private static void pause(SoakProcess process, long millis) throws Exception {
        process.act(() -> {
            process.beginDisruption();
            process.signal("STOP");
            Thread.sleep(millis);
            process.signal("CONT");
            process.endDisruption();
        });
    }

    private synchronized void changeConfiguration() throws InterruptedException {
        long version = operator.newestVersion() + 2;
        String service = version % 4 == 1 ? DemoConfiguration.SHOP : DemoConfiguration.SHOP_NEW;
        checkAcknowledgement("configuration " + version, () -> operator.changeConfiguration(version, service));
    }

    private synchronized void nameWeights() throws InterruptedException {
        weightsVersion++;
        checkAcknowledgement("weights " + weightsVersion, () -> operator.announceWeights(weightsVersion));
    }

    /** A call of the operator, which returns whether it was acknowledged. */
    private interface OperatorCall {
        boolean send() throws InterruptedException;
    }

    private void checkAcknowledgement(String subject, OperatorCall call) throws InterruptedException {
        long startNanos = System.nanoTime();
        boolean acknowledged = call.send();
        long calmNanos = fleet.longestCoreCalmNanos(startNanos, System.nanoTime());
        if (!acknowledged || calmNanos > MAX_UNACKNOWLEDGED_CALM_NANOS) {
            String outcome = acknowledged ? "acknowledged late" : "not acknowledged";
            violations.add("ACKS", subject, outcome + " in spite of " + calmNanos / 1_000_000 + " ms of calm");
        }
    }

    /** The engine drains before it leaves. */
    private void replaceEngine(long lateMillis) throws Exception {
        EmulatedInstance leaving = instances.takeOldest(DemoConfiguration.ENGINES);
        instances.startEngine(weightsVersion);
        Future<?> late = sendLate(leaving, lateMillis);
        leaving.shutDown(NodeSettingsFile.DRAIN_TIMEOUT_MILLIS, LINGER_MILLIS);
        await(List.of(late));
    }

    /** The instance leaves without draining. */
    private void replacePlainInstance(long lateMillis) throws Exception {
        EmulatedInstance leaving = instances.takeOldest(DemoConfiguration.SHOP);
        instances.startPlainInstance(DemoConfiguration.SHOP);
        Future<?> late = sendLate(leaving, lateMillis);
        leaving.leaveWithoutDrain(NodeSettingsFile.DRAIN_TIMEOUT_MILLIS, LINGER_MILLIS);
        await(List.of(late));
    }

    /** Sends a heartbeat from before an instance's end when its end is long acknowledged, to any controller. */
    private Future<?> sendLate(EmulatedInstance leaving, long lateMillis) {
        EmulatedInstance.HeldUpHeartbeat heartbeat =
                leaving.holdUpHeartbeat(new ControllerClient(http, controlAddresses, (int) lateMillis));
        return threads.submit(() -> {
            Thread.sleep(MIN_LATE_MILLIS + lateMillis);
            heartbeat.send();
            return null;
        });
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
