package burlarch.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the byte stream of one connection into frames and decodes them. Owned by the event loop.
 *
 * <p>A frame that lies in the source as a whole is decoded from there without a copy. Otherwise its bytes are
 * collected; the memory for them grows with what has arrived and is at most twice as large, whatever the length field
 * claims.
 *
 * <p>After a {@link FrameException} the reader must not be used again: where the next frame begins is not known.
 */
final class FrameReader {
    /** Enough for a Hello; a peer that has not said it yet gets no more memory. */
    static final int MAX_FIRST_FRAME_BYTES = 16 << 10;

    private static final byte[] NO_BYTES = {};
    private static final int INITIAL_BODY_BYTES = 4 << 10;

    private final FrameCodec codec;
    private final byte[] header = new byte[FrameCodec.HEADER_BYTES];
    private int collectedHeaderBytes;
    private int bodyLength;
    private byte[] body = NO_BYTES;
    private int collectedBodyBytes;
    private int maxBodyLength = MAX_FIRST_FRAME_BYTES;

    FrameReader(FrameCodec codec) {
        this.codec = codec;
    }

    /** Accepts frames of full size from now on. */
    void allowLargeFrames() {
        maxBodyLength = FrameCodec.MAX_FRAME_BYTES;
    }

    /**
     * Consumes bytes up to the end of one frame.
     *
     * @param source backed by an array
     * @return the message; null if the source is used up and the frame is not complete yet
     * @throws FrameException if the length is not valid or the frame is no message
     */
    NodeMessage next(ByteBuffer source) throws FrameException {
        if (!readHeader(source)) {
            return null;
        }
        if (collectedBodyBytes == 0 && source.remaining() >= bodyLength) {
            return decodeFromSource(source);
        }
        collect(source);
        if (collectedBodyBytes < bodyLength) {
            return null;
        }
        byte[] frame = body;
        int frameLength = bodyLength;
        reset();
        return codec.decode(frame, 0, frameLength);
    }

    private boolean readHeader(ByteBuffer source) throws FrameException {
        if (collectedHeaderBytes == FrameCodec.HEADER_BYTES) {
            return true;
        }
        int count = Math.min(source.remaining(), FrameCodec.HEADER_BYTES - collectedHeaderBytes);
        source.get(header, collectedHeaderBytes, count);
        collectedHeaderBytes += count;
        if (collectedHeaderBytes < FrameCodec.HEADER_BYTES) {
            return false;
        }
        bodyLength = ByteBuffer.wrap(header).getInt();
        if (bodyLength < 1 || bodyLength > maxBodyLength) {
            throw new FrameException("frame of " + bodyLength + " bytes");
        }
        return true;
    }

    private NodeMessage decodeFromSource(ByteBuffer source) throws FrameException {
        int offset = source.arrayOffset() + source.position();
        source.position(source.position() + bodyLength);
        int frameLength = bodyLength;
        reset();
        return codec.decode(source.array(), offset, frameLength);
    }

    private void collect(ByteBuffer source) {
        int count = Math.min(source.remaining(), bodyLength - collectedBodyBytes);
        int needed = collectedBodyBytes + count;
        if (needed > body.length) {
            int larger = Math.max(needed, Math.max(INITIAL_BODY_BYTES, 2 * body.length));
            body = Arrays.copyOf(body, Math.min(larger, bodyLength));
        }
        source.get(body, collectedBodyBytes, count);
        collectedBodyBytes = needed;
    }

    private void reset() {
        collectedHeaderBytes = 0;
        bodyLength = 0;
        body = NO_BYTES;
        collectedBodyBytes = 0;
    }
}
