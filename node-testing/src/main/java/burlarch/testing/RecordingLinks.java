package burlarch.testing;

import burlarch.transport.FrameCodec;
import burlarch.transport.PeerConnections;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/** Test double of the set of connections: opens none and records the addresses to which connections are requested. */
public final class RecordingLinks implements PeerConnections {
    /** Requested addresses as {@code host:port}, in the order of the requests. */
    public final Set<String> targets = new LinkedHashSet<>();

    private final FrameCodec codec = new FrameCodec();

    @Override
    public void connect(InetSocketAddress target) {
        targets.add(format(target));
    }

    @Override
    public void disconnect(InetSocketAddress target) {
        targets.remove(format(target));
    }

    @Override
    public FrameCodec codec() {
        return codec;
    }

    private static String format(InetSocketAddress target) {
        return target.getHostString() + ":" + target.getPort();
    }
}
