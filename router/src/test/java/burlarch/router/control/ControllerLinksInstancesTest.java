package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.coordination.registry.MergedInstanceView;
import burlarch.testing.RecordingLink;
import burlarch.transport.NodeMessage.ConfigurationAck;
import burlarch.transport.NodeMessage.InstancesAck;
import burlarch.transport.NodeMessage.InstancesUpdate;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Every controller sends each change of an instance to a router. Applying a change takes time for every instance, so a
 * change must be applied once and not once for each controller.
 */
class ControllerLinksInstancesTest {
    private final List<List<Instance>> appliedInstances = new ArrayList<>();
    private final ControllerLinks links = new ControllerLinks(new RecordingHandler());
    private final RecordingLink firstController = new RecordingLink("core-1", "a");
    private final RecordingLink secondController = new RecordingLink("core-2", "b");

    private final class RecordingHandler extends IgnoringUpdateHandler {
        @Override
        public void onInstances(MergedInstanceView mergedInstances) {
            appliedInstances.add(mergedInstances.instances());
        }
    }

    private static Instance instance(InstanceState state, long sequence) {
        return new Instance("i-1", "svc", "10.0.0.1:80", "a", "v1", 8, state, 0, List.of(), sequence);
    }

    private void sendInstances(RecordingLink controller, long revision, boolean complete, Instance... instances) {
        links.onMessage(controller, new InstancesUpdate(revision, complete, List.of(instances)));
    }

    @Test
    void changeSentBySeveralControllersTakesEffectOnce() {
        links.onConnected(firstController);
        links.onConnected(secondController);
        sendInstances(firstController, 1, true, instance(InstanceState.READY, 1));
        sendInstances(secondController, 1, true, instance(InstanceState.READY, 1));
        assertThat(appliedInstances).hasSize(1);
        sendInstances(firstController, 2, false, instance(InstanceState.DRAINING, 2));
        sendInstances(secondController, 2, false, instance(InstanceState.DRAINING, 2));
        assertThat(appliedInstances).hasSize(2);
        assertThat(appliedInstances.get(1)).containsExactly(instance(InstanceState.DRAINING, 2));
    }

    @Test
    void eachControllersUpdateIsAcknowledged() {
        links.onConnected(firstController);
        links.onConnected(secondController);
        sendInstances(firstController, 4, true, instance(InstanceState.READY, 1));
        sendInstances(secondController, 7, true, instance(InstanceState.READY, 1));
        assertThat(firstController.sent).containsExactly(new ConfigurationAck(0), new InstancesAck(4));
        assertThat(secondController.sent).containsExactly(new ConfigurationAck(0), new InstancesAck(7));
    }

    @Test
    void emptyFirstSnapshotIsApplied() {
        links.onConnected(firstController);
        sendInstances(firstController, 0, true);
        assertThat(appliedInstances).containsExactly(List.of());
    }

    @Test
    void prefixCacheUpdatesArePublishedThroughAControllerOfTheOwnZone() {
        links.onConnected(firstController);
        links.onConnected(secondController);
        for (int i = 0; i < 20; i++) {
            assertThat(links.publishingController("edge-" + i, "b")).contains(secondController);
        }
        links.onDisconnected(secondController);
        assertThat(links.publishingController("edge-1", "b")).contains(firstController);
    }
}
