package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Order of and distances between the steps of a drain, for various request timeouts. */
class DrainTimesTest {
    /** Largest delay seen of an event loop with half a core. */
    private static final long MAX_LOOP_DELAY_MS = 214;

    /** Time for stopping the process after the last response. */
    private static final long STOP_MS = 30;

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 300, 450, 1630, 2500, 3000, 3001, 60_000})
    void lastResponsesAreSentBeforeKillEvenIfLoopIsDelayed(long longestTimeoutMs) {
        DrainTimes times = DrainTimes.of(longestTimeoutMs);
        assertEquals(700 + Math.min(3000, longestTimeoutMs), times.killMs());
        assertTrue(times.answeredMs() + MAX_LOOP_DELAY_MS + STOP_MS <= times.killMs(), times.toString());
        assertTrue(times.endConnectionsMs() <= times.answeredMs(), times.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 300, 450, 1630, 2500, 3000, 3001, 60_000})
    void connectionsAreAcceptedWhileTheyArriveAndServedUntilCloseToKill(long longestTimeoutMs) {
        DrainTimes times = DrainTimes.of(longestTimeoutMs);
        assertTrue(times.closeListenersMs() > 400, times.toString());
        assertTrue(times.endConnectionsMs() >= times.closeListenersMs(), times.toString());
        // Open connections, whose clients have no other proxy, are served while there is time to answer.
        assertTrue(times.endConnectionsMs() >= times.killMs() - 400, times.toString());
    }
}
