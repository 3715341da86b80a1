package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class MergedInstanceViewTest {
    private final MergedInstanceView view = new MergedInstanceView();

    private static Instance instance(InstanceState state, long sequence, Instance.ServedModel... models) {
        return instance("i-1", state, sequence, models);
    }

    /** All of them have one address. */
    private static Instance instance(String id, InstanceState state, long sequence, Instance.ServedModel... models) {
        return new Instance(id, "models", "10.0.0.1:80", "zone", "v1", 8, state, 0, List.of(models), sequence);
    }

    private void states(String controller, InstanceState state, long sequence) {
        view.onChanges(controller, List.of(instance(state, sequence)));
    }

    private InstanceState state() {
        return view.instances().isEmpty() ? null : view.instances().get(0).state();
    }

    @Test
    void theNewestAnnouncementWinsWhicheverControllerStatesIt() {
        states("a", InstanceState.DRAINING, 5);
        states("b", InstanceState.READY, 4);
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void aRestartedControllerThatKnowsNothingRemovesNothing() {
        states("a", InstanceState.READY, 4);
        view.onControllerLost("a");
        view.onSnapshot("a", List.of());
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void oneObserversLossDoesNotRemoveAnInstanceThatAnotherHears() {
        states("a", InstanceState.READY, 4);
        states("b", InstanceState.GONE, 4);
        assertThat(state()).isEqualTo(InstanceState.READY);
        states("a", InstanceState.GONE, 4);
        assertThat(state()).isNull();
    }

    @Test
    void anInstanceThatLeftDoesNotComeBack() {
        states("a", InstanceState.READY, 4);
        states("b", InstanceState.GONE, InstanceRegistry.LEFT_SEQUENCE);
        assertThat(state()).isNull();
        states("a", InstanceState.READY, 5);
        assertThat(state()).isNull();
    }

    @Test
    void aMarkOfLoadingCountsAtTheSameSequenceAndEndsWithItsController() {
        states("a", InstanceState.READY, 4);
        states("b", InstanceState.LOADING, 4);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
        states("b", InstanceState.READY, 4);
        assertThat(state()).isEqualTo(InstanceState.READY);
        states("b", InstanceState.LOADING, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void aMarkOfLoadingEndsWithTheOnlyControllerThatStatedTheInstance() {
        states("b", InstanceState.LOADING, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void aDrainOutlivesTheControllerThatStatedIt() {
        states("cut", InstanceState.READY, 4);
        states("b", InstanceState.DRAINING, 7);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
        states("cut", InstanceState.READY, 9);
        assertThat(state()).isEqualTo(InstanceState.DRAINING);
    }

    @Test
    void aLeaveOutlivesTheControllerThatStatedIt() {
        states("cut", InstanceState.READY, 4);
        states("b", InstanceState.GONE, InstanceRegistry.LEFT_SEQUENCE);
        view.onControllerLost("b");
        states("cut", InstanceState.READY, 9);
        assertThat(state()).isNull();
    }

    /** The one that still hears the instance is lost; a controller that was cut off can't tell. */
    @Test
    void aPartitionedControllerRemovesNothingWhenTheLastObserverIsLost() {
        states("cut", InstanceState.READY, 4);
        states("b", InstanceState.READY, 5);
        states("cut", InstanceState.UNHEARD, 4);
        view.onControllerLost("b");
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void aNewRouterTakesTheLastAnnouncementOfAnInstanceThatNobodyHears() {
        states("a", InstanceState.UNHEARD, 4);
        states("b", InstanceState.UNHEARD, 5);
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    /** One that is cut off does not hear that the address has passed on. */
    @Test
    void anInstanceReplacedAtItsAddressIsGoneThoughAPartitionedControllerStatesIt() {
        states("cut", InstanceState.READY, 9);
        Instance successor = instance("i-2", InstanceState.READY, 1);
        view.onChanges("b", List.of(instance(InstanceState.GONE, 8), successor));
        assertThat(view.instances()).containsExactly(successor);
    }

    private void statesWeights(String controller, InstanceState state, long sequence, long version) {
        Instance.ServedModel model = new Instance.ServedModel("m", version);
        view.onChanges(controller, List.of(instance(state, sequence, model)));
    }

    @Test
    void aMarkOfLoadingEndsWhenAnotherControllerHeardOfNewerWeights() {
        statesWeights("cut", InstanceState.LOADING, 4, 1);
        statesWeights("b", InstanceState.READY, 5, 1);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
        statesWeights("b", InstanceState.READY, 6, 2);
        assertThat(state()).isEqualTo(InstanceState.READY);
    }

    @Test
    void aMarkOfLoadingForYetNewerWeightsCounts() {
        statesWeights("b", InstanceState.READY, 6, 2);
        statesWeights("a", InstanceState.LOADING, 6, 2);
        assertThat(state()).isEqualTo(InstanceState.LOADING);
    }
}
