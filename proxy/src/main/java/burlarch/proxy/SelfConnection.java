package burlarch.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;

/**
 * A TCP connection of a loopback socket with itself (RFC 9293, 3.5, simultaneous open): whatever is written
 * comes back. A true transport for the warm-up, which needs no listener and which nobody else can reach.
 * First in its pipeline, it passes on what its user plays the peer with and drops the pipeline's own bytes.
 */
final class SelfConnection extends ChannelDuplexHandler {
    /** Lengths of what is on its way: the pipeline's own as they are, the peer's negative. */
    private final ArrayDeque<Integer> onTheWay = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private boolean ownCame;
    private Runnable onOwn = () -> {};

    private SelfConnection() {}

    /** @return the channel once it is connected; it fails where the system does not let a socket do that */
    static Future<Channel> open(EventLoop loop) {
        Promise<Channel> opened = loop.newPromise();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SelfConnection());
                    }
                });
        ChannelFuture registered = bootstrap.register();
        registered.addListener(r -> registered.channel().bind(any).addListener((ChannelFuture bound) -> {
            Channel channel = bound.channel();
            // One that comes to nothing gives its descriptor back.
            opened.addListener(f -> {
                if (!f.isSuccess()) {
                    channel.close();
                }
            });
            if (!bound.isSuccess()) {
                opened.setFailure(bound.cause());
                return;
            }
            channel.connect(channel.localAddress()).addListener(connected -> {
                if (connected.isSuccess()) {
                    opened.setSuccess(channel);
                } else {
                    opened.setFailure(connected.cause());
                }
            });
        }));
        return opened;
    }

    static SelfConnection of(Channel channel) {
        return channel.pipeline().get(SelfConnection.class);
    }

    /** @param action on the loop, when all that the pipeline has written has come back */
    void onOwn(Runnable action) {
        onOwn = action;
    }

    /** Plays the peer: the pipeline reads these bytes. */
    void send(byte[] bytes) {
        onTheWay.add(-bytes.length);
        context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        int length = message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
        if (length > 0) {
            onTheWay.add(length);
        }
        ctx.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        try {
            while (in.isReadable() && !onTheWay.isEmpty()) {
                int next = onTheWay.poll();
                int length = Math.min(Math.abs(next), in.readableBytes());
                if (length < Math.abs(next)) {
                    onTheWay.addFirst(next - Integer.signum(next) * length);
                }
                if (next < 0) {
                    ctx.fireChannelRead(in.readRetainedSlice(length));
                } else {
                    in.skipBytes(length);
                    ownCame = true;
                }
            }
        } finally {
            in.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        if (ownCame && onTheWay.isEmpty()) {
            ownCame = false;
            onOwn.run();
        }
    }
}
