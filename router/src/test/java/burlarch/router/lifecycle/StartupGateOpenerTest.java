package burlarch.router.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When the startup gate opens after the first configuration and instances. */
class StartupGateOpenerTest {
    private record DelayedTask(Runnable task, long delayMillis) {}

    private final Configuration configuration = new Configuration(
            1, List.of(), List.of(new Service("a", "/healthz", 100, null, null, null, 0, 0, 0)), null, List.of());
    private final List<DelayedTask> delayedTasks = new ArrayList<>();
    private int openCount;
    private final StartupGateOpener opener =
            new StartupGateOpener((task, delay) -> delayedTasks.add(new DelayedTask(task, delay)), () -> openCount++);

    private static Instance instance(String id) {
        return new Instance(id, "a", "10.0.0.2:1", "zone", "v1", 8, InstanceState.READY, 0, List.of(), 1);
    }

    private void runTasksDelayedBy(long delayMillis) {
        List<DelayedTask> dueTasks = delayedTasks.stream()
                .filter(delayed -> delayed.delayMillis() == delayMillis)
                .toList();
        delayedTasks.removeAll(dueTasks);
        dueTasks.forEach(delayed -> delayed.task().run());
    }

    @Test
    void gateStaysClosedWhileInstancesAreAdded() {
        opener.onUpdate(configuration, List.of(instance("i-1")));
        DelayedTask first = delayedTasks.get(delayedTasks.size() - 1);
        opener.onUpdate(configuration, List.of(instance("i-1"), instance("i-2")));
        first.task().run();
        assertThat(openCount).isZero();
        runTasksDelayedBy(StartupGateOpener.QUIET_PERIOD_MILLIS);
        assertThat(openCount).isPositive();
    }

    @Test
    void updatesOfKnownInstancesDoNotDelayTheOpening() {
        opener.onUpdate(configuration, List.of(instance("i-1")));
        opener.onUpdate(configuration, List.of(instance("i-1")));
        runTasksDelayedBy(StartupGateOpener.QUIET_PERIOD_MILLIS);
        assertThat(openCount).isEqualTo(1);
    }

    @Test
    void gateOpensAfterTheMaximumTimeIfAServiceHasNoInstances() {
        opener.onUpdate(configuration, List.of());
        runTasksDelayedBy(StartupGateOpener.QUIET_PERIOD_MILLIS);
        assertThat(openCount).isZero();
        runTasksDelayedBy(StartupGateOpener.MAX_CLOSED_MILLIS);
        assertThat(openCount).isEqualTo(1);
    }
}
