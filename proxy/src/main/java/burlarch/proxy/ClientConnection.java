package burlarch.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * One client's HTTP/1.1 connection. Handles one request at a time and answers pipelined requests in the order
 * in which they were received. Confined to the event loop's thread.
 */
final class ClientConnection extends SimpleChannelInboundHandler<Object> implements RequestHandler.Reply {
    /** Requests that may wait in the pipeline before reading is paused. */
    private static final int MAX_PIPELINED_REQUESTS = 64;
    /**
     * How long a request may wait while reading is paused. Meanwhile a client's disconnect is not noticed, so a
     * request that has waited longer is answered 429 instead of being started.
     */
    private static final long MAX_WAIT_WHILE_PAUSED_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** How long a client may take to read its response. */
    private static final long RESPONSE_WRITE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** How long the first request of a connection, or the rest of a partially received one, may take to arrive. */
    static final long REQUEST_READ_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** State of a connection; the first ones are closed first when a new connection needs room. */
    enum Activity {
        /** No request has been received yet. */
        NO_REQUEST_YET,
        /** All requests have been answered. */
        IDLE,
        /** Part of a request has been received. */
        RECEIVING,
        /** A request or its response is in progress, or the connection is being closed. */
        BUSY
    }

    /** A request, or the {@link Rejection} that replaces it, and when it was read. */
    private record ReceivedMessage(Object message, long readNanos) {}

    private final ClientListener listener;
    private final RequestHandler handler;
    private final ProxyClock clock;
    private final Channel channel;
    private final RequestDecoder decoder;
    private final RequestCollector bodyCollector;
    private final BodyBudget requestBudget;
    private final RequestHeadMemory headMemory;
    /** Messages received while an earlier request was not yet answered. */
    private final ArrayDeque<ReceivedMessage> pipelined = new ArrayDeque<>(0);
    /** When the connection was opened or last sent a response. */
    private long idleSinceNanos;
    /** When reading was last paused. */
    private long readPausedNanos = Long.MIN_VALUE;

    private boolean hasReceivedRequest;
    /** Whether a request is being handled and its response has not been written yet. */
    private boolean busy;
    /** Whether a response is being written; the next request starts when the write is complete. */
    private boolean writing;

    private boolean keepAlive;
    private boolean closing;
    /** Abandons the current request; null while there is none. */
    private Runnable abandonRequest;

    ClientConnection(
            ClientListener listener,
            RequestHandler handler,
            ProxyClock clock,
            Channel channel,
            RequestDecoder decoder,
            RequestCollector bodyCollector,
            BodyBudget requestBudget,
            RequestHeadMemory headMemory) {
        super(false);
        this.listener = listener;
        this.handler = handler;
        this.clock = clock;
        this.channel = channel;
        this.decoder = decoder;
        this.bodyCollector = bodyCollector;
        this.requestBudget = requestBudget;
        this.headMemory = headMemory;
        this.idleSinceNanos = clock.nowNanos();
    }

    Activity activity() {
        if (busy || writing || closing || !pipelined.isEmpty()) {
            return Activity.BUSY;
        }
        if (bodyCollector.inBody() || decoder.partialSinceNanos(0) != 0) {
            return Activity.RECEIVING;
        }
        return hasReceivedRequest ? Activity.IDLE : Activity.NO_REQUEST_YET;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    /** Closes a connection that has no open request. */
    void closeUnused() {
        closing = true;
        channel.close();
    }

    /**
     * Answers 408 and closes if the first request, or the rest of a partially received one, is overdue; closes
     * if the client has not read its response in time.
     */
    void closeIfOverdue(long nowNanos) {
        if (writing && nowNanos - idleSinceNanos >= RESPONSE_WRITE_TIMEOUT_NANOS) {
            channel.close();
            return;
        }
        Activity activity = activity();
        if (activity == Activity.BUSY || activity == Activity.IDLE) {
            return;
        }
        // Not before the previous response: a part that arrived earlier had to wait for it.
        long sinceNanos = hasReceivedRequest
                ? Math.max(idleSinceNanos, decoder.partialSinceNanos(idleSinceNanos))
                : idleSinceNanos;
        if (nowNanos - sinceNanos >= REQUEST_READ_TIMEOUT_NANOS) {
            busy = true;
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
        if (closing) {
            releaseMessage(message);
            return;
        }
        hasReceivedRequest = true;
        pipelined.add(new ReceivedMessage(message, clock.nowNanos()));
        if (pipelined.size() >= MAX_PIPELINED_REQUESTS) {
            readPausedNanos = clock.nowNanos();
            channel.config().setAutoRead(false);
        }
        handleNext();
    }

    private void releaseMessage(Object message) {
        if (message instanceof FullHttpRequest request) {
            requestBudget.release(request.content().readableBytes());
            headMemory.release(request.headers());
            headMemory.release(request.trailingHeaders());
            request.release();
        }
    }

    private void handleNext() {
        while (!busy && !writing && !closing && !pipelined.isEmpty()) {
            ReceivedMessage received = pipelined.poll();
            Object message = received.message;
            busy = true;
            try {
                if (message instanceof Rejection rejection) {
                    reject(rejection.status);
                } else if (received.readNanos <= readPausedNanos
                        && clock.nowNanos() - received.readNanos > MAX_WAIT_WHILE_PAUSED_NANOS) {
                    keepAlive = HttpUtil.isKeepAlive((FullHttpRequest) message);
                    refused(0, false);
                } else {
                    handle((FullHttpRequest) message, received.readNanos);
                }
            } catch (RuntimeException e) {
                Log.line("handling of a request failed: " + e);
                failed(HttpResponseStatus.INTERNAL_SERVER_ERROR.code());
            } finally {
                releaseMessage(message);
            }
        }
        if (!closing && pipelined.size() < MAX_PIPELINED_REQUESTS) {
            channel.config().setAutoRead(true);
        }
    }

    private void handle(FullHttpRequest request, long readNanos) {
        keepAlive = HttpUtil.isKeepAlive(request);
        try {
            RequestReader.checkFraming(request);
            if (request.uri().equals("/_health")) {
                boolean isGet = request.method().equals(HttpMethod.GET);
                failed(!isGet ? HttpResponseStatus.METHOD_NOT_ALLOWED.code() : listener.acceptsRequests() ? 200 : 503);
                return;
            }
            Runnable abandon = handler.handle(request, readNanos, this);
            abandonRequest = busy ? abandon : null;
        } catch (Rejection e) {
            reject(e.status);
        }
    }

    /** Answers and closes the connection: a client that sends invalid requests could repeat them without pause. */
    private void reject(HttpResponseStatus status) {
        keepAlive = false;
        failed(status.code());
    }

    @Override
    public void served(byte[] body, String contentType) {
        FullHttpResponse response = newResponse(HttpResponseStatus.OK, Unpooled.wrappedBuffer(body));
        if (contentType != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        writeResponse(response);
    }

    @Override
    public void refused(long retryAfterNanos, boolean unanswered) {
        FullHttpResponse response = newResponse(HttpResponseStatus.TOO_MANY_REQUESTS, Unpooled.EMPTY_BUFFER);
        if (retryAfterNanos > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, Headers.formatSeconds(retryAfterNanos));
        }
        writeResponse(response);
    }

    @Override
    public void failed(int status) {
        FullHttpResponse response = newResponse(HttpResponseStatus.valueOf(status), Unpooled.EMPTY_BUFFER);
        if (status == HttpResponseStatus.METHOD_NOT_ALLOWED.code()) {
            response.headers().set(HttpHeaderNames.ALLOW, handler.allowedMethods());
        }
        writeResponse(response);
    }

    private FullHttpResponse newResponse(HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (closesAfterResponse()) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }

    /**
     * Whether the connection is closed after the current response. At the end of a drain, requests that were
     * received are still answered, so only the response to the last of them closes it.
     */
    private boolean closesAfterResponse() {
        return !keepAlive || listener.closingConnections() && pipelined.isEmpty();
    }

    @Override
    public ChannelFuture answer(HttpHeaders headers, ByteBuf body) {
        FullHttpResponse response = newResponse(HttpResponseStatus.OK, body);
        response.headers().add(headers);
        return writeResponse(response);
    }

    private ChannelFuture writeResponse(FullHttpResponse response) {
        closing |= closesAfterResponse();
        busy = false;
        writing = true;
        abandonRequest = null;
        idleSinceNanos = clock.nowNanos();
        if (closing) {
            channel.config().setAutoRead(false);
        }
        int bytes = response.content().readableBytes();
        listener.responseBudget().take(bytes);
        return channel.writeAndFlush(response).addListener(future -> {
            listener.responseBudget().release(bytes);
            onWritten(future.isSuccess());
        });
    }

    private void onWritten(boolean success) {
        writing = false;
        idleSinceNanos = clock.nowNanos();
        if (closing || !success) {
            channel.close();
        } else if (!pipelined.isEmpty()) {
            channel.eventLoop().execute(this::handleNext);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.onClosed(this);
        closing = true;
        pipelined.forEach(received -> releaseMessage(received.message));
        pipelined.clear();
        headMemory.close();
        if (abandonRequest != null) {
            abandonRequest.run();
            abandonRequest = null;
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A connection closed or reset by its client is not a fault of the proxy. Other errors may lose a request.
        if (!(cause instanceof IOException) && channel.isActive()) {
            Log.line("client connection failed: " + cause);
        }
        channel.close();
    }
}
