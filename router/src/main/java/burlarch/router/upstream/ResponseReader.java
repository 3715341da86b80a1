package burlarch.router.upstream;

import burlarch.router.http.KeepAliveTimeout;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/**
 * Reader of the responses of one connection: fills a pooled buffer from the socket and parses it. Used by one
 * thread at a time, the one that reads for the call in flight. The buffer is held while it has unparsed bytes or
 * the listener is processing its content, and is returned to the pool otherwise.
 */
final class ResponseReader {
    /** Result of parsing. */
    enum Progress {
        /** Body content is ready for the listener, see {@link #content}. */
        CONTENT,
        /** The response is complete. */
        COMPLETE,
        /** The response cannot be completed, see {@link #failure}. */
        FAILED,
        /** The buffer holds more bytes to parse. */
        INPUT_LEFT,
        /** All bytes are parsed; {@link #fill} reads more. */
        INPUT_NEEDED
    }

    private final EndPoint endPoint;
    private final InputBufferPool buffers;
    private final ResponseParser parser;
    private ByteBuffer input;
    /** Whether any byte was received since {@link #begin}. */
    private volatile boolean received;

    ResponseReader(EndPoint endPoint, InputBufferPool buffers, ResponseParser.HeadListener headListener) {
        this.endPoint = endPoint;
        this.buffers = buffers;
        this.parser = new ResponseParser(headListener);
    }

    /** Starts the response to a call. */
    void begin(UpstreamCall call) {
        received = false;
        parser.begin(call.isHeadMethod());
    }

    /** Whether any byte of the response to the current call was received. */
    boolean hasReceived() {
        return received;
    }

    /** Parses until body content, the end of the response, a failure or the end of the bytes. */
    Progress parse() {
        if (input == null) {
            input = buffers.take();
        }
        parser.parse(input);
        if (parser.failure() != null) {
            return Progress.FAILED;
        }
        if (parser.content() != null) {
            return Progress.CONTENT;
        }
        if (parser.isComplete()) {
            return Progress.COMPLETE;
        }
        return input.hasRemaining() ? Progress.INPUT_LEFT : Progress.INPUT_NEEDED;
    }

    /**
     * Reads from the socket into the buffer; notifies the parser at the end of input.
     *
     * @return false if no bytes are available; the buffer has then been released
     */
    boolean fill() throws IOException {
        int filled = endPoint.fill(input);
        if (filled == 0) {
            releaseInput();
            return false;
        }
        received |= filled > 0;
        if (filled < 0) {
            parser.onEndOfInput();
        }
        return true;
    }

    /** Bytes of the body that the listener has not processed. */
    ByteBuffer content() {
        return parser.content();
    }

    /** Called when the listener has processed the content. */
    void onContentProcessed() {
        parser.onContentProcessed();
    }

    /** Why the response cannot be completed, or null. */
    Throwable failure() {
        return parser.failure();
    }

    /** Whether the connection may carry another request after the completed response. */
    boolean allowsReuse() {
        return !input.hasRemaining() && parser.keepAlive().isReusable() && !parser.isAtEndOfInput();
    }

    /** Keep-alive timeout that the last response stated. */
    KeepAliveTimeout keepAlive() {
        return parser.keepAlive();
    }

    /**
     * Returns the buffer to the pool. Must not be called while the listener is processing content, as it may still
     * be writing from the buffer.
     */
    void releaseInput() {
        if (input != null) {
            buffers.release(input);
            input = null;
        }
    }
}
