package burlarch.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Processing of events of the simulator's protocol, including unknown and malformed ones. */
class SimulatorAdapterTest {
    private static List<String> play(String... batches) throws IOException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        byte[] input = (String.join("\n", batches) + "\n").getBytes(StandardCharsets.UTF_8);
        new SimulatorAdapter().run(new ByteArrayInputStream(input), output);
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void missIsSentToOriginWithUnsignedServerIdUnchanged() throws IOException {
        String miss = Transcript.batch(
                1_020_000_000L,
                "{\"REPLY\":{\"who\":3,\"ref\":4000000000,"
                        + "\"elapsed_ns\":15000000,\"state_code\":\"MISS\",\"info\":2,\"hop\":0,\"node\":77}}");
        String reply = play(Transcript.START, Transcript.READ, miss).get(2);
        assertTrue(reply.contains("{\"HAND_OFF\":{\"who\":3,\"ref\":4000000000,\"node\":4294967295,"), reply);
    }

    @Test
    void eventsOfUnknownInstancesRequestsAndKindsAreIgnored() throws IOException {
        String unknownEvents = Transcript.batch(
                1_010_000_000L,
                "{\"LEFT\":{\"who\":9,\"ref\":1}}",
                "{\"LEFT\":{\"who\":3,\"ref\":1}}",
                "{\"REPLY\":{\"who\":3,\"ref\":5,\"elapsed_ns\":1,\"state_code\":\"GOOD\",\"node\":1}}",
                "{\"NOVELTY\":{\"who\":3,\"things\":[{\"a\":1}]}}");
        assertEquals("{\"decisions\":[]}", play(Transcript.START, unknownEvents).get(1));
    }

    @Test
    void restartWithinOneBatchDiscardsOpenRequests() throws IOException {
        String restart =
                Transcript.batch(1_010_000_000L, "{\"SHUTDOWN\":{\"who\":3}}", Transcript.INIT, Transcript.FLEET);
        String lateReply = Transcript.batch(
                1_020_000_000L,
                "{\"REPLY\":{\"who\":3,\"ref\":4000000000,"
                        + "\"elapsed_ns\":15000000,\"state_code\":\"MISS\",\"hop\":0,\"node\":77}}");
        assertEquals(
                "{\"decisions\":[]}",
                play(Transcript.START, Transcript.READ, restart, lateReply).get(3));
    }

    @Test
    void tableNumbersAreResolvedInEventOrder() throws IOException {
        String emptiedTable = Transcript.batch(1_001_000_000L, "{\"SHEET\":{\"table\":15,\"rows\":[]}}");
        assertTrue(play(Transcript.START, emptiedTable, Transcript.READ).get(2).contains("HAND_OFF"));
        String removedServers = Transcript.batch(
                1_001_000_000L,
                "{\"SHEET\":{\"table\":15,\"rows\":[]}}",
                "{\"FLEET\":{\"who\":3,\"kind\":\"replace\",\"revision\":2,\"table\":15}}",
                Transcript.SHEET);
        assertTrue(
                play(Transcript.START, removedServers, Transcript.READ).get(2).contains("REFUSE"));
    }

    @Test
    void unknownClassIsTreatedAsUnsafeToRepeat() throws IOException {
        String query = Transcript.batch(1_005_000_000L, Transcript.query(8, "novel"));
        String lateReply = Transcript.batch(
                2_495_000_000L,
                "{\"REPLY\":{\"who\":3,\"ref\":8,"
                        + "\"elapsed_ns\":1490000000,\"state_code\":\"LATE\",\"hop\":0,\"node\":77}}");
        String reply = play(Transcript.START, query, lateReply).get(2);
        assertTrue(reply.contains("{\"ABORT\":{\"who\":3,\"ref\":8}}"), reply);
    }

    @Test
    void malformedEventIsReportedWithInstanceAndEvent() {
        IOException e = assertThrows(
                IOException.class,
                () -> play(Transcript.START, "{\"clock_ns\":5,\"happened\":[{\"QUERY\":{\"who\":3,\"ref\":\"x\"}}]}"));
        assertTrue(e.getMessage().contains("instance 3, event QUERY"), e.getMessage());
    }

    @Test
    void hexKeysAreConvertedAndOtherKeysAreHashed() {
        assertEquals(0xffffffffffffffffL, SimulatorAdapter.digest("ffffffffffffffff"));
        assertNotEquals(SimulatorAdapter.digest("invoice/1"), SimulatorAdapter.digest("invoice/2"));
        assertNotEquals(SimulatorAdapter.digest("0123456789abcdef0"), SimulatorAdapter.digest("0123456789abcdef1"));
    }
}
