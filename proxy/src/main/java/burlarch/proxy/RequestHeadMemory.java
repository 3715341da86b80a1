package burlarch.proxy;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/**
 * Heap memory that the heads and trailers of one connection's requests occupy, within the budget of all connections. A
 * header line counts with the objects that represent it: the shortest ones occupy forty times their length. Confined to
 * the event loop's thread.
 *
 * <p>Invariant <em>reserved before stored</em>: a line is stored only if the budget has room for it; it stays reserved
 * until the message is released or the connection is closed.
 */
final class RequestHeadMemory implements HttpHeadersFactory {
    /** The budget has no room for the rest of a head; the request was not handled. */
    static final class BudgetExceededException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        BudgetExceededException() {
            super("no memory for more request heads", null, false, false);
        }
    }

    /** Occupied by the heads of a connection with one ordinary request, at most. */
    private static final int ORDINARY_BYTES = 8 << 10;
    /** Room for the ordinary heads of all connections that the platform's descriptors allow. */
    private static final long MAX_ORDINARY_BYTES = 6L << 20;

    private static final long MAX_EXCESS_BYTES = 4L << 20;
    /** Objects of one header line, beside the characters of its name and value. */
    private static final int LINE_OVERHEAD_BYTES = 160;
    /** Objects of one request that waits for its turn, beside its lines. */
    private static final int MESSAGE_OVERHEAD_BYTES = 1024;

    private final BodyBudget budget;
    private int reservedBytes;
    private boolean closed;

    RequestHeadMemory(BodyBudget budget) {
        this.budget = budget;
    }

    /** The budget of all connections of one listener. */
    static BodyBudget newBudget() {
        return new BodyBudget(ORDINARY_BYTES, MAX_ORDINARY_BYTES, MAX_EXCESS_BYTES);
    }

    @Override
    public HttpHeaders newHeaders() {
        return new CountedHeaders();
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
        return new CountedHeaders();
    }

    /**
     * Reserves the memory of a request whose first line has been read.
     *
     * @param headers of the request, with which the memory is released
     * @throws BudgetExceededException if the budget has no room
     */
    void reserveMessage(HttpHeaders headers, String uri) {
        ((CountedHeaders) headers).reserve(MESSAGE_OVERHEAD_BYTES + uri.length());
    }

    /** Releases the memory of a head or of trailers, which were created by this factory or are empty. */
    void release(HttpHeaders headers) {
        if (headers instanceof CountedHeaders counted) {
            shrink(counted.bytes);
            counted.bytes = 0;
        }
    }

    /** Releases everything, as the connection is closed; nothing can be reserved any more. */
    void close() {
        closed = true;
        shrink(reservedBytes);
    }

    private void shrink(int bytes) {
        int released = Math.min(bytes, reservedBytes);
        int before = reservedBytes;
        reservedBytes -= released;
        budget.shrink(before, reservedBytes);
    }

    private void grow(int bytes) {
        if (closed || !budget.grow(reservedBytes, reservedBytes + bytes)) {
            throw new BudgetExceededException();
        }
        reservedBytes += bytes;
    }

    /** The lines of one head, or the trailers of one request. */
    private final class CountedHeaders extends DefaultHttpHeaders {
        private int bytes;

        void reserve(int addedBytes) {
            grow(addedBytes);
            bytes += addedBytes;
        }

        @Override
        public HttpHeaders add(CharSequence name, Object value) {
            reserve(LINE_OVERHEAD_BYTES + name.length() + value.toString().length());
            return super.add(name, value);
        }

        @Override
        public HttpHeaders add(String name, Object value) {
            return add((CharSequence) name, value);
        }
    }
}
