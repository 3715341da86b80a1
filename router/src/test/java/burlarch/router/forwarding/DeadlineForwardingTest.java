package burlarch.router.forwarding;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Limits;
import burlarch.configuration.Configuration.Route;
import burlarch.configuration.Configuration.RouteType;
import burlarch.configuration.IndexedRouteTable;
import burlarch.configuration.RouteTable;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import burlarch.router.server.RequestReader;
import burlarch.routing.Placement;
import burlarch.routing.RouteRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpURI;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The forwarded deadline is the remaining time of the request, however often and late it is forwarded. */
class DeadlineForwardingTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long ROUTE_TIMEOUT_MILLIS = 4_000;
    private static final long RECEIVED_NANOS = -7_000_000_000L;
    private static final RouteTable TABLE = IndexedRouteTable.of(new Configuration(
            1,
            List.of(new Route(
                    "r",
                    "one.example",
                    "/",
                    RouteType.IDEMPOTENT,
                    ROUTE_TIMEOUT_MILLIS,
                    1_000,
                    0,
                    "svc",
                    null,
                    3,
                    false,
                    true,
                    false,
                    400)),
            List.of(),
            new Limits(8_192, 100_000, 3_000, 15_000),
            List.of()));
    private static final Placement.Send SEND = new Placement.Send(
            new Instance("i-0", "svc", "10.0.0.1:80", "zone", "v1", 8, InstanceState.READY, 0, List.of(), 1),
            null,
            0,
            null,
            null,
            5,
            0);

    private static HttpFields fields(String deadline) {
        HttpFields.Mutable fields =
                HttpFields.build().put("Host", "one.example").put("X-Request-Id", "id");
        return deadline == null ? fields : fields.put("X-Request-Deadline", deadline);
    }

    private static RouteRequest read(String deadline) {
        RequestReader.Result result = RequestReader.read(TABLE, HttpURI.from("/a"), fields(deadline), RECEIVED_NANOS);
        assertThat(result).isInstanceOf(RequestReader.Accepted.class);
        return ((RequestReader.Accepted) result).request();
    }

    private static long forwardedMillis(String deadline, long afterMillis) {
        ByteBuffer bytes = new ForwardedRequestHead("GET", "/a", fields(deadline))
                .encode(read(deadline), SEND, 0, null, RECEIVED_NANOS + afterMillis * NANOS_PER_MILLI);
        String head = StandardCharsets.ISO_8859_1.decode(bytes).toString();
        assertThat(head).containsOnlyOnce("X-Request-Deadline: ");
        String remainder = head.substring(head.indexOf("X-Request-Deadline: ") + "X-Request-Deadline: ".length());
        return Long.parseLong(remainder.substring(0, remainder.indexOf("\r\n")));
    }

    @ParameterizedTest
    @CsvSource({"0, 2500", "1, 2499", "600, 1900", "2000, 500"})
    void laterSendStatesTheRemainingTime(long afterMillis, long remainingMillis) {
        assertThat(forwardedMillis("2500", afterMillis)).isEqualTo(remainingMillis);
    }

    @Test
    void routeTimeoutLimitsTheDeadlineOfTheClient() {
        assertThat(forwardedMillis("60000", 0)).isEqualTo(ROUTE_TIMEOUT_MILLIS);
        assertThat(forwardedMillis("60000", 700)).isEqualTo(ROUTE_TIMEOUT_MILLIS - 700);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "-1", "1e3", "99999999999999999999"})
    void malformedDeadlineIsReplacedByTheRouteTimeout(String deadline) {
        assertThat(forwardedMillis(deadline, 0)).isEqualTo(ROUTE_TIMEOUT_MILLIS);
    }

    @Test
    void requestWithoutADeadlineGetsTheTimeoutOfTheRoute() {
        assertThat(forwardedMillis(null, 0)).isEqualTo(ROUTE_TIMEOUT_MILLIS);
        assertThat(forwardedMillis(null, 1_500)).isEqualTo(ROUTE_TIMEOUT_MILLIS - 1_500);
        assertThat(read(null).deadlineNanos()).isEqualTo(RECEIVED_NANOS + ROUTE_TIMEOUT_MILLIS * NANOS_PER_MILLI);
    }
}
