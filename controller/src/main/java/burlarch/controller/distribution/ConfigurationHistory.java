package burlarch.controller.distribution;

import burlarch.configuration.DocumentDelta;
import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.ConfigurationChange;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Bounded history of configuration versions, with the encoded deltas from each of them to the newest. A router whose
 * version was evicted is sent the complete document instead, so the bounds cost only bandwidth. Used on the event loop.
 */
final class ConfigurationHistory {
    /** Base version of a message that contains the complete document. */
    static final long NO_VERSION = 0;
    /** Limit of retained versions, including the newest. */
    static final int MAX_VERSIONS = 16;
    /** Limit of the total size of retained documents, without the newest. */
    static final int MAX_OLDER_BYTES = 2 << 20;

    private final FrameCodec codec;
    private final TreeMap<Long, byte[]> documentsByVersion = new TreeMap<>();
    private final Map<Long, byte[]> framesByBase = new HashMap<>();

    ConfigurationHistory(FrameCodec codec) {
        this.codec = codec;
    }

    /** Adds a version, which must be higher than all others, and evicts the oldest ones beyond the limits. */
    void add(long version, byte[] document) {
        documentsByVersion.put(version, document);
        framesByBase.clear();
        while (documentsByVersion.size() > MAX_VERSIONS || olderBytes() > MAX_OLDER_BYTES) {
            documentsByVersion.pollFirstEntry();
        }
    }

    private long olderBytes() {
        long bytes = -newestDocument().length;
        for (byte[] document : documentsByVersion.values()) {
            bytes += document.length;
        }
        return bytes;
    }

    /** The newest version, {@link #NO_VERSION} while there is none. */
    long newest() {
        return documentsByVersion.isEmpty() ? NO_VERSION : documentsByVersion.lastKey();
    }

    /** The newest document. There must be one. */
    byte[] newestDocument() {
        return documentsByVersion.lastEntry().getValue();
    }

    /** The number of retained versions. */
    int size() {
        return documentsByVersion.size();
    }

    /**
     * The encoded change from the given version to the newest; the complete document if that version isn't retained.
     */
    byte[] frameFrom(long base) {
        long retainedBase = documentsByVersion.containsKey(base) ? base : NO_VERSION;
        return framesByBase.computeIfAbsent(retainedBase, this::encode);
    }

    private byte[] encode(long base) {
        byte[] from = documentsByVersion.getOrDefault(base, DocumentDelta.NO_BASE);
        return codec.encode(new ConfigurationChange(base, newest(), DocumentDelta.between(from, newestDocument())));
    }
}
