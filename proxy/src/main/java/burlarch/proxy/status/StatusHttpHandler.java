package burlarch.proxy.status;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Netty handler of one HTTP connection to the status page. It serves a single request, with time limits, and closes.
 */
final class StatusHttpHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final long REQUEST_TIMEOUT_MS = 2000;
    private static final long RESPONSE_TIMEOUT_MS = 5000;
    private static final byte[] EMPTY_BODY = {};

    private final Supplier<RenderedStatus> renderedStatus;
    private Future<?> timeoutTask;
    private boolean answered;

    StatusHttpHandler(Supplier<RenderedStatus> renderedStatus) {
        this.renderedStatus = renderedStatus;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        timeoutTask = context.executor()
                .schedule(
                        () -> answer(context, HttpResponseStatus.REQUEST_TIMEOUT, null, EMPTY_BODY),
                        REQUEST_TIMEOUT_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String path = request.uri().split("[?#]", 2)[0];
        if (request.decoderResult().isFailure()) {
            answer(context, HttpResponseStatus.BAD_REQUEST, null, EMPTY_BODY);
        } else if (!path.equals("/status") && !path.equals("/status.json")) {
            answer(context, HttpResponseStatus.NOT_FOUND, null, EMPTY_BODY);
        } else if (!request.method().equals(HttpMethod.GET)) {
            answer(context, HttpResponseStatus.METHOD_NOT_ALLOWED, null, EMPTY_BODY);
        } else if (path.equals("/status")) {
            answer(
                    context,
                    HttpResponseStatus.OK,
                    "text/html; charset=utf-8",
                    renderedStatus.get().html());
        } else {
            answer(
                    context,
                    HttpResponseStatus.OK,
                    "application/json",
                    renderedStatus.get().json());
        }
    }

    private void answer(ChannelHandlerContext context, HttpResponseStatus status, String contentType, byte[] body) {
        if (answered) {
            return;
        }
        answered = true;
        timeoutTask.cancel(false);
        timeoutTask = context.executor().schedule(() -> context.close(), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (contentType != null) {
            // The contents are outdated at once, so they must not be cached.
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, contentType)
                    .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
        }
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, "GET");
        }
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        timeoutTask.cancel(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
