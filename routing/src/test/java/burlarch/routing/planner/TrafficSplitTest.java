package burlarch.routing.planner;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.Configuration.Split;
import burlarch.configuration.TrafficSplitter;
import burlarch.routing.RendezvousHash;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Parts of a split get their weight's share of any few hundred requests. The part follows from the request's id alone,
 * so that it does not matter how many routers there are or which of them gets a request.
 */
class TrafficSplitTest {
    private static final int WINDOW = 200;
    private static final int WINDOWS = 5_000;
    /** How far a part's share of a window may lie from that of its weight. */
    private static final double MAX_DIFFERENCE = 0.2;

    private static Route split(double first, double second) {
        return Fixture.route(
                "split",
                RouteType.STREAMING,
                null,
                List.of(new Split("a", first), new Split("b", second)),
                2,
                true,
                1_000,
                0);
    }

    private static String pick(Route route, int request) {
        return TrafficSplitter.pick(route, RendezvousHash.hash("request-" + Integer.toHexString(request)));
    }

    @ParameterizedTest
    @ValueSource(doubles = {50, 70, 90})
    void eachPartGetsItsShareOfEachWindow(double weight) {
        Route route = split(weight, 100 - weight);
        double worst = 0;
        for (int window = 0; window < WINDOWS; window++) {
            int first = 0;
            for (int i = 0; i < WINDOW; i++) {
                first += pick(route, window * WINDOW + i).equals("a") ? 1 : 0;
            }
            worst = Math.max(worst, Math.abs((double) first / WINDOW - weight / 100));
        }
        assertThat(worst).isLessThan(MAX_DIFFERENCE);
    }

    @Test
    void aPartWithoutWeightGetsNothing() {
        Route route = split(100, 0);
        for (int i = 0; i < WINDOW; i++) {
            assertThat(pick(route, i)).isEqualTo("a");
        }
    }
}
