package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MergedInstanceViewTest {
    private final MergedInstanceView view = new MergedInstanceView();

    private static Instance instance(InstanceState state, long sequence, Instance.ServedModel... models) {
        return instance("i-1", state, sequence, models);
    }

    /** Returns an instance; all of them have the same address. */
    private static Instance instance(String id, InstanceState state, long sequence, Instance.ServedModel... models) {
        return new Instance(id, "models", "10.0.0.1:80", "zone", "v1", 8, state, 0, List.of(models), sequence);
    }

    private void publish(String controller, InstanceState state, long sequence) {
        view.onChanges(controller, List.of(instance(state, sequence)));
    }

    private InstanceState state() {
        return view.instances().isEmpty() ? null : view.instances().get(0).state();
    }

    @Test
    void newestAnnouncementWinsWhicheverControllerPublishesIt() {
        publish("a", InstanceState.DRAINING, 5);
        publish("b", InstanceState.READY, 4);
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void emptySnapshotOfARestartedControllerRemovesNothing() {
        publish("a", InstanceState.READY, 4);
        view.onControllerLost("a");
        view.onSnapshot("a", List.of());
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void instanceLostByOneControllerStaysWhileAnotherHearsIt() {
        publish("a", InstanceState.READY, 4);
        publish("b", InstanceState.GONE, 4);
        assertThat(state()).isEqualTo(InstanceState.READY);
        publish("a", InstanceState.GONE, 4);
        assertThat(state()).isNull();
    }

    @Test
    void instanceThatLeftDoesNotComeBack() {
        publish("a", InstanceState.READY, 4);
        publish("b", InstanceState.GONE, InstanceRegistry.LEFT_SEQUENCE);
        assertThat(state()).isNull();
        publish("a", InstanceState.READY, 5);
        assertThat(state()).isNull();
    }

    @Test
    void loadingStateCountsAtTheSameSequenceAndEndsWithItsController() {
        publish("a", InstanceState.READY, 4);
        publish("b", InstanceState.LOADING, 4);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
        publish("b", InstanceState.READY, 4);
        assertThat(state()).isEqualTo(InstanceState.READY);
        publish("b", InstanceState.LOADING, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void loadingStateEndsWithTheOnlyControllerThatPublishedTheInstance() {
        publish("b", InstanceState.LOADING, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void drainOutlivesTheControllerThatPublishedIt() {
        publish("cut", InstanceState.READY, 4);
        publish("b", InstanceState.DRAINING, 7);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
        publish("cut", InstanceState.READY, 9);
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void leaveOutlivesTheControllerThatPublishedIt() {
        publish("cut", InstanceState.READY, 4);
        publish("b", InstanceState.GONE, InstanceRegistry.LEFT_SEQUENCE);
        view.onControllerLost("b");
        publish("cut", InstanceState.READY, 9);
        assertThat(state()).isNull();
    }

    /**
     * The controller that still hears the instance is lost; a partitioned controller cannot tell whether the instance
     * lives.
     */
    @Test
    void partitionedControllerRemovesNothingWhenTheLastObserverIsLost() {
        publish("cut", InstanceState.READY, 4);
        publish("b", InstanceState.READY, 5);
        publish("cut", InstanceState.UNHEARD, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void newRouterAdoptsTheLastAnnouncementOfAnUnheardInstance() {
        publish("a", InstanceState.UNHEARD, 4);
        publish("b", InstanceState.UNHEARD, 5);
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    /** A partitioned controller does not learn that another instance has the address. */
    @Test
    void instanceReplacedAtItsAddressIsGoneThoughAPartitionedControllerPublishesIt() {
        publish("cut", InstanceState.READY, 9);
        Instance successor = instance("i-2", InstanceState.READY, 1);
        view.onChanges("b", List.of(instance(InstanceState.GONE, 8), successor));
        assertThat(view.instances()).containsExactly(successor);
    }

    private void publishWeights(String controller, InstanceState state, long sequence, long version) {
        Instance.ServedModel model = new Instance.ServedModel("m", version);
        view.onChanges(controller, List.of(instance(state, sequence, model)));
    }

    @Test
    void loadingStateEndsWhenAnotherControllerHeardOfNewerWeights() {
        publishWeights("cut", InstanceState.LOADING, 4, 1);
        publishWeights("b", InstanceState.READY, 5, 1);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
        publishWeights("b", InstanceState.READY, 6, 2);
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void loadingStateForStillNewerWeightsCounts() {
        publishWeights("b", InstanceState.READY, 6, 2);
        publishWeights("a", InstanceState.LOADING, 6, 2);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
    }
}
