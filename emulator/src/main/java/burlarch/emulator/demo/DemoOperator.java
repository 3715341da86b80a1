package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Operator of the demo: submits configurations and announces weights. */
final class DemoOperator {
    private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(20);

    private final ControllerClient controllerClient;
    private final Duration callTimeout;
    private final List<Long> submittedVersions = new ArrayList<>();

    DemoOperator(ControllerClient controllerClient) {
        this(controllerClient, DEFAULT_CALL_TIMEOUT);
    }

    /** @param callTimeout how long a call is repeated until it is acknowledged or rejected */
    DemoOperator(ControllerClient controllerClient, Duration callTimeout) {
        this.controllerClient = controllerClient;
        this.callTimeout = callTimeout;
    }

    /** Submits the first configuration; returns whether it was acknowledged. */
    boolean createConfiguration(long version, String storeAddress) throws InterruptedException {
        submittedVersions.add(version);
        return controllerClient
                .call("PUT", "/burlarch/config", DemoConfiguration.initial(version, storeAddress), "0", callTimeout)
                .ok();
    }

    /** Submits a version that routes reads to another service; returns whether it was acknowledged. */
    boolean changeConfiguration(long version, String readService) throws InterruptedException {
        long previousVersion = newestVersion();
        submittedVersions.add(version);
        return controllerClient
                .call(
                        "PATCH",
                        "/burlarch/config",
                        DemoConfiguration.patch(version, previousVersion, readService),
                        Long.toString(previousVersion),
                        callTimeout)
                .ok();
    }

    /** Announces a version of the weights; returns whether it was acknowledged. */
    boolean announceWeights(long version) throws InterruptedException {
        return controllerClient
                .call(
                        "POST",
                        "/burlarch/version-put",
                        "{\"model\":\"" + DemoConfiguration.MODEL + "\",\"config_version\":" + version + "}",
                        null,
                        callTimeout)
                .ok();
    }

    /** Reads the configuration; returns whether it has the newest submitted version. */
    boolean readReturnsNewestVersion() throws InterruptedException {
        ControllerClient.Response response = controllerClient.call("GET", "/burlarch/config", null, null, callTimeout);
        return response.ok() && response.body().contains("\"config_version\":" + newestVersion() + ",");
    }

    long newestVersion() {
        return submittedVersions.get(submittedVersions.size() - 1);
    }

    List<Long> versions() {
        return List.copyOf(submittedVersions);
    }
}
