package burlarch.proxy;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Rejection of an invalid client request, with the HTTP status to answer. It passes through the channel pipeline
 * in place of the request, so that it is answered after the requests received before it.
 */
public final class Rejection extends Exception {
    private static final long serialVersionUID = 1L;

    /** Status of the response. */
    public final transient HttpResponseStatus status;

    /** Creates a rejection without a stack trace. */
    public Rejection(HttpResponseStatus status) {
        super(status.toString(), null, false, false);
        this.status = status;
    }
}
