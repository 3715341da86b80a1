package burlarch.controller.distribution;

import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.ConfigurationUpdate;
import burlarch.transport.PeerConnection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Brings routers to the newest configuration: by a change from the version that a router holds, or was sent
 * last on this connection, where that one is still known here; else by the whole document. Lives on the
 * loop; bounded by the routers that are connected and by {@link ConfigurationHistory}.
 */
final class ConfigurationDeltaSender {
    private final FrameCodec codec;
    private final ConfigurationHistory history;
    private final Map<PeerConnection, Long> sentVersions = new HashMap<>();

    ConfigurationDeltaSender(FrameCodec codec) {
        this.codec = codec;
        history = new ConfigurationHistory(codec);
    }

    /** A newer version is in force. */
    void add(long version, byte[] document) {
        history.add(version, document);
    }

    /** The router is gone. */
    void forget(PeerConnection router) {
        sentVersions.remove(router);
    }

    /**
     * Sends the newest version unless the router holds it or was sent it on this connection.
     *
     * @param held what the router said that it holds; absent where it has not said anything
     */
    void send(PeerConnection router, OptionalLong held) {
        long base = Math.max(sentVersions.getOrDefault(router, 0L), held.orElse(0));
        if (base >= history.newest()) {
            return;
        }
        router.sendFrame(held.isPresent() ? history.frameFrom(base) : completeFrame());
        sentVersions.put(router, history.newest());
    }

    /** Sends the whole newest version: the router could not use what it was sent. */
    void sendComplete(PeerConnection router) {
        if (history.newest() > 0) {
            router.sendFrame(history.frameFrom(ConfigurationHistory.NONE));
            sentVersions.put(router, history.newest());
        }
    }

    /** For a router that may know no other form. */
    private byte[] completeFrame() {
        return codec.encode(new ConfigurationUpdate(history.newest(), history.newestDocument()));
    }
}
