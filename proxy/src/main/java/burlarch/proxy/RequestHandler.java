package burlarch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;

/** Takes what comes on one of the clients' ports, on the loop. */
public interface RequestHandler {
    /** The client's side of one request: exactly one of its calls is made, and only once. */
    interface Reply extends RequestTable.Exchange {
        /** Answers 200 with a body of the port's own; the future tells when it has been written. */
        ChannelFuture answer(HttpHeaders headers, ByteBuf body);
    }

    /** One of the clients' ports. */
    interface Port {
        /** Puts what the port has there before a new connection's HTTP; returns who takes its requests. */
        RequestHandler open(Channel channel);
    }

    /** The methods that the port takes, for the answer 405. */
    String allow();

    /**
     * The request is the caller's and holds only for the call. The reply may be made within it.
     *
     * @param readNanos when it was read: its time runs from there, not from its turn behind another
     * @return gives the request up, for a client that leaves before the reply
     */
    Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection;
}
