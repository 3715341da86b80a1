package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.latin1;
import static burlarch.router.StreamsTest.writeEvent;
import static burlarch.router.StreamsTest.writeHead;
import static org.assertj.core.api.Assertions.assertThat;

import burlarch.routing.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** An event stream that breaks off is resumed at another instance within the same response. */
class ResumeTest {
    private static final ScriptedEngine.Script CLOSES_WITHIN_THIRD_EVENT = (received, socket, output) -> {
        writeHead(received, output);
        writeEvent(output, 1);
        writeEvent(output, 2);
        output.write(latin1("8\r\nid: 3\nda\r\n"));
        output.flush();
        socket.close();
    };

    /** Sends the events after Last-Event-Id up to event 5. */
    private static final ScriptedEngine.Script SENDS_REMAINING_EVENTS = (received, socket, output) -> {
        writeHead(received, output);
        String lastEventId = received.header("Last-Event-Id");
        for (int id = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1; id <= 5; id++) {
            writeEvent(output, id);
        }
        output.write(latin1("0\r\n\r\n"));
    };

    private static String events(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int id = from; id <= to; id++) {
            text.append("id: ").append(id).append("\ndata: token ").append(id).append("\n\n");
        }
        return text.toString();
    }

    @Test
    void anotherInstanceResumesTheStream() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine(CLOSES_WITHIN_THIRD_EVENT);
                ScriptedEngine secondEngine = new ScriptedEngine(SENDS_REMAINING_EVENTS);
                RouterFixture fixture = new RouterFixture(firstEngine, secondEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/resume/a", "id", "", "x"));
            assertThat(response.isComplete()).isTrue();
            assertThat(response.body()).isEqualTo(events(1, 5));
            assertThat(firstEngine.nextRequest().header("Last-Event-Id")).isNull();
            ScriptedEngine.Received resumedRequest = secondEngine.nextRequest();
            assertThat(resumedRequest.header("Last-Event-Id")).isEqualTo("2");
            assertThat(resumedRequest.header("X-Request-Id")).isEqualTo("id");
            assertThat(resumedRequest.body()).isEqualTo(latin1("x"));
            assertThat(fixture.planner.placedRequests.poll().resumes()).isFalse();
            assertThat(fixture.planner.placedRequests.poll().resumes()).isTrue();
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.BROKEN);
            assertThat(fixture.planner.nextEndedAttempt().outcome()).isEqualTo(AttemptOutcome.ANSWERED);
        }
    }

    @Test
    void clientsOwnLastEventIdIsReplaced() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine((received, socket, output) -> {
                    writeHead(received, output);
                    writeEvent(output, 3);
                    socket.close();
                });
                ScriptedEngine secondEngine = new ScriptedEngine(SENDS_REMAINING_EVENTS);
                RouterFixture fixture = new RouterFixture(firstEngine, secondEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response =
                    client.exchange(request("POST", "/resume/a", "id", "Last-Event-Id: 2\r\n", "x"));
            assertThat(response.body()).isEqualTo(events(3, 5));
            assertThat(firstEngine.nextRequest().header("Last-Event-Id")).isEqualTo("2");
            assertThat(secondEngine.nextRequest().head())
                    .containsOnlyOnce("Last-Event-Id")
                    .contains("Last-Event-Id: 3\r\n");
        }
    }

    @Test
    void streamThatBreaksOffBeforeTheFirstEventIsRetried() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine((received, socket, output) -> {
                    writeHead(received, output);
                    output.write(latin1("3\r\nid:\r\n"));
                    output.flush();
                    socket.close();
                });
                ScriptedEngine secondEngine = new ScriptedEngine(SENDS_REMAINING_EVENTS);
                RouterFixture fixture = new RouterFixture(firstEngine, secondEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/resume/a", "id", "", "x"));
            assertThat(response.body()).isEqualTo(events(1, 5));
            assertThat(secondEngine.nextRequest().header("Last-Event-Id")).isNull();
        }
    }

    @Test
    void rejectedResumptionIsRetriedAtAThirdInstance() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine(CLOSES_WITHIN_THIRD_EVENT);
                ScriptedEngine rejectingEngine = new ScriptedEngine((received, socket, output) -> output.write(latin1(
                        ScriptedEngine.responseHead(received, 503, "X-Not-Executed: 1\r\nContent-Length: 0\r\n"))));
                ScriptedEngine thirdEngine = new ScriptedEngine(SENDS_REMAINING_EVENTS);
                RouterFixture fixture = new RouterFixture(firstEngine, rejectingEngine, thirdEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/resume/a", "id", "", "x"));
            assertThat(response.body()).isEqualTo(events(1, 5));
            assertThat(response.isComplete()).isTrue();
        }
    }

    @Test
    void runThatRestartsFromTheFirstEventIsNotAppended() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine(CLOSES_WITHIN_THIRD_EVENT);
                ScriptedEngine restartingEngine = new ScriptedEngine((received, socket, output) -> {
                    writeHead(received, output);
                    writeEvent(output, 1);
                    output.write(latin1("0\r\n\r\n"));
                });
                RouterFixture fixture = new RouterFixture(firstEngine, restartingEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/resume/a", "id", "", "x"));
            assertThat(response.isComplete()).isFalse();
            assertThat(response.body()).isEqualTo(events(1, 2));
        }
    }

    @Test
    void refusedResumptionAbortsTheResponse() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine(CLOSES_WITHIN_THIRD_EVENT);
                RouterFixture fixture = new RouterFixture(firstEngine);
                RawClient client = fixture.client()) {
            fixture.planner.refuseFromAttempt = 1;
            RawClient.Response response = client.exchange(request("POST", "/resume/a", "id", "", "x"));
            assertThat(response.isComplete()).isFalse();
            assertThat(response.body()).isEqualTo(events(1, 2));
            assertThat(client.isClosedByPeer()).isTrue();
        }
    }

    @Test
    void nonResumableStreamIsAborted() throws Exception {
        try (ScriptedEngine firstEngine = new ScriptedEngine(CLOSES_WITHIN_THIRD_EVENT);
                ScriptedEngine secondEngine = new ScriptedEngine(SENDS_REMAINING_EVENTS);
                RouterFixture fixture = new RouterFixture(firstEngine, secondEngine);
                RawClient client = fixture.client()) {
            RawClient.Response response = client.exchange(request("POST", "/stream/a", "id", "", "x"));
            assertThat(response.isComplete()).isFalse();
            assertThat(response.body()).startsWith(events(1, 2));
            assertThat(secondEngine.requests()).isZero();
        }
    }
}
