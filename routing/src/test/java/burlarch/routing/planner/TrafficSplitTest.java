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
 * Each part of a traffic split gets about the share of its weight in any few hundred requests. The part depends only
 * on the request id, so neither the number of routers nor the router that receives a request matters.
 */
class TrafficSplitTest {
    private static final int WINDOW = 200;
    private static final int WINDOWS = 5_000;
    /** Maximum difference of a part's share in a window from the share of its weight. */
    private static final double MAX_DEVIATION = 0.2;

    private static Route split(double firstPart, double second) {
        return Fixture.route(
                "split",
                RouteType.STREAMING,
                null,
                List.of(new Split("a", firstPart), new Split("b", second)),
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
        double maxDeviation = 0;
        for (int window = 0; window < WINDOWS; window++) {
            int firstPart = 0;
            for (int i = 0; i < WINDOW; i++) {
                firstPart += pick(route, window * WINDOW + i).equals("a") ? 1 : 0;
            }
            maxDeviation = Math.max(maxDeviation, Math.abs((double) firstPart / WINDOW - weight / 100));
        }
        assertThat(maxDeviation).isLessThan(MAX_DEVIATION);
    }

    @Test
    void aPartWithoutWeightGetsNothing() {
        Route route = split(100, 0);
        for (int i = 0; i < WINDOW; i++) {
            assertThat(pick(route, i)).isEqualTo("a");
        }
    }
}
