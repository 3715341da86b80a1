package burlarch.router.upstream;

import burlarch.router.http.KeepAliveTimeout;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/**
 * Reads the responses of one connection: fills a pooled buffer from the socket and parses it. Used by one
 * thread at a time, the one that reads for the call in flight. The buffer is held while there are unparsed
 * bytes or content is with the listener, and goes back to the pool otherwise.
 */
final class ResponseReader {
    /** What parsing has led to. */
    enum Progress {
        /** Content waits for the listener, see {@link #content}. */
        CONTENT,
        /** The response is complete. */
        COMPLETE,
        /** There will be no complete response, see {@link #failure}. */
        FAILED,
        /** The buffer holds more bytes to parse. */
        INPUT_LEFT,
        /** All bytes are parsed; {@link #fill} brings more. */
        INPUT_NEEDED
    }

    private final EndPoint endPoint;
    private final InputBufferPool buffers;
    private final ResponseParser parser;
    private ByteBuffer input;
    /** Whether any byte was received since {@link #begin}. */
    private volatile boolean received;

    ResponseReader(EndPoint endPoint, InputBufferPool buffers, ResponseParser.HeadListener heads) {
        this.endPoint = endPoint;
        this.buffers = buffers;
        this.parser = new ResponseParser(heads);
    }

    /** The next bytes belong to the response to that call. */
    void begin(UpstreamCall call) {
        received = false;
        parser.begin(call.isHeadMethod());
    }

    /** Whether any byte of the response to the present call was received. */
    boolean hasReceived() {
        return received;
    }

    /** Parses up to content, the end of the response, a failure or the end of the bytes. */
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
     * Reads from the socket into the buffer; at the end of input, notifies the parser.
     *
     * @return false if no bytes are available; the buffer is released then
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

    /** Bytes of the body that wait for the listener. */
    ByteBuffer content() {
        return parser.content();
    }

    /** The listener has processed the content. */
    void onContentProcessed() {
        parser.onContentProcessed();
    }

    /** Why there is no complete response. */
    Throwable failure() {
        return parser.failure();
    }

    /** Whether the connection may carry another request after the response that is complete. */
    boolean allowsReuse() {
        return !input.hasRemaining() && parser.keepAlive().isReusable() && !parser.isAtEndOfInput();
    }

    /** What the last response stated of its connection. */
    KeepAliveTimeout keepAlive() {
        return parser.keepAlive();
    }

    /**
     * Returns the buffer to the pool. Must not be called while content is with the listener, which may still
     * be writing from it.
     */
    void releaseInput() {
        if (input != null) {
            buffers.giveBack(input);
            input = null;
        }
    }
}
