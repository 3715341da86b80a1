package burlarch.testing;

import burlarch.transport.FrameCodec;
import burlarch.transport.PeerConnections;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/** Opens no connection, and keeps the addresses to which connections are wanted. */
public final class RecordingLinks implements PeerConnections {
    /** Each as {@code host:port}, the one asked for first in front. */
    public final Set<String> targets = new LinkedHashSet<>();

    private final FrameCodec codec = new FrameCodec();

    @Override
    public void connect(InetSocketAddress target) {
        targets.add(text(target));
    }

    @Override
    public void disconnect(InetSocketAddress target) {
        targets.remove(text(target));
    }

    @Override
    public FrameCodec codec() {
        return codec;
    }

    private static String text(InetSocketAddress target) {
        return target.getHostString() + ":" + target.getPort();
    }
}
