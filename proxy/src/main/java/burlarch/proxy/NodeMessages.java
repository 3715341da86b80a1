package burlarch.proxy;

import burlarch.decisions.Api.Outcome;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Builds HTTP requests to nodes and interprets the responses. */
final class NodeMessages {
    private NodeMessages() {}

    /** @param remainingNanos how long the proxy will wait for the response */
    static FullHttpRequest request(UpstreamRequest request, InetSocketAddress address, long remainingNanos) {
        FullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), Unpooled.wrappedBuffer(request.body()));
        message.headers()
                .set(HttpHeaderNames.HOST, hostHeader(address))
                .set(Headers.REQUEST_ID, request.requestId())
                .set(Headers.TIMEOUT_MS, Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
        if (request.idempotencyKey() != null) {
            message.headers().set(Headers.IDEMPOTENCY_KEY, request.idempotencyKey());
        }
        if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        }
        return message;
    }

    /**
     * The outcome of an attempt that got this response. Only 404, and 503 or 504 with X-Not-Processed, prove that
     * the request never ran.
     *
     * @param firstOnConnection whether this is the first response on its connection; if it is a refusal that
     *     also closes the connection, the node has refused the connection itself
     */
    static Outcome outcome(FullHttpResponse response, boolean firstOnConnection) {
        return switch (response.status().code()) {
            case 200 -> Outcome.GOOD;
            case 404 -> Outcome.MISS;
            case 503, 504 -> "1".equals(response.headers().get(Headers.NOT_PROCESSED))
                    ? firstOnConnection && !HttpUtil.isKeepAlive(response) ? Outcome.CROWDED : Outcome.FULL
                    : Outcome.BAD;
            default -> Outcome.BAD;
        };
    }

    /** The value of the Host header for this address. */
    static String hostHeader(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
