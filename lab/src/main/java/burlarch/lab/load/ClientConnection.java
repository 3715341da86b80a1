package burlarch.lab.load;

import burlarch.lab.load.LoadStatistics.Outcome;
import burlarch.standins.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.util.function.LongSupplier;

/** A client connection to a proxy that carries one exchange at a time. Confined to its event loop. */
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Opens the connections of one event loop. */
    static final class Factory {
        private static final int CONNECT_TIMEOUT_MS = 2000;

        private final Bootstrap bootstrap;
        private final SslContext tls;
        private final RequestEncoder encoder;
        private final LongSupplier clock;
        private final LoadStatistics statistics;

        /** @param tls TLS context; null for plain-text connections */
        Factory(EventLoop loop, SslContext tls, RequestEncoder encoder, LongSupplier clock, LoadStatistics statistics) {
            this.bootstrap = new Bootstrap()
                    .group(loop)
                    .channel(Transport.client())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
            this.tls = tls;
            this.encoder = encoder;
            this.clock = clock;
            this.statistics = statistics;
        }

        /** Opens a connection and reports success or failure to the pool. */
        void connect(ConnectionPool pool) {
            statistics.connects++;
            ClientConnection connection = new ClientConnection(pool, encoder, clock);
            bootstrap
                    .clone()
                    .handler(initializer(connection))
                    .connect(pool.target.address())
                    .addListener((ChannelFuture connectFuture) -> onConnectFinished(connectFuture, connection));
        }

        private ChannelInitializer<Channel> initializer(ClientConnection connection) {
            return new ChannelInitializer<>() {
                @Override
                protected void initChannel(Channel channel) {
                    if (tls != null) {
                        channel.pipeline().addLast(tls.newHandler(channel.alloc()));
                    }
                    channel.pipeline().addLast(connection);
                }
            };
        }

        private void onConnectFinished(ChannelFuture connectFuture, ClientConnection connection) {
            ConnectionPool pool = connection.pool;
            if (!connectFuture.isSuccess()) {
                pool.connectFailed();
            } else if (tls == null) {
                pool.connected(connection);
            } else {
                SslHandler handler = connectFuture.channel().pipeline().get(SslHandler.class);
                handler.handshakeFuture().addListener(handshakeResult -> {
                    if (handshakeResult.isSuccess()) {
                        pool.connected(connection);
                    } else {
                        pool.handshakeFailed();
                    }
                });
            }
        }
    }

    private final ConnectionPool pool;
    private final RequestEncoder encoder;
    private final LongSupplier clock;
    private final ResponseParser parser = new ResponseParser();
    private Channel channel;
    /** Exchange in flight; null while the connection is idle. */
    private Exchange exchange;

    private Exchange lastExchange;
    private int responses;

    private ClientConnection(ConnectionPool pool, RequestEncoder encoder, LongSupplier clock) {
        this.pool = pool;
        this.encoder = encoder;
        this.clock = clock;
    }

    boolean isActive() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    void send(Exchange next) {
        exchange = next;
        next.connection = this;
        parser.reset(next.needsBody());
        next.onSent(clock.getAsLong());
        channel.writeAndFlush(next.encode(encoder, channel.alloc()), channel.voidPromise());
    }

    /** Removes a completed exchange from this connection, which no longer expects a response for it. */
    void detach(Exchange completed) {
        if (exchange == completed) {
            exchange = null;
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf input = (ByteBuf) message;
        try {
            read(input);
        } finally {
            input.release();
        }
    }

    private void read(ByteBuf input) {
        while (input.isReadable()) {
            if (exchange == null) {
                handleUnrequestedBytes();
                return;
            }
            ResponseParser.State state = parser.read(input);
            if (state == ResponseParser.State.BROKEN) {
                exchange.fail(Outcome.LOST);
                channel.close();
                return;
            }
            if (state == ResponseParser.State.DONE) {
                completeExchange();
            }
        }
    }

    private void completeExchange() {
        responses++;
        lastExchange = exchange;
        exchange.onResponse(parser);
        if (parser.close) {
            channel.close();
        } else if (exchange == null) {
            pool.release(this);
        }
    }

    /** Handles bytes that no request waits for: they count as a second response to the previous request. */
    private void handleUnrequestedBytes() {
        if (lastExchange != null) {
            lastExchange.onExtraResponse();
        }
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        pool.onClosed(this);
        Exchange interrupted = exchange;
        if (interrupted != null && !interrupted.isComplete()) {
            if (mayResend(interrupted)) {
                interrupted.resent = true;
                interrupted.connection = null;
                exchange = null;
                pool.dispatch(interrupted);
            } else {
                interrupted.fail(Outcome.LOST);
            }
        }
        pool.reconnectForWaiting();
    }

    /**
     * Whether to resend: allowed once, where the proxy closed a kept-alive connection while the request was being
     * sent.
     */
    private boolean mayResend(Exchange interrupted) {
        return responses > 0 && !parser.receivedBytes && !interrupted.resent;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        channel.close();
    }
}
