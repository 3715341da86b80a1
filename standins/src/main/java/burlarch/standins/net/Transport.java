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
 * The one choice of transport. It is the JDK's, whose selector sleeps whole milliseconds: a timer of a loop
 * that has nothing else to do is up to 1 ms late.
 */
public final class Transport {
    private Transport() {}

    public static EventLoopGroup group(int threads, String name) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
    }

    public static Class<? extends ServerChannel> server() {
        return ListeningChannel.class;
    }

    /** A listening channel that tells when its socket is gone, which is later than its close. */
    public static final class ListeningChannel extends NioServerSocketChannel {
        /**
         * Whether its address can be bound again: a closed socket keeps it until the loop's selector has let
         * go of its key, in a later turn of the loop. To be asked on the loop.
         */
        public boolean isReleased() {
            return !isOpen() && !javaChannel().isRegistered();
        }
    }

    public static Class<? extends SocketChannel> client() {
        return NioSocketChannel.class;
    }

    /** Closes a connection by a reset: its peer sees no orderly end. */
    public static void reset(Channel channel) {
        if (channel instanceof SocketChannel socket && channel.isOpen()) {
            socket.config().setSoLinger(0);
        }
        channel.close();
    }
}
