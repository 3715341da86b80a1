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

/** One reader of the status page: one request, one answer, each within its time. */
final class StatusConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final long ASK_MOST_MS = 2000;
    private static final long READ_MOST_MS = 5000;
    private static final byte[] NOTHING = {};

    private final Supplier<Pages> pages;
    private Future<?> limit;
    private boolean answered;

    StatusConnection(Supplier<Pages> pages) {
        this.pages = pages;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        limit = context.executor()
                .schedule(
                        () -> answer(context, HttpResponseStatus.REQUEST_TIMEOUT, null, NOTHING),
                        ASK_MOST_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        String path = request.uri().split("[?#]", 2)[0];
        if (request.decoderResult().isFailure()) {
            answer(context, HttpResponseStatus.BAD_REQUEST, null, NOTHING);
        } else if (!path.equals("/status") && !path.equals("/status.json")) {
            answer(context, HttpResponseStatus.NOT_FOUND, null, NOTHING);
        } else if (!request.method().equals(HttpMethod.GET)) {
            answer(context, HttpResponseStatus.METHOD_NOT_ALLOWED, null, NOTHING);
        } else if (path.equals("/status")) {
            answer(
                    context,
                    HttpResponseStatus.OK,
                    "text/html; charset=utf-8",
                    pages.get().html());
        } else {
            answer(
                    context,
                    HttpResponseStatus.OK,
                    "application/json",
                    pages.get().json());
        }
    }

    private void answer(ChannelHandlerContext context, HttpResponseStatus status, String type, byte[] body) {
        if (answered) {
            return;
        }
        answered = true;
        limit.cancel(false);
        limit = context.executor().schedule(() -> context.close(), READ_MOST_MS, TimeUnit.MILLISECONDS);
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (type != null) {
            // A page of a moment ago is of no use.
            response.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, type)
                    .set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_STORE);
        }
        if (status.equals(HttpResponseStatus.METHOD_NOT_ALLOWED)) {
            response.headers().set(HttpHeaderNames.ALLOW, "GET");
        }
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        limit.cancel(false);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
