package burlarch.router;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpParser;
import org.eclipse.jetty.http.HttpVersion;

/** Parses the answers of one connection, one after another. Used by one thread at a time. */
final class ResponseParser implements HttpParser.ResponseHandler {
    private static final int MOST_HEAD_BYTES = 16384;
    private static final int FIRST_FINAL_STATUS = 200;

    /** Takes the head of a final answer. */
    interface HeadTaker {
        /** {@code length} of the body, -1 where the head does not tell it. */
        void onHead(int status, HttpFields fields, long length);
    }

    private final HttpParser parser = new HttpParser((HttpParser.ResponseHandler) this, MOST_HEAD_BYTES);
    private final HeadTaker heads;
    private HttpFields.Mutable fields;
    private int status;
    private ByteBuffer content;
    private boolean complete;
    private Throwable broken;
    private KeepAliveTimeout keepAlive = KeepAliveTimeout.UNTOLD;

    ResponseParser(HeadTaker heads) {
        this.heads = heads;
    }

    /** The next bytes answer a new request. */
    void begin(boolean headMethod) {
        parser.reset();
        parser.setHeadResponse(headMethod);
        complete = false;
    }

    /** Parses up to content, the end of the answer, a fault, or the end of the bytes. */
    void parse(ByteBuffer bytes) {
        parser.parseNext(bytes);
    }

    /** No more bytes come. */
    void atEnd() {
        parser.atEOF();
    }

    boolean isAtEnd() {
        return parser.isAtEOF();
    }

    /** Bytes of the body that wait for their taker, or null. */
    ByteBuffer content() {
        return content;
    }

    void contentTaken() {
        content = null;
    }

    boolean isComplete() {
        return complete;
    }

    /** Why there is no whole answer, or null. */
    Throwable broken() {
        return broken;
    }

    /** What the last answer said of its connection. */
    KeepAliveTimeout keepAlive() {
        return keepAlive;
    }

    @Override
    public void startResponse(HttpVersion version, int code, String reason) {
        status = code;
        fields = HttpFields.build();
        if (version != HttpVersion.HTTP_1_1) {
            broken = new IOException("answer in another version of the protocol");
        }
    }

    @Override
    public void parsedHeader(HttpField field) {
        fields.add(field);
    }

    @Override
    public boolean headerComplete() {
        if (status >= FIRST_FINAL_STATUS && broken == null) {
            keepAlive = KeepAliveTimeout.of(fields);
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
        if (parser.isAtEOF() && keepAlive.reusable()) {
            broken = new EOFException("server closed an answer of untold length");
        }
        complete = true;
        return true;
    }

    @Override
    public void earlyEOF() {
        broken = new EOFException("server closed early");
    }

    @Override
    public void badMessage(HttpException failure) {
        broken = new IOException("bytes that are no answer: " + failure.getReason());
    }
}
