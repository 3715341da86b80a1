package burlarch.emulator.demo;

import burlarch.emulator.server.ControlCalls;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** The operator of the demo: sends configurations and names weights. */
final class DemoOperator {
    private static final Duration LIMIT = Duration.ofSeconds(20);

    private final ControlCalls calls;
    private final List<Long> sent = new ArrayList<>();

    DemoOperator(ControlCalls calls) {
        this.calls = calls;
    }

    /** Sends the first configuration. */
    boolean found(long version, String storeAddress) throws InterruptedException {
        sent.add(version);
        return calls.call("PUT", "/burlarch/config", DemoConfiguration.whole(version, storeAddress), "0", LIMIT)
                .ok();
    }

    /** Sends the reads to another service with a new version. */
    boolean change(long version, String readsGoTo) throws InterruptedException {
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

    /** Names new weights. */
    boolean nameWeights(long version) throws InterruptedException {
        return calls.call(
                        "POST",
                        "/burlarch/version-put",
                        "{\"model\":\"" + DemoConfiguration.MODEL + "\",\"config_version\":" + version + "}",
                        null,
                        LIMIT)
                .ok();
    }

    /** Whether the newest version is what can be read back. */
    boolean readsBack() throws InterruptedException {
        ControlCalls.Answer answer = calls.call("GET", "/burlarch/config", null, null, LIMIT);
        return answer.ok() && answer.body().contains("\"config_version\":" + newest() + ",");
    }

    long newest() {
        return sent.get(sent.size() - 1);
    }

    List<Long> versions() {
        return List.copyOf(sent);
    }
}
