package burlarch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;

/** Handles the requests received on one of the client ports. Called on the event loop's thread. */
public interface RequestHandler {
    /** Sends the response to one request. Exactly one of the methods is called, exactly once. */
    interface Reply extends RequestTable.ResponseHandler {
        /** Answers 200 with headers and a body specific to the port; the future completes when it has been written. */
        ChannelFuture answer(HttpHeaders headers, ByteBuf body);
    }

    /** A client port; supplies the handler for each of its connections. */
    interface Port {
        /** Adds the port's own channel handlers, such as TLS, to a new connection; returns its request handler. */
        RequestHandler open(Channel channel);
    }

    /** The HTTP methods that the port supports, for the Allow header of a 405 response. */
    String allowedMethods();

    /**
     * Handles one request. The caller owns the request and releases it after the call. The reply may be sent
     * during the call or later.
     *
     * @param readNanos when the request was read; its timeout counts from then, even if it waited in a pipeline
     * @return abandons the request; called if the client disconnects before the reply
     * @throws Rejection if the request is invalid; no reply has been sent then
     */
    Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection;
}
