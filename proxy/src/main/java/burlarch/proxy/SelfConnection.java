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
 * Channel handler for a loopback TCP socket that is connected to itself (RFC 9293, 3.5, simultaneous open), so
 * that everything written to it is read back. It gives the warm-up a real transport that needs no listener and
 * that no other process can reach. As the first handler of its pipeline, it passes on the bytes that
 * {@link #send} writes in the role of the peer, and drops the bytes that the pipeline itself has written.
 */
final class SelfConnection extends ChannelDuplexHandler {
    /** Lengths of the writes that have not been read back: positive for the pipeline's, negative for the peer's. */
    private final ArrayDeque<Integer> unreadWrites = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private boolean ownBytesRead;
    private Runnable onOwnBytesRead = () -> {};

    private SelfConnection() {}

    /**
     * Connects a socket to itself.
     *
     * @return the channel once it is connected; fails if the system does not let a socket connect to itself
     */
    static Future<Channel> open(EventLoop loop) {
        Promise<Channel> opened = loop.newPromise();
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
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
        registered.addListener(
                registration -> registered.channel().bind(anyPort).addListener((ChannelFuture bound) -> {
                    Channel channel = bound.channel();
                    // A channel that cannot be connected has to release its file descriptor.
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

    /** The handler in the pipeline of a channel that {@link #open} returned. */
    static SelfConnection of(Channel channel) {
        return channel.pipeline().get(SelfConnection.class);
    }

    /** @param action runs on the event loop each time that all bytes written by the pipeline have been read back */
    void onOwnBytesRead(Runnable action) {
        onOwnBytesRead = action;
    }

    /** Writes bytes in the role of the peer: the pipeline reads them. */
    void send(byte[] bytes) {
        unreadWrites.add(-bytes.length);
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
            unreadWrites.add(length);
        }
        ctx.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf input = (ByteBuf) message;
        try {
            while (input.isReadable() && !unreadWrites.isEmpty()) {
                int unread = unreadWrites.poll();
                int length = Math.min(Math.abs(unread), input.readableBytes());
                if (length < Math.abs(unread)) {
                    unreadWrites.addFirst(unread - Integer.signum(unread) * length);
                }
                if (unread < 0) {
                    ctx.fireChannelRead(input.readRetainedSlice(length));
                } else {
                    input.skipBytes(length);
                    ownBytesRead = true;
                }
            }
        } finally {
            input.release();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        if (ownBytesRead && unreadWrites.isEmpty()) {
            ownBytesRead = false;
            onOwnBytesRead.run();
        }
    }
}
