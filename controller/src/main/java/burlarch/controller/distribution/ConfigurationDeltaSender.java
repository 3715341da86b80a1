package burlarch.controller.distribution;

import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.ConfigurationUpdate;
import burlarch.transport.PeerConnection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Sender of the newest configuration to routers. It sends a delta from the version that a router holds or was last sent
 * on its connection, if that version is still in the {@link ConfigurationHistory}, and otherwise the complete document.
 * Runs on the event loop; memory is bounded by the number of connected routers.
 */
final class ConfigurationDeltaSender {
    private final FrameCodec codec;
    private final ConfigurationHistory history;
    private final Map<PeerConnection, Long> sentVersions = new HashMap<>();

    ConfigurationDeltaSender(FrameCodec codec) {
        this.codec = codec;
        history = new ConfigurationHistory(codec);
    }

    /** Adds a newly committed version. */
    void add(long version, byte[] document) {
        history.add(version, document);
    }

    /** Removes a disconnected router. */
    void remove(PeerConnection router) {
        sentVersions.remove(router);
    }

    /**
     * Sends the newest version, unless the router holds it or was already sent it on this connection.
     *
     * @param acknowledged the version that the router has acknowledged; empty if it has not acknowledged any
     */
    void send(PeerConnection router, OptionalLong acknowledged) {
        long baseVersion = Math.max(sentVersions.getOrDefault(router, 0L), acknowledged.orElse(0));
        if (baseVersion >= history.newest()) {
            return;
        }
        router.sendFrame(acknowledged.isPresent() ? history.frameFrom(baseVersion) : completeFrame());
        sentVersions.put(router, history.newest());
    }

    /** Sends the complete newest version to a router that could not apply a delta. */
    void sendComplete(PeerConnection router) {
        if (history.newest() > 0) {
            router.sendFrame(history.frameFrom(ConfigurationHistory.NO_VERSION));
            sentVersions.put(router, history.newest());
        }
    }

    /** The encoded message for a router that has not acknowledged any version and may not support deltas. */
    private byte[] completeFrame() {
        return codec.encode(new ConfigurationUpdate(history.newest(), history.newestDocument()));
    }
}
