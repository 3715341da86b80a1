package burlarch.transport;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Cuts a stream of bytes into frames. Holds no more than twice what has arrived of the frame at hand,
 * whatever its length field claims.
 */
final class FrameReader {
    /** A Hello fits; no more is taken from those who have not said it. */
    static final int MAX_FIRST_FRAME_BYTES = 16 << 10;

    private static final byte[] NONE = {};
    private static final int INITIAL_BYTES = 4 << 10;

    private final FrameCodec codec;
    private final byte[] header = new byte[FrameCodec.HEADER_BYTES];
    private int headerBytes;
    private int length;
    private byte[] body = NONE;
    private int bodyBytes;
    private int maxLength = MAX_FIRST_FRAME_BYTES;

    FrameReader(FrameCodec codec) {
        this.codec = codec;
    }

    /** From now on frames may have their full size. */
    void allowLargeFrames() {
        maxLength = FrameCodec.MAX_FRAME_BYTES;
    }

    /**
     * Takes bytes up to the end of one frame.
     *
     * @param source backed by an array
     * @return the message, or null when the source is used up and the frame is not whole yet
     */
    NodeMessage next(ByteBuffer source) throws FrameException {
        if (!readHeader(source)) {
            return null;
        }
        if (bodyBytes == 0 && source.remaining() >= length) {
            return decodeInPlace(source);
        }
        collect(source);
        if (bodyBytes < length) {
            return null;
        }
        byte[] whole = body;
        int wholeLength = length;
        startOver();
        return codec.decode(whole, 0, wholeLength);
    }

    private boolean readHeader(ByteBuffer source) throws FrameException {
        if (headerBytes == FrameCodec.HEADER_BYTES) {
            return true;
        }
        int taken = Math.min(source.remaining(), FrameCodec.HEADER_BYTES - headerBytes);
        source.get(header, headerBytes, taken);
        headerBytes += taken;
        if (headerBytes < FrameCodec.HEADER_BYTES) {
            return false;
        }
        length = ByteBuffer.wrap(header).getInt();
        if (length < 1 || length > maxLength) {
            throw new FrameException("frame of " + length + " bytes");
        }
        return true;
    }

    private NodeMessage decodeInPlace(ByteBuffer source) throws FrameException {
        int offset = source.arrayOffset() + source.position();
        source.position(source.position() + length);
        int wholeLength = length;
        startOver();
        return codec.decode(source.array(), offset, wholeLength);
    }

    private void collect(ByteBuffer source) {
        int taken = Math.min(source.remaining(), length - bodyBytes);
        int needed = bodyBytes + taken;
        if (needed > body.length) {
            int larger = Math.max(needed, Math.max(INITIAL_BYTES, 2 * body.length));
            body = Arrays.copyOf(body, Math.min(larger, length));
        }
        source.get(body, bodyBytes, taken);
        bodyBytes = needed;
    }

    private void startOver() {
        headerBytes = 0;
        length = 0;
        body = NONE;
        bodyBytes = 0;
    }
}
