package burlarch.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits the byte stream of one connection into frames and decodes them. Owned by the event loop.
 *
 * <p>A frame that is completely in the source buffer is decoded from there without a copy. Otherwise its bytes are
 * collected in a buffer that grows with the received bytes and is at most twice as large as they are, whatever the
 * length field says.
 *
 * <p>After a {@link FrameException} the reader must not be used again, since the start of the next frame is unknown.
 */
final class FrameReader {
    /** Enough for a Hello; limits the memory used for a peer that has not sent one yet. */
    static final int MAX_FIRST_FRAME_BYTES = 16 << 10;

    private static final byte[] EMPTY = {};
    private static final int INITIAL_BODY_BYTES = 4 << 10;

    private final FrameCodec codec;
    private final byte[] header = new byte[FrameCodec.HEADER_BYTES];
    private int collectedHeaderBytes;
    private int bodyLength;
    private byte[] bodyBuffer = EMPTY;
    private int collectedBodyBytes;
    private int maxBodyLength = MAX_FIRST_FRAME_BYTES;

    FrameReader(FrameCodec codec) {
        this.codec = codec;
    }

    /** Accepts frames of up to {@link FrameCodec#MAX_FRAME_BYTES} from now on. */
    void allowLargeFrames() {
        maxBodyLength = FrameCodec.MAX_FRAME_BYTES;
    }

    /**
     * Consumes bytes up to the end of one frame and decodes it.
     *
     * @param source backed by an array
     * @return the message; null if the source is consumed and the frame is not complete yet
     * @throws FrameException if the length or the message is not valid
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
        byte[] frame = bodyBuffer;
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
            throw new FrameException("frame length out of range: " + bodyLength + " bytes");
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
        int requiredBytes = collectedBodyBytes + count;
        if (requiredBytes > bodyBuffer.length) {
            int grownBytes = Math.max(requiredBytes, Math.max(INITIAL_BODY_BYTES, 2 * bodyBuffer.length));
            bodyBuffer = Arrays.copyOf(bodyBuffer, Math.min(grownBytes, bodyLength));
        }
        source.get(bodyBuffer, collectedBodyBytes, count);
        collectedBodyBytes = requiredBytes;
    }

    private void reset() {
        collectedHeaderBytes = 0;
        bodyLength = 0;
        bodyBuffer = EMPTY;
        collectedBodyBytes = 0;
    }
}
