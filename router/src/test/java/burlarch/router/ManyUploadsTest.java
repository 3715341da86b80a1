package burlarch.router;

import static burlarch.router.RouterFixture.request;
import static burlarch.router.ScriptedEngine.completeResponse;
import static burlarch.router.ScriptedEngine.latin1;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import burlarch.node.http.RequestMemoryBudget;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a router that runs out of memory, as bodies that are still arriving count in no limit (LOST). */
class ManyUploadsTest {
    private static final int UPLOADS = 48;
    private static final int UPLOAD_BYTES = 4 << 20;
    /** The part of a router's budget that large bodies may use, in these halves. */
    private static final int MAX_HALVES_STORED = (16 << 20) / (UPLOAD_BYTES / 2);

    private static final int LARGE_UPLOADS_STORED = (16 << 20) / UPLOAD_BYTES;

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final List<RawClient> uploaders = new ArrayList<>();
    private ScriptedEngine engine;
    private RouterFixture fixture;

    @BeforeEach
    void start() throws Exception {
        engine = new ScriptedEngine(
                (received, socket, output) -> output.write(latin1(completeResponse(received, "", "x"))));
        fixture = new RouterFixture(UPLOAD_BYTES, engine);
        for (int i = 0; i < UPLOADS; i++) {
            uploaders.add(fixture.client());
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (RawClient uploader : uploaders) {
            uploader.close();
        }
        fixture.close();
        engine.close();
    }

    @Test
    void uploadsForWhichThereIsNoRoomAreRejectedWhileTheyArriveAndOthersAreServed() throws Exception {
        sendFirstHalves();
        for (RawClient rejected : awaitEarlyResponses(UPLOADS - MAX_HALVES_STORED)) {
            RawClient.Response response = rejected.readResponse();
            assertThat(response.status()).isEqualTo(503);
            assertThat(response.header("Retry-After")).isNotNull();
        }
        try (RawClient other = fixture.client()) {
            assertThat(other.exchange(request("POST", "/idem/a", "small", "", "x"))
                            .status())
                    .isEqualTo(200);
        }
    }

    @Test
    void everyUploadIsAnsweredAndKeepsItsConnection() throws Exception {
        sendFirstHalves();
        int served = 0;
        for (RawClient uploader : uploaders) {
            uploader.send("y".repeat(UPLOAD_BYTES / 2));
            RawClient.Response response = uploader.readResponse();
            assertThat(response.status()).isIn(200, 503);
            served += response.status() == 200 ? 1 : 0;
            if (response.status() == 503) {
                assertThat(response.header("Retry-After")).isNotNull();
            }
            assertThat(uploader.exchange(request("POST", "/idem/a", "next", "", "x"))
                            .status())
                    .isEqualTo(200);
        }
        assertThat(served).isPositive();
    }

    @Test
    void memoryOfUploadsThatAreBrokenOffIsReleased() throws Exception {
        sendFirstHalves();
        for (RawClient uploader : uploaders) {
            uploader.reset();
        }
        awaitServedUploads(3);
    }

    /** Guards against a connection on which a rejected body without an end is read for ever. */
    @Test
    void aRejectedBodyIsNotReadBeyondItsLimit() throws Exception {
        String allButOneByte = "y".repeat(UPLOAD_BYTES - 1);
        for (int i = 0; i < LARGE_UPLOADS_STORED; i++) {
            uploaders.get(i).send(head("upload-" + i) + allButOneByte);
        }
        awaitNoRoomForLargeBodies();
        try (RawClient endless = fixture.client()) {
            endless.send(request("POST", "/once/a", "endless", "Transfer-Encoding: chunked\r\n", ""));
            String chunk = "10000\r\n" + "y".repeat(0x10000) + "\r\n";
            assertThatThrownBy(() -> {
                        for (int i = 0; i < 16 * UPLOAD_BYTES / 0x10000; i++) {
                            endless.send(chunk);
                        }
                    })
                    .isInstanceOf(IOException.class);
        }
    }

    private void awaitNoRoomForLargeBodies() throws Exception {
        long startNanos = System.nanoTime();
        String body = "y".repeat(2 * RequestMemoryBudget.SMALL_BODY_BYTES);
        int status = 0;
        while (status != 503) {
            assertThat(System.nanoTime() - startNanos).isLessThan(TIMEOUT_NANOS);
            try (RawClient client = fixture.client()) {
                status = client.exchange(request("POST", "/once/a", "probe", "", body))
                        .status();
            }
        }
    }

    private void sendFirstHalves() throws Exception {
        String half = "y".repeat(UPLOAD_BYTES / 2);
        for (int i = 0; i < UPLOADS; i++) {
            uploaders.get(i).send(head("upload-" + i) + half);
        }
    }

    private static String head(String id) {
        return request("POST", "/once/a", id, "Content-Length: " + UPLOAD_BYTES + "\r\n", "");
    }

    /** Returns the uploads that are answered before they are complete, as soon as there are that many. */
    private List<RawClient> awaitEarlyResponses(int count) throws Exception {
        long startNanos = System.nanoTime();
        List<RawClient> answered = new ArrayList<>();
        while (answered.size() < count) {
            assertThat(System.nanoTime() - startNanos)
                    .as("%d of %d uploads were answered early", answered.size(), count)
                    .isLessThan(TIMEOUT_NANOS);
            answered.clear();
            for (RawClient uploader : uploaders) {
                if (uploader.hasReceivedBytes()) {
                    answered.add(uploader);
                }
            }
        }
        return answered;
    }

    /** Sends complete uploads, one after another, until that many in a row were served. */
    private void awaitServedUploads(int count) throws Exception {
        long startNanos = System.nanoTime();
        int served = 0;
        while (served < count) {
            assertThat(System.nanoTime() - startNanos).isLessThan(TIMEOUT_NANOS);
            try (RawClient client = fixture.client()) {
                RawClient.Response response = client.exchange(head("again") + "y".repeat(UPLOAD_BYTES));
                served = response.status() == 200 ? served + 1 : 0;
            }
        }
    }
}
