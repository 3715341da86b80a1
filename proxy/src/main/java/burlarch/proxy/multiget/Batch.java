package burlarch.proxy.multiget;

import burlarch.proxy.RequestTable;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The requests of one multi-get. All are sent at once; the responses are returned together when the last request has
 * its final status. Used on the event loop only.
 */
final class Batch {
    private static final byte[] NO_BODY = {};

    private final class BatchRequest implements RequestTable.ResponseHandler {
        final RequestTable.ClientRequest arrival;
        long requestNumber;
        int status;
        byte[] body = NO_BODY;

        BatchRequest(RequestTable.ClientRequest clientRequest) {
            this.arrival = clientRequest;
        }

        @Override
        public void served(byte[] responseBody, String contentType) {
            if (byteBudget.tryReserve(responseBody.length)) {
                body = responseBody;
                reservedBytes += responseBody.length;
                finish(HttpResponseStatus.OK.code());
            } else {
                finish(HttpResponseStatus.INSUFFICIENT_STORAGE.code());
            }
        }

        @Override
        public void refused(long delayNanos, boolean unanswered) {
            retryAfterNanos = Math.max(retryAfterNanos, delayNanos);
            // The decision module also refuses a read whose time has run out; report that as a timeout.
            boolean timedOut = unanswered || isTimeUp.test(arrival);
            finish((timedOut ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.TOO_MANY_REQUESTS).code());
        }

        @Override
        public void failed(int finalStatus) {
            finish(isTimeUp.test(arrival) ? HttpResponseStatus.GATEWAY_TIMEOUT.code() : finalStatus);
        }

        private void finish(int finalStatus) {
            status = finalStatus;
            partial |= finalStatus != HttpResponseStatus.OK.code();
            if (--pendingCount == 0) {
                onComplete.accept(Batch.this);
            }
        }
    }

    private final ResponseByteBudget byteBudget;
    private final Predicate<RequestTable.ClientRequest> isTimeUp;
    private final Consumer<Batch> onComplete;
    private final List<BatchRequest> requests = new ArrayList<>();
    /** Number of requests without a final status. */
    private int pendingCount;

    private boolean partial;
    private long retryAfterNanos;
    private int reservedBytes;

    Batch(
            List<RequestTable.ClientRequest> arrivals,
            ResponseByteBudget byteBudget,
            Predicate<RequestTable.ClientRequest> isTimeUp,
            Consumer<Batch> onComplete) {
        this.byteBudget = byteBudget;
        this.isTimeUp = isTimeUp;
        this.onComplete = onComplete;
        arrivals.forEach(clientRequest -> requests.add(new BatchRequest(clientRequest)));
        // Set before any request is sent: the first may be final before the second is sent.
        pendingCount = requests.size();
    }

    /** Passes every request to the table, in order. */
    void send(RequestTable table) {
        for (BatchRequest request : requests) {
            request.requestNumber = table.take(request.arrival, request);
        }
    }

    /** Abandons all requests, after the client has disconnected. */
    void abandon(RequestTable table) {
        requests.forEach(request -> table.clientDisconnected(request.requestNumber));
        release();
    }

    /** Returns whether any request ended with a status other than 200. */
    boolean partial() {
        return partial;
    }

    /** Returns the longest retry delay of the refused requests; 0 if none had one. */
    long retryAfterNanos() {
        return retryAfterNanos;
    }

    /** Returns the response body: for each request its id, status and body length on one line, then the body. */
    ByteBuf responseBody() {
        ByteBuf[] buffers = new ByteBuf[requests.size() * 3];
        int index = 0;
        for (BatchRequest request : requests) {
            String header = request.arrival.upstream().requestId() + " " + request.status + " " + request.body.length;
            buffers[index++] = Unpooled.copiedBuffer(header + "\n", StandardCharsets.US_ASCII);
            buffers[index++] = Unpooled.wrappedBuffer(request.body);
            buffers[index++] = Unpooled.copiedBuffer("\n", StandardCharsets.US_ASCII);
        }
        return Unpooled.wrappedBuffer(buffers.length, buffers);
    }

    /** Returns the bytes of all bodies to the budget. */
    void release() {
        byteBudget.release(reservedBytes);
        reservedBytes = 0;
    }
}
