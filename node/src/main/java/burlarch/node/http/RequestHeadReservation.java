package burlarch.node.http;

import org.eclipse.jetty.http.HttpField;

/**
 * The heap memory that the head and the trailers of one request occupy, reserved in the budget of all heads. A line
 * counts with the objects that represent it and the elements of a list that it may hold, which are many times its
 * length for the shortest ones.
 *
 * <p>Thread-safe: a request may end on another thread while its trailers are being read.
 */
final class RequestHeadReservation {
    /** Objects of one request, beside its lines. */
    private static final int MESSAGE_OVERHEAD_BYTES = 1024;
    /** Copies of the target that a request keeps: complete, path, decoded path and query. */
    private static final int COPIES_OF_TARGET = 4;
    /** Objects of one line, beside the characters of its name and value. */
    private static final int LINE_OVERHEAD_BYTES = 160;
    /** Objects of one element of a list, such as a connection option or a prompt segment. */
    private static final int ELEMENT_OVERHEAD_BYTES = 112;

    private final RequestMemoryBudget budget;
    private long reservedBytes;
    private boolean released;

    RequestHeadReservation(RequestMemoryBudget budget) {
        this.budget = budget;
    }

    /** Reserves the memory of the request and its target; returns false if the budget has no room. */
    boolean reserveMessage(String target) {
        int targetBytes = target == null ? 0 : COPIES_OF_TARGET * target.length();
        return reserve(MESSAGE_OVERHEAD_BYTES + targetBytes);
    }

    /** Reserves the memory of one more line; returns false if the budget has no room. */
    boolean reserveLine(HttpField field) {
        String value = field.getValue();
        long bytes = LINE_OVERHEAD_BYTES + field.getName().length();
        if (value != null) {
            bytes += value.length() + (long) ELEMENT_OVERHEAD_BYTES * commas(value);
        }
        return reserve(bytes);
    }

    private static int commas(String value) {
        int commas = 0;
        for (int i = value.indexOf(','); i >= 0; i = value.indexOf(',', i + 1)) {
            commas++;
        }
        return commas;
    }

    private synchronized boolean reserve(long bytes) {
        if (released || !budget.tryReserve(bytes, reservedBytes + bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Releases the memory; nothing can be reserved any more. Further calls change nothing. */
    synchronized void release() {
        released = true;
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
