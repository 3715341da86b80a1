package burlarch.standins.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The Netty transport that all stand-ins and the load generator use: NIO, whose selector sleeps for whole
 * milliseconds, so that a timer of an otherwise idle event loop fires up to 1 ms late.
 */
public final class Transport {
    private Transport() {}

    /** Creates event loops on daemon threads with this name prefix. */
    public static EventLoopGroup group(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    /** Channel type of listeners. */
    public static Class<? extends ServerChannel> server() {
        return ListeningChannel.class;
    }

    /** A listening channel that reports when its socket is released, which is later than its close. */
    public static final class ListeningChannel extends NioServerSocketChannel {
        /**
         * Whether the address can be bound again. A closed socket keeps its address until the event loop's selector
         * has deregistered it, in a later iteration of the loop. Must be called on the event loop.
         */
        public boolean isReleased() {
            return !isOpen() && !javaChannel().isRegistered();
        }
    }

    /** Channel type of clients. */
    public static Class<? extends SocketChannel> client() {
        return NioSocketChannel.class;
    }

    /** Closes a connection with a TCP reset instead of an orderly end. */
    public static void reset(Channel channel) {
        if (channel instanceof SocketChannel socket && channel.isOpen()) {
            socket.config().setSoLinger(0);
        }
        channel.close();
    }
}
