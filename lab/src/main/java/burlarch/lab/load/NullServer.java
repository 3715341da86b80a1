package burlarch.lab.load;

import burlarch.standins.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * HTTP server that answers every request immediately with the same 200 response. Load measured against it shows
 * the generator's own limit. It accepts requests without a body and only looks for the end of each request head.
 */
public final class NullServer implements AutoCloseable {
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

    private final EventLoopGroup group;
    private final Channel listener;

    public NullServer(int threads) {
        this(threads, 0);
    }

    public NullServer(int threads, int port) {
        this(threads, port, null);
    }

    /** @param tls TLS context; null for plain-text connections */
    NullServer(int threads, int port, SslContext tls) {
        group = Transport.group(threads, "burlarch-null");
        listener = new ServerBootstrap()
                .group(group)
                .channel(Transport.server())
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (tls != null) {
                            channel.pipeline().addLast(tls.newHandler(channel.alloc()));
                        }
                        channel.pipeline().addLast(new ResponseHandler());
                    }
                })
                .bind("127.0.0.1", port)
                .syncUninterruptibly()
                .channel();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /**
     * Blocks the first event loop for the given time, like a garbage collection pause; meanwhile bytes wait in the
     * kernel.
     *
     * @return start and end of the stall, in nanoseconds of the monotonic clock
     */
    public Future<long[]> stall(long millis) {
        return group.next().submit(() -> {
            long startNanos = System.nanoTime();
            Thread.sleep(millis);
            return new long[] {startNanos, System.nanoTime()};
        });
    }

    private static final class ResponseHandler extends ChannelInboundHandlerAdapter {
        private int matchedTerminatorBytes;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf input = (ByteBuf) message;
            int requests = 0;
            while (input.isReadable()) {
                byte b = input.readByte();
                boolean matches = b == (matchedTerminatorBytes % 2 == 0 ? '\r' : '\n');
                matchedTerminatorBytes = matches ? matchedTerminatorBytes + 1 : b == '\r' ? 1 : 0;
                if (matchedTerminatorBytes == 4) {
                    matchedTerminatorBytes = 0;
                    requests++;
                }
            }
            input.release();
            for (int i = 0; i < requests; i++) {
                context.write(Unpooled.wrappedBuffer(RESPONSE), context.voidPromise());
            }
            if (requests > 0) {
                context.flush();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 500, TimeUnit.MILLISECONDS).awaitUninterruptibly(2000);
    }
}
