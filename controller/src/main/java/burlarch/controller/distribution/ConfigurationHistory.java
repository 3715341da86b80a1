package burlarch.controller.distribution;

import burlarch.configuration.DocumentDelta;
import burlarch.transport.FrameCodec;
import burlarch.transport.NodeMessage.ConfigurationChange;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The newest versions of the configuration, and the frames that lead from each of them to the newest. A base
 * that is no longer here costs its router the whole document, nothing else.
 */
final class ConfigurationHistory {
    /** Stands for no version at all. */
    static final long NONE = 0;
    /** Most versions that are kept, the newest included. */
    static final int MAX_VERSIONS = 16;
    /** Most bytes of documents that are kept beside the newest one. */
    static final int MAX_OLDER_BYTES = 2 << 20;

    private final FrameCodec codec;
    private final TreeMap<Long, byte[]> documents = new TreeMap<>();
    private final Map<Long, byte[]> frames = new HashMap<>();

    ConfigurationHistory(FrameCodec codec) {
        this.codec = codec;
    }

    /** Takes a version that is above all others. */
    void add(long version, byte[] document) {
        documents.put(version, document);
        frames.clear();
        while (documents.size() > MAX_VERSIONS || olderBytes() > MAX_OLDER_BYTES) {
            documents.pollFirstEntry();
        }
    }

    private long olderBytes() {
        long bytes = -newestDocument().length;
        for (byte[] document : documents.values()) {
            bytes += document.length;
        }
        return bytes;
    }

    /** The newest version, {@link #NONE} while there is none. */
    long newest() {
        return documents.isEmpty() ? NONE : documents.lastKey();
    }

    byte[] newestDocument() {
        return documents.lastEntry().getValue();
    }

    int size() {
        return documents.size();
    }

    /** Leads from that version to the newest; holds the whole document where that one isn't kept. */
    byte[] frameFrom(long base) {
        long known = documents.containsKey(base) ? base : NONE;
        return frames.computeIfAbsent(known, this::encode);
    }

    private byte[] encode(long base) {
        byte[] from = documents.getOrDefault(base, DocumentDelta.NO_BASE);
        return codec.encode(new ConfigurationChange(base, newest(), DocumentDelta.between(from, newestDocument())));
    }
}
