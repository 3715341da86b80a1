package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DrainTimesTest {
    /** The most that a loop was seen to be behind at half a core, and a little for the end itself. */
    private static final long SEEN_BEHIND_MS = 214;

    private static final long END_MS = 30;

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 300, 450, 1630, 2500, 3000, 3001, 60_000})
    void theLastAnswersAreOutBeforeTheKillAlsoWhereTheLoopIsBehind(long longestMs) {
        DrainTimes times = DrainTimes.of(longestMs);
        assertEquals(700 + Math.min(3000, longestMs), times.killMs());
        assertTrue(times.answeredMs() + SEEN_BEHIND_MS + END_MS <= times.killMs(), times.toString());
        assertTrue(times.endConnectionsMs() <= times.answeredMs(), times.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 1, 300, 450, 1630, 2500, 3000, 3001, 60_000})
    void connectionsAreTakenWhileTheyComeAndEndNoSooner(long longestMs) {
        DrainTimes times = DrainTimes.of(longestMs);
        assertTrue(times.closeListenersMs() > 400, times.toString());
        assertTrue(times.endConnectionsMs() >= times.closeListenersMs(), times.toString());
        // Who has no other proxy to ask is served for as long as the rest of it can be answered.
        assertTrue(times.endConnectionsMs() >= times.killMs() - 400, times.toString());
    }
}
