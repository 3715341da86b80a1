package burlarch.emulator.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Shows the checker planted observations: it must find each violation, and excuse what the rules excuse. */
class SoakCheckerTest {
    private static final String ROUTER = SoakFleet.routerName(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    @TempDir
    private Path directory;

    private final SoakObservations observations = new SoakObservations();
    private final SoakViolations violations = new SoakViolations();
    private SoakFleet fleet;
    private SoakProcess router;

    @BeforeEach
    void createFleet() throws Exception {
        Path deploy = Files.createDirectories(directory.resolve("deploy"));
        Files.writeString(deploy.resolve("system.toml"), "run = \"java controller\"\nrun = \"java router\"\n");
        try (LoopbackNetwork network = LoopbackNetwork.reserve()) {
            fleet = new SoakFleet(network, directory, directory, directory, 1);
        }
        router = fleet.routers().get(0);
    }

    /** Records a request that was sent a second ago and has just ended. */
    private void record(SoakRequest.Kind kind, SoakRequest.End end, int status, int executions, String detail) {
        long nowNanos = System.nanoTime();
        observations.onEnded(new SoakRequest("r", kind, ROUTER, nowNanos - SECOND, nowNanos, end, status, detail));
        for (int i = 0; i < executions; i++) {
            observations.onExecuted("r", "i-1");
        }
    }

    private List<String> violatedRules() {
        new SoakChecker(fleet, observations, violations).checkRequests();
        return violations.list().stream().map(SoakViolations.Violation::rule).toList();
    }

    private void recordLostRequest() {
        record(SoakRequest.Kind.READ, SoakRequest.End.CONNECTION_ENDED, 0, 1, "");
    }

    @Test
    void requestThatRanAndLostItsConnectionAfterTerminationIsLost() {
        router.recordTermination();
        recordLostRequest();
        assertThat(violatedRules()).containsExactly("LOST");
    }

    @Test
    void requestThatDidNotRunIsNotLost() {
        router.recordTermination();
        record(SoakRequest.Kind.READ, SoakRequest.End.CONNECTION_ENDED, 0, 0, "");
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void killExcusesLostRequests() {
        router.recordTermination();
        router.beginDisruption();
        router.endDisruption();
        recordLostRequest();
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void moreThanThreeConnectionsThatEndWithoutACauseAreLost() {
        for (int i = 0; i < 3; i++) {
            recordLostRequest();
        }
        assertThat(violatedRules()).isEmpty();
        recordLostRequest();
        assertThat(violatedRules()).hasSize(4).containsOnly("LOST");
    }

    @Test
    void rejectedRequestThatRanIsRefused() {
        record(SoakRequest.Kind.WRITE, SoakRequest.End.ANSWERED, 503, 1, "");
        assertThat(violatedRules()).containsExactly("REFUSED");
    }

    @Test
    void requestThatMayNotBeRepeatedRunsOnce() {
        record(SoakRequest.Kind.WRITE, SoakRequest.End.ANSWERED, SoakRequest.OK, 2, "");
        assertThat(violatedRules()).containsExactly("TWICE");
    }

    @Test
    void repeatableRequestMayRunAgain() {
        record(SoakRequest.Kind.READ, SoakRequest.End.ANSWERED, 503, 2, "");
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void invalidResponsesAreReported() {
        record(SoakRequest.Kind.READ, SoakRequest.End.ANSWERED, SoakRequest.OK, 1, "body of another request");
        record(SoakRequest.Kind.STREAM, SoakRequest.End.ANSWERED, SoakRequest.OK, 1, "event 3 after 1");
        assertThat(violatedRules()).containsExactly("MIXED", "ORDER");
    }

    @Test
    void requestAfterTheDrainTimeoutBreaksTheDrain() {
        record(SoakRequest.Kind.READ, SoakRequest.End.ANSWERED, SoakRequest.OK, 1, "");
        observations.onRequestAfterDrain("r", "i-1");
        assertThat(violatedRules()).containsExactly("DRAIN");
    }

    @Test
    void routerThatIsOutOfTouchMaySendToADrainedInstance() {
        record(SoakRequest.Kind.READ, SoakRequest.End.ANSWERED, SoakRequest.OK, 1, "");
        fleet.controllers().get(0).beginDisruption();
        observations.onRequestAfterDrain("r", "i-1");
        assertThat(violatedRules()).isEmpty();
    }

    @Test
    void calmOfTheCoreIsTheLongestTimeWithoutADisruption() {
        long startNanos = System.nanoTime() - 10 * SECOND;
        assertThat(fleet.longestCoreCalmNanos(startNanos, startNanos + 10 * SECOND))
                .isGreaterThan(9 * SECOND);
        fleet.controllers().get(2).beginDisruption();
        long disruptedNanos = System.nanoTime();
        assertThat(fleet.longestCoreCalmNanos(disruptedNanos, disruptedNanos + 10 * SECOND))
                .isLessThan(SECOND);
    }
}
