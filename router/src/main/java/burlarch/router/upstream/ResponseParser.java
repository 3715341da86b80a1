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

/** Parses the responses of one connection, one after another. Used by one thread at a time. */
final class ResponseParser implements HttpParser.ResponseHandler {
    private static final int MAX_HEAD_BYTES = 16384;
    private static final int FIRST_FINAL_STATUS = 200;

    /** Receives the head of each final response. */
    interface HeadListener {
        /** {@code contentLength} of the body in bytes; -1 if the head does not state it. */
        void onHead(int status, HttpFields fields, long contentLength);
    }

    private final HttpParser parser = new HttpParser((HttpParser.ResponseHandler) this, MAX_HEAD_BYTES);
    private final HeadListener heads;
    private HttpFields.Mutable fields;
    private int status;
    private ByteBuffer content;
    private boolean complete;
    private Throwable failure;
    private KeepAliveTimeout keepAlive = KeepAliveTimeout.UNSPECIFIED;

    ResponseParser(HeadListener heads) {
        this.heads = heads;
    }

    /** The next bytes belong to the response to a new request. */
    void begin(boolean headMethod) {
        parser.reset();
        parser.setHeadResponse(headMethod);
        complete = false;
    }

    /** Parses up to content, the end of the response, a failure, or the end of the bytes. */
    void parse(ByteBuffer bytes) {
        parser.parseNext(bytes);
    }

    /** No more bytes will come. */
    void onEndOfInput() {
        parser.atEOF();
    }

    boolean isAtEndOfInput() {
        return parser.isAtEOF();
    }

    /** Bytes of the body that wait to be processed, or null. */
    ByteBuffer content() {
        return content;
    }

    void onContentProcessed() {
        content = null;
    }

    boolean isComplete() {
        return complete;
    }

    /** Why there will be no complete response, or null. */
    Throwable failure() {
        return failure;
    }

    /** What the last response stated of its connection. */
    KeepAliveTimeout keepAlive() {
        return keepAlive;
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        fields = HttpFields.build();
        if (version != HttpVersion.HTTP_1_1) {
            failure = new IOException("response in another version of the protocol");
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
            heads.onHead(status, fields, Math.max(-1, parser.getContentLength()));
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
            failure = new EOFException("server closed a response of unknown length");
        }
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        failure = new EOFException("server closed early");
    }

    @Override
    public void badMessage(HttpException cause) {
        failure = new IOException("malformed response: " + cause.getReason());
    }
}
