package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.coordination.registry.Instance;
import burlarch.routing.AttemptOutcome;
import burlarch.routing.Placement;
import burlarch.routing.PlannerSettings;
import burlarch.routing.RouteRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Instances that leave with requests in flight, drained or not, and responses that arrive out of order. */
class LeavingInstancesTest {
    private static final Instance LEAVING = Fixture.engine("i-0", 1);
    private static final Instance STAYING = Fixture.engine("i-1", 1);
    private final FleetPlanner planner = Fixture.planner(false, List.of(), 1);

    @Test
    void aRequestAtAnInstanceThatLeftWithoutDrainingEndsAsUsual() {
        planner.onInstances(List.of(LEAVING), 0);
        RouteRequest request = Fixture.review(1, 0);
        Placement.Send send = Fixture.send(planner, request, 0, 0);
        planner.onInstances(List.of(STAYING), Fixture.MILLI);
        planner.onFirstEvent(request, send, null, 2 * Fixture.MILLI);
        planner.onEnded(request, send, AttemptOutcome.ANSWERED, null, 3 * Fixture.MILLI);
        for (int i = 0; i < 20; i++) {
            RouteRequest next = Fixture.review(i, 4 * Fixture.MILLI);
            assertThat(Fixture.send(planner, next, 0, 4 * Fixture.MILLI)
                            .instance()
                            .id())
                    .isEqualTo("i-1");
        }
    }

    @Test
    void aRequestInterruptedByTheEndOfItsInstanceMayGoToAnother() {
        planner.onInstances(List.of(LEAVING), 0);
        RouteRequest request = Fixture.review(1, 0);
        Placement.Send send = Fixture.send(planner, request, 0, 0);
        planner.onInstances(List.of(STAYING), Fixture.MILLI);
        planner.onEnded(request, send, AttemptOutcome.BROKEN, null, 2 * Fixture.MILLI);
        assertThat(Fixture.send(planner, request, 1, 2 * Fixture.MILLI)
                        .instance()
                        .id())
                .isEqualTo("i-1");
    }

    @Test
    void anOlderVersionInALateResponseIsIgnored() {
        planner.onInstances(List.of(STAYING), 0);
        planner.onWeightsVersion("i-1", Fixture.MODEL, 3, 0);
        planner.onWeightsVersion("i-1", Fixture.MODEL, 2, Fixture.MILLI);
        RouteRequest request = Fixture.review(1, Fixture.MILLI);
        assertThat(Fixture.send(planner, request, 0, Fixture.MILLI).expectVersion())
                .isEqualTo(3);
    }

    @Test
    void prioritiesAreFromZeroToNine() {
        planner.onInstances(List.of(STAYING, Fixture.server("s-0")), 0);
        for (RouteRequest request : List.of(
                Fixture.review(1, 0),
                Fixture.request(Fixture.LETTER, null, Fixture.promptSegments(2), 0),
                Fixture.lookup(0))) {
            int priority = Fixture.send(planner, request, 0, 0).priority();
            assertThat(priority).isEqualTo(request.route().priority()).isBetween(0, 9);
        }
        PlannerSettings settings = PlannerSettings.of("z0", Fixture.REGIONS, 0.2, 10, 54, 8_000);
        assertThat(settings.priorityOf(-3)).isZero();
        assertThat(settings.priorityOf(40)).isEqualTo(9);
    }
}
