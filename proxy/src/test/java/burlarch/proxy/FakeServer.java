package burlarch.proxy;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Fake HTTP server on a loopback port, in the role of a node or of discovery, whose responses the test sends. */
public final class FakeServer implements AutoCloseable {
    private static final EventLoopGroup GROUP = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private static final long RECEIVE_TIMEOUT_SECONDS = 20;

    public final AtomicInteger connections = new AtomicInteger();
    private final BlockingQueue<Received> queue = new LinkedBlockingQueue<>();
    private final Channel listener;
    private volatile Consumer<Received> requestHandler = queue::add;

    /** A received request, with methods to respond to it. */
    public static final class Received {
        final Channel channel;
        public final String method;
        public final String uri;
        public final HttpHeaders headers;
        public final String body;

        Received(Channel channel, FullHttpRequest request) {
            this.channel = channel;
            this.method = request.method().name();
            this.uri = request.uri();
            this.headers = request.headers().copy();
            this.body = request.content().toString(StandardCharsets.UTF_8);
        }

        /** Sends a response with a Content-Length header. {@code headers} are whole lines without line ends. */
        public void answer(String status, String body, String... headers) {
            StringBuilder text = new StringBuilder("HTTP/1.1 ").append(status).append("\r\n");
            for (String header : headers) {
                text.append(header).append("\r\n");
            }
            write(text + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Writes raw text to the connection; fails if the connection is closed. */
        public void write(String text) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                    .syncUninterruptibly();
        }

        /** As {@link #write}, but does not fail if the peer has closed the connection. */
        public void writeIfOpen(String text) {
            channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                    .awaitUninterruptibly();
        }

        /** Closes the connection with a TCP reset. */
        public void reset() {
            ((SocketChannel) channel).config().setSoLinger(0);
            channel.close().syncUninterruptibly();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            requestHandler.accept(new Received(context.channel(), request));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    public FakeServer() {
        listener = new ServerBootstrap()
                .group(GROUP)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.incrementAndGet();
                        channel.pipeline()
                                .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(2 << 20), new Receiver());
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    public String hostPort() {
        return "127.0.0.1:" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** From now on sends this response to each request, and queues none. {@code headers} end with CRLF each. */
    public void answerWith(String status, String body, String... headers) {
        requestHandler = request -> request.channel
                .eventLoop()
                .execute(() -> request.channel.writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 " + status + "\r\n" + String.join("", headers) + "Content-Length: " + body.length()
                                + "\r\n\r\n" + body,
                        StandardCharsets.UTF_8)));
    }

    /** From now on resets the connection of each request, and queues none. */
    public void resetAll() {
        requestHandler = request -> request.channel.eventLoop().execute(request::reset);
    }

    /** Waits for the next request; fails the test if there is none in time. */
    public Received next() throws InterruptedException {
        Received request = queue.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(request, "no request was received in time");
        return request;
    }

    /** The next request, if there is one within a few milliseconds. */
    public Optional<Received> poll() {
        try {
            return Optional.ofNullable(queue.poll(5, TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Whether no request waits to be taken with {@link #next}. */
    public boolean hasNoRequests() {
        return queue.isEmpty();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }
}
