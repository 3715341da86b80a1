package burlarch.standins.fleet;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AttributeKey;
import java.util.function.Consumer;

/** A proxy's connection to a node, which carries one request at a time. Confined to the node's event loop. */
final class NodeConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final AttributeKey<NodeConnection> SELF = AttributeKey.valueOf("burlarch.node-connection");

    final Channel channel;
    private final NodeServer node;
    private final RequestProcessor processor;
    private final FleetPlan.ProxyPlan proxyPlan;
    private NodeRequest current;
    private long firstByteNanos;
    private long idleSinceNanos = System.nanoTime();
    private boolean isFirstRequest = true;

    NodeConnection(NodeServer node, Channel channel, FleetPlan.ProxyPlan proxyPlan) {
        this.node = node;
        this.processor = node.processor();
        this.channel = channel;
        this.proxyPlan = proxyPlan;
    }

    /** Installs the handlers in the channel's pipeline. */
    void install() {
        channel.attr(SELF).set(this);
        channel.pipeline()
                .addLast(
                        new ChannelInboundHandlerAdapter() {
                            @Override
                            public void channelRead(ChannelHandlerContext context, Object message) {
                                if (firstByteNanos == 0) {
                                    firstByteNanos = System.nanoTime();
                                }
                                context.fireChannelRead(message);
                            }
                        },
                        new HttpRequestDecoder(),
                        new HttpObjectAggregator(MAX_BODY_BYTES),
                        this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        long lastByteNanos = System.nanoTime();
        long requestFirstByteNanos = firstByteNanos;
        firstByteNanos = 0;
        HttpHeaders headers = request.headers();
        String id = headers.get("X-Request-ID");
        String[] path = request.uri().split("/");
        FleetPlan.RequestClass requestClass = path.length < 2 ? null : processor.requestClass(path[1]);
        boolean write = request.method().equals(HttpMethod.PUT);
        if (id == null
                || requestClass == null
                || request.decoderResult().isFailure()
                || !write && !request.method().equals(HttpMethod.GET)) {
            channel.writeAndFlush(HttpResponses.of(id == null ? "404 Not Found" : "400 Bad Request", "", new byte[0]));
            return;
        }
        String key = path[path.length - 1];
        current = new NodeRequest(
                channel,
                proxyPlan,
                id,
                requestClass.name(),
                key,
                write,
                headers.get("Idempotency-Key"),
                processor.costNanos(requestClass, id, key, write),
                requestFirstByteNanos,
                lastByteNanos);
        long delayNanos = processor.delayNanos(proxyPlan)
                + (isFirstRequest ? node.plan.kind().handshakeNanos() : 0);
        isFirstRequest = false;
        processor.receive(current, delayNanos);
    }

    /** Marks the connection of an ended request as free for the next one. */
    static void release(NodeRequest request) {
        NodeConnection connection = request.channel.attr(SELF).get();
        if (connection != null && connection.current == request) {
            connection.current = null;
            connection.idleSinceNanos = System.nanoTime();
        }
    }

    /** Processes the request that arrived while the node was hung or paused. */
    void resume() {
        if (current != null && !current.ended && current.isNew()) {
            processor.receive(current, 0);
        }
    }

    /** Applies an action to the request in flight, if any. */
    void endRequest(Consumer<NodeRequest> action) {
        if (current != null) {
            action.accept(current);
        }
    }

    /** Closes the connection if it has been idle for {@code afterNanos}. */
    void closeIfIdle(long nowNanos, long afterNanos) {
        if (current == null && firstByteNanos == 0 && nowNanos - idleSinceNanos >= afterNanos) {
            channel.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        node.closed(this);
        if (current != null) {
            processor.abandon(current);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
