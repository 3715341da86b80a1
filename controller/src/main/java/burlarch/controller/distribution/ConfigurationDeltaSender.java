package burlarch.controller.distribution;

import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.ConfigurationUpdate;
import burlarch.transport.PeerConnection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Sends routers the newest configuration: as a delta from the version that a router holds or was sent last on its
 * connection, if that version is still in the {@link ConfigurationHistory}, and otherwise as the complete document.
 * Runs on the event loop; bounded by the connected routers.
 */
final class ConfigurationDeltaSender {
    private final FrameCodec codec;
    private final ConfigurationHistory history;
    private final Map<PeerConnection, Long> sentVersions = new HashMap<>();

    ConfigurationDeltaSender(FrameCodec codec) {
        this.codec = codec;
        history = new ConfigurationHistory(codec);
    }

    /** A newer version is committed. */
    void add(long version, byte[] document) {
        history.add(version, document);
    }

    /** The router is disconnected. */
    void forget(PeerConnection router) {
        sentVersions.remove(router);
    }

    /**
     * Sends the newest version unless the router holds it or was sent it on this connection.
     *
     * @param held the version that the router has acknowledged; empty if it has not acknowledged any
     */
    void send(PeerConnection router, OptionalLong held) {
        long base = Math.max(sentVersions.getOrDefault(router, 0L), held.orElse(0));
        if (base >= history.newest()) {
            return;
        }
        router.sendFrame(held.isPresent() ? history.frameFrom(base) : completeFrame());
        sentVersions.put(router, history.newest());
    }

    /** Sends the complete newest version, because the router could not apply a delta. */
    void sendComplete(PeerConnection router) {
        if (history.newest() > 0) {
            router.sendFrame(history.frameFrom(ConfigurationHistory.NO_VERSION));
            sentVersions.put(router, history.newest());
        }
    }

    /** The message for a router that may not understand deltas. */
    private byte[] completeFrame() {
        return codec.encode(new ConfigurationUpdate(history.newest(), history.newestDocument()));
    }
}
