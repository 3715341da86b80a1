package burlarch.router.upstream;

import burlarch.router.http.KeepAliveTimeout;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/** Parser of the consecutive responses of one connection. Used by one thread at a time. */
final class ResponseParser implements HttpParser.ResponseHandler {
    private static final int MAX_HEAD_BYTES = 16384;
    private static final int FIRST_FINAL_STATUS = 200;

    /** Receives the head of each final response. */
    interface HeadListener {
        /**
         * Called when the head of a final response is complete.
         *
         * @param contentLength length of the body in bytes; -1 if the head does not state it
         */
        void onHead(int status, HttpFields fields, long contentLength);
    }

    private final HttpParser parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEAD_BYTES);
    private final HeadListener headListener;
    private HttpFields.Mutable fields;
    private int status;
    private ByteBuffer content;
    private boolean complete;
    private Throwable failure;
    private KeepAliveTimeout keepAlive = KeepAliveTimeout.UNSPECIFIED;

    ResponseParser(HeadListener headListener) {
        this.headListener = headListener;
    }

    /** Starts the response to a new request; {@code headMethod} if its method is HEAD. */
    void begin(boolean headMethod) {
        parser.reset();
        parser.setHeadResponse(headMethod);
        complete = false;
    }

    /** Parses until body content, the end of the response, a failure, or the end of the bytes. */
    void parse(ByteBuffer bytes) {
        parser.parseNext(bytes);
    }

    /** Called at the end of input: no more bytes follow. */
    void onEndOfInput() {
        parser.atEOF();
    }

    boolean isAtEndOfInput() {
        return parser.isAtEOF();
    }

    /** Bytes of the body that have not been processed, or null. */
    ByteBuffer content() {
        return content;
    }

    void onContentProcessed() {
        content = null;
    }

    boolean isComplete() {
        return complete;
    }

    /** Why the response cannot be completed, or null. */
    Throwable failure() {
        return failure;
    }

    /** Keep-alive timeout that the last response stated. */
    KeepAliveTimeout keepAlive() {
        return keepAlive;
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        fields = HttpFields.build();
        if (version != HttpVersion.HTTP_1_1) {
            failure = new IOException("response is not in HTTP version 1.1");
        }
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (status >= FIRST_FINAL_STATUS && failure == null) {
            keepAlive = KeepAliveTimeout.parse(fields);
            headListener.onHead(status, fields, Math.max(-1, parser.getContentLength()));
        }
        return false;
    }

    @Override
    public boolean content(ByteBuffer bytes) {
        content = bytes;
        return true;
    }

    @Override
    public boolean contentComplete() {
        return false;
    }

    @Override
    public boolean messageComplete() {
        if (status < FIRST_FINAL_STATUS) {
            parser.reset();
            return true;
        }
        if (parser.isAtEOF() && keepAlive.isReusable()) {
            failure = new EOFException("server closed the connection within a response of unknown length");
        }
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        failure = new EOFException("server closed the connection before the end of the response");
    }

    @Override
    public void badMessage(HttpException cause) {
        failure = new IOException("malformed response: " + cause.getReason());
    }
}
