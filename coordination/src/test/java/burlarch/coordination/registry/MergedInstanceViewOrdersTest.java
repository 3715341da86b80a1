package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a router's view of an instance that depends on the order in which the controllers' updates arrive.
 * Each case lists the successive updates of three controllers, as STATE SEQUENCE separated by slashes, or a dash for
 * a controller that knows nothing, and the state that the router must have in the end after every interleaving.
 */
class MergedInstanceViewOrdersTest {
    private static final String NONE = "-";

    @ParameterizedTest(name = "{0}")
    @CsvSource({
        // One controller is partitioned from the other two; routers and instances reach all three.
        "lost at a newer sequence by the partitioned controller, READY 1/GONE 9, READY 2, -, READY",
        "lost by the partitioned controller and heard by both others, READY 1/GONE 9, READY 2, READY 1, READY",
        "lost by two and heard by the partitioned controller, READY 1, READY 2/GONE 7, READY 2/GONE 8, READY",
        "unheard by the partitioned controller and lost by the others, READY 4/UNHEARD 4, READY 4/GONE 5, GONE 5, -",
        "unheard by the partitioned controller and heard by one, READY 4/UNHEARD 4, READY 4/GONE 5, READY 1, READY",
        // Two controllers are partitioned, or all three from each other.
        "heard by only one controller, READY 4/GONE 6, READY 4, GONE 9, READY",
        "unheard by all controllers, READY 4/UNHEARD 4, READY 5/UNHEARD 5, UNHEARD 6, READY",
        "lost by all controllers, READY 4/GONE 6, READY 5/GONE 5, GONE 9, -",
        "lost by all and heard again by one, READY 1/GONE 3/READY 4, READY 1/GONE 3, READY 1/GONE 3, READY",
        // A restarted controller knows nothing.
        "unheard by the partitioned controller and unknown to the restarted ones, READY 4/UNHEARD 4, -, -, READY",
        // A drain or a leave that any controller published.
        "drain at one and older announcements at the others, READY 1/DRAINING 7, READY 1, READY 2, DRAINING",
        "drain at one and newer announcements at the others, READY 1/DRAINING 7, READY 9, READY 8, DRAINING",
        "drained and lost at one and heard by another, READY 1/DRAINING 7/GONE 7, READY 3, -, DRAINING",
        "drained and lost at one and unheard by another, DRAINING 7/GONE 7, READY 3/UNHEARD 3, -, -",
        "drained and unheard by all, DRAINING 7/UNHEARD 7, READY 3/UNHEARD 3, -, DRAINING",
        "left at one and newer announcements at the others, READY 1/LEFT, READY 9, READY 8, -",
        "left at one and lost at another, READY 1/LEFT, READY 9/GONE 9, -, -"
    })
    void viewDoesNotDependOnTheOrderOfUpdates(
            String description, String first, String second, String third, String expected) {
        List<List<String>> histories = List.of(steps(first), steps(second), steps(third));
        int interleavings = runInterleavings(description, histories, new ArrayList<>(), expected);
        assertThat(interleavings).as("orders of %s", description).isPositive();
    }

    private static List<String> steps(String history) {
        return history.equals(NONE) ? List.of() : List.of(history.split("/"));
    }

    /** Runs every interleaving that continues the given order of controllers, and returns their number. */
    private static int runInterleavings(
            String description, List<List<String>> histories, List<Integer> order, String expected) {
        int interleavings = 0;
        for (int controller = 0; controller < histories.size(); controller++) {
            int next =
                    (int) order.stream().filter(List.of(controller)::contains).count();
            if (next < histories.get(controller).size()) {
                List<Integer> extendedOrder = new ArrayList<>(order);
                extendedOrder.add(controller);
                interleavings += runInterleavings(description, histories, extendedOrder, expected);
            }
        }
        if (interleavings > 0) {
            return interleavings;
        }
        assertThat(finalState(histories, order))
                .as("%s, in order %s", description, order)
                .isEqualTo(expected);
        return 1;
    }

    private static String finalState(List<List<String>> histories, List<Integer> order) {
        MergedInstanceView view = new MergedInstanceView();
        int[] nextStep = new int[histories.size()];
        for (int controller : order) {
            String step = histories.get(controller).get(nextStep[controller]++);
            view.onChanges("controller-" + controller, List.of(instance(step)));
        }
        return view.instances().isEmpty()
                ? NONE
                : view.instances().get(0).state().name();
    }

    private static Instance instance(String step) {
        String[] fields = step.split(" ");
        boolean left = fields[0].equals("LEFT");
        InstanceState state = left ? InstanceState.GONE : InstanceState.valueOf(fields[0]);
        long sequence = left ? InstanceRegistry.LEFT_SEQUENCE : Long.parseLong(fields[1]);
        return new Instance("i-1", "models", "10.0.0.1:80", "zone", "v1", 8, state, 0, List.of(), sequence);
    }
}
