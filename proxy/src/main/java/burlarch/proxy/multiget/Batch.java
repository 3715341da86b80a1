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

/** The lines of one multi-get: sent at once, answered together when the last of them is final. */
final class Batch {
    private static final byte[] NO_BODY = {};

    private final class Part implements RequestTable.Exchange {
        final RequestTable.Arrival arrival;
        long number;
        int status;
        byte[] body = NO_BODY;

        Part(RequestTable.Arrival arrival) {
            this.arrival = arrival;
        }

        @Override
        public void served(byte[] value, String contentType) {
            if (bytes.take(value.length)) {
                body = value;
                heldBytes += value.length;
                end(HttpResponseStatus.OK.code());
            } else {
                end(HttpResponseStatus.INSUFFICIENT_STORAGE.code());
            }
        }

        @Override
        public void refused(long nanos, boolean unanswered) {
            retryAfterNanos = Math.max(retryAfterNanos, nanos);
            // A refusal is also the module's word for a read that has run out of time; here it is told apart.
            boolean late = unanswered || timeIsUp.test(arrival);
            end((late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.TOO_MANY_REQUESTS).code());
        }

        @Override
        public void failed(int code) {
            end(timeIsUp.test(arrival) ? HttpResponseStatus.GATEWAY_TIMEOUT.code() : code);
        }

        private void end(int code) {
            status = code;
            partial |= code != HttpResponseStatus.OK.code();
            if (--open == 0) {
                whenFinal.accept(Batch.this);
            }
        }
    }

    private final AnswerBytes bytes;
    private final Predicate<RequestTable.Arrival> timeIsUp;
    private final Consumer<Batch> whenFinal;
    private final List<Part> parts = new ArrayList<>();
    /** Lines that are not final. */
    private int open;

    private boolean partial;
    private long retryAfterNanos;
    private int heldBytes;

    Batch(
            List<RequestTable.Arrival> arrivals,
            AnswerBytes bytes,
            Predicate<RequestTable.Arrival> timeIsUp,
            Consumer<Batch> whenFinal) {
        this.bytes = bytes;
        this.timeIsUp = timeIsUp;
        this.whenFinal = whenFinal;
        arrivals.forEach(arrival -> parts.add(new Part(arrival)));
        // Before any goes out: the first may be final before the second is sent.
        open = parts.size();
    }

    void send(RequestTable table) {
        for (Part part : parts) {
            part.number = table.take(part.arrival, part);
        }
    }

    /** The client has left: nothing is owed for any line. */
    void leave(RequestTable table) {
        parts.forEach(part -> table.gone(part.number));
        release();
    }

    /** Whether a line was not served. */
    boolean partial() {
        return partial;
    }

    /** The longest advice that a refused line came with, or 0. */
    long retryAfterNanos() {
        return retryAfterNanos;
    }

    ByteBuf answer() {
        ByteBuf[] pieces = new ByteBuf[parts.size() * 3];
        int at = 0;
        for (Part part : parts) {
            String head = part.arrival.upstream().requestId() + " " + part.status + " " + part.body.length;
            pieces[at++] = Unpooled.copiedBuffer(head + "\n", StandardCharsets.US_ASCII);
            pieces[at++] = Unpooled.wrappedBuffer(part.body);
            pieces[at++] = Unpooled.copiedBuffer("\n", StandardCharsets.US_ASCII);
        }
        return Unpooled.wrappedBuffer(pieces.length, pieces);
    }

    /** The bodies are held no more. */
    void release() {
        bytes.release(heldBytes);
        heldBytes = 0;
    }
}
