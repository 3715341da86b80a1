package burlarch.controller.api;

import burlarch.controller.error.ControlException;
import burlarch.controller.error.ErrorKind;
import java.util.Optional;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Request handler that redirects each call with 307 to the same path at another control address, or responds with 503
 * if none is known. It reads and discards the body first, because closing a connection with unread data resets it, and
 * the caller might never receive the response.
 */
final class RedirectHandler extends ControlCallHandler {
    private final Supplier<Optional<String>> target;

    /**
     * @param target supplies the control address, IP:PORT, for one call, or empty if none is known; called on any
     *     thread
     */
    RedirectHandler(Supplier<Optional<String>> target) {
        this.target = target;
    }

    @Override
    void dispatch(Request request, ControlExchange exchange) {
        if (request.getLength() > RequestBodyLimits.MAX_CONFIGURATION_BYTES) {
            throw new ControlException(ErrorKind.TOO_LARGE);
        }
        new BodyDiscarder(request, exchange).run();
    }

    private void redirect(Request request, ControlExchange exchange) {
        HttpURI uri = request.getHttpURI();
        Optional<String> address = target.get();
        if (address.isPresent()) {
            exchange.redirect("http://" + address.get() + uri.getPathQuery());
        } else {
            exchange.fail(new ControlException(ErrorKind.NO_QUORUM));
        }
    }

    /** Reads and discards a body, then responds. Jetty runs it again whenever more of the body has arrived. */
    private final class BodyDiscarder implements Runnable {
        private final Request request;
        private final ControlExchange exchange;
        private long remainingBytes = RequestBodyLimits.MAX_CONFIGURATION_BYTES;

        BodyDiscarder(Request request, ControlExchange exchange) {
            this.request = request;
            this.exchange = exchange;
        }

        @Override
        public void run() {
            while (true) {
                Content.Chunk chunk = request.read();
                if (chunk == null) {
                    request.demand(this);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    exchange.fail(new ControlException(ErrorKind.BROKEN_OFF));
                    return;
                }
                remainingBytes -= chunk.remaining();
                chunk.release();
                if (remainingBytes < 0) {
                    exchange.fail(new ControlException(ErrorKind.TOO_LARGE));
                    return;
                }
                if (chunk.isLast()) {
                    redirect(request, exchange);
                    return;
                }
            }
        }
    }
}
