package burlarch.emulator.demo;

import burlarch.emulator.server.ControllerClient;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The operator of the demo: submits configurations and announces weights. */
final class DemoOperator {
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private final ControllerClient calls;
    private final List<Long> sent = new ArrayList<>();

    DemoOperator(ControllerClient calls) {
        this.calls = calls;
    }

    /** Submits the first configuration; returns whether it was acknowledged. */
    boolean createConfiguration(long version, String storeAddress) throws InterruptedException {
        sent.add(version);
        return calls.call("PUT", "/burlarch/config", DemoConfiguration.initial(version, storeAddress), "0", LIMIT)
                .ok();
    }

    /** Routes reads to another service with a new version; returns whether it was acknowledged. */
    boolean changeConfiguration(long version, String readsGoTo) throws InterruptedException {
        long former = newest();
        sent.add(version);
        return calls.call(
                        "PATCH",
                        "/burlarch/config",
                        DemoConfiguration.patch(version, former, readsGoTo),
                        Long.toString(former),
                        LIMIT)
                .ok();
    }

    /** Announces new weights; returns whether that was acknowledged. */
    boolean setWeightsVersion(long version) throws InterruptedException {
        return calls.call(
                        "POST",
                        "/burlarch/version-put",
                        "{\"model\":\"" + DemoConfiguration.MODEL + "\",\"config_version\":" + version + "}",
                        null,
                        LIMIT)
                .ok();
    }

    /** Whether a read returns the newest version. */
    boolean readsBack() throws InterruptedException {
        ControllerClient.Response response = calls.call("GET", "/burlarch/config", null, null, LIMIT);
        return response.ok() && response.body().contains("\"config_version\":" + newest() + ",");
    }

    long newest() {
        return sent.get(sent.size() - 1);
    }

    List<Long> versions() {
        return List.copyOf(sent);
    }
}
