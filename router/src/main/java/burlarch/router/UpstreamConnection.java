package burlarch.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One connection to a server. It carries one request at a time, never sends one twice, and is used again only
 * after a whole answer with nothing behind it.
 */
final class UpstreamConnection extends AbstractConnection {
    /** FLUSHED: the answer was there before the word that the last byte of the request is out. */
    private enum State {
        IDLE,
        BUSY,
        FLUSHED,
        CLOSED
    }

    private final UpstreamConnectionPool pool;
    private final String address;
    private final InputBufferPool buffers;
    private final ResponseParser parser = new ResponseParser(this::onHead);
    private final Callback fillable =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::fail);
    /** Guards state, call and written. The parser belongs to whoever reads for the present call. */
    private State state = State.IDLE;

    private UpstreamCall call;
    private boolean written;
    private ByteBuffer input;

    UpstreamConnection(EndPoint endPoint, UpstreamConnectionPool pool, String address, InputBufferPool buffers) {
        super(endPoint, pool.executor());
        this.pool = pool;
        this.address = address;
        this.buffers = buffers;
    }

    String address() {
        return address;
    }

    KeepAliveTimeout keepAlive() {
        return parser.keepAlive();
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().fillInterested(fillable);
    }

    /** Takes a call if nothing has come in since the last; else closes and returns false, nothing sent. */
    boolean send(UpstreamCall next) {
        boolean news;
        boolean begun;
        synchronized (this) {
            if (state != State.IDLE) {
                return false;
            }
            news = hasNews();
            begun = !news && next.begin(this);
            if (news) {
                state = State.CLOSED;
            } else if (begun) {
                parser.begin(next.headMethod());
                state = State.BUSY;
                call = next;
                written = false;
            }
        }
        if (news) {
            getEndPoint().close();
        } else if (begun) {
            getEndPoint()
                    .write(
                            Callback.from(
                                    Invocable.InvocationType.NON_BLOCKING,
                                    () -> sent(next),
                                    cause -> notSent(next, cause)),
                            next.message());
        } else {
            pool.resting(this);
        }
        return !news;
    }

    /** Whether the peer closed, or sent bytes that no request asked for. */
    private boolean hasNews() {
        if (!getEndPoint().isOpen()) {
            return true;
        }
        ByteBuffer one = BufferUtil.allocate(1);
        try {
            return getEndPoint().fill(one) != 0;
        } catch (IOException failure) {
            return true;
        }
    }

    private synchronized UpstreamCall call() {
        return state == State.BUSY ? call : null;
    }

    private synchronized boolean isClosed() {
        return state == State.CLOSED;
    }

    /** Closes it if it rests; a call under way keeps it. */
    void closeIfIdle() {
        synchronized (this) {
            if (state != State.IDLE) {
                return;
            }
            state = State.CLOSED;
        }
        getEndPoint().close();
    }

    /** The call's owner has given it up. */
    void abandon(UpstreamCall owner) {
        synchronized (this) {
            if (call != owner || state != State.BUSY) {
                return;
            }
            state = State.CLOSED;
        }
        getEndPoint().close();
        pool.closed(this);
    }

    @Override
    public void onFillable() {
        synchronized (this) {
            if (state == State.IDLE) {
                if (!hasNews()) {
                    getEndPoint().fillInterested(fillable);
                    return;
                }
                state = State.CLOSED;
            }
        }
        if (isClosed()) {
            getEndPoint().close();
            pool.closed(this);
            return;
        }
        read();
    }

    void proceed(UpstreamCall owner) {
        if (call() != owner) {
            return;
        }
        parser.contentTaken();
        read();
    }

    /** Parses and fills until content waits for its taker, more bytes are needed, or the answer is over. */
    private void read() {
        try {
            while (true) {
                if (input == null) {
                    input = buffers.take();
                }
                parser.parse(input);
                UpstreamCall reading = call();
                if (reading == null) {
                    releaseInput();
                    return;
                }
                if (parser.broken() != null) {
                    fail(parser.broken());
                    return;
                }
                if (parser.content() != null) {
                    reading.listener().onContent(parser.content());
                    return;
                }
                if (parser.isComplete()) {
                    finish();
                    return;
                }
                if (!input.hasRemaining() && !fill()) {
                    return;
                }
            }
        } catch (Throwable failure) {
            fail(failure);
        }
    }

    private boolean fill() throws IOException {
        int filled = getEndPoint().fill(input);
        if (filled == 0) {
            releaseInput();
            getEndPoint().fillInterested(fillable);
            return false;
        }
        if (filled < 0) {
            parser.atEnd();
        }
        return true;
    }

    /** Only the reader calls it, and never while content is out: the taker may still be writing from it. */
    private void releaseInput() {
        if (input != null) {
            buffers.giveBack(input);
            input = null;
        }
    }

    /** A whole answer has come: the connection goes back to the pool before the taker hears of it. */
    private void finish() {
        UpstreamCall ended;
        State next;
        synchronized (this) {
            ended = call;
            next = afterAnswer();
            state = next;
            call = next == State.FLUSHED ? ended : null;
        }
        releaseInput();
        if (next == State.IDLE) {
            rest();
        } else if (next == State.CLOSED) {
            getEndPoint().close();
            pool.closed(this);
        }
        if (ended.end()) {
            ended.listener().onComplete();
        }
    }

    private State afterAnswer() {
        boolean reusable = state == State.BUSY
                && !input.hasRemaining()
                && parser.keepAlive().reusable()
                && !parser.isAtEnd()
                && getEndPoint().isOpen();
        if (!reusable) {
            return State.CLOSED;
        }
        if (written) {
            return State.IDLE;
        }
        return call.isDrained() ? State.FLUSHED : State.CLOSED;
    }

    private void rest() {
        getEndPoint().fillInterested(fillable);
        pool.resting(this);
    }

    private void onHead(int status, HttpFields fields, long length) {
        UpstreamCall reading = call();
        if (reading != null) {
            reading.listener().onHead(status, fields, length);
        }
    }

    /** Reading has failed: the request may be out in whole or in part. */
    private void fail(Throwable cause) {
        fail(null, cause);
    }

    /** @param known how much of the request is out; null where only what was told of its write is known */
    private void fail(SendState known, Throwable cause) {
        UpstreamCall ended;
        SendState sent;
        synchronized (this) {
            ended = state == State.BUSY ? call : null;
            sent = known != null ? known : written ? SendState.SENT : SendState.PARTLY_SENT;
            state = State.CLOSED;
            call = null;
        }
        getEndPoint().close();
        pool.closed(this);
        if (ended != null && ended.end()) {
            ended.listener().onFailure(sent, cause);
        }
    }

    /** The last byte of a request is out. */
    private void sent(UpstreamCall sent) {
        synchronized (this) {
            if (call != sent) {
                return;
            }
            written = true;
            if (state != State.FLUSHED) {
                return;
            }
            state = State.IDLE;
            call = null;
        }
        rest();
    }

    private void notSent(UpstreamCall sent, Throwable cause) {
        synchronized (this) {
            if (call != sent) {
                return;
            }
        }
        fail(sent.isUntouched() ? SendState.NOT_SENT : SendState.PARTLY_SENT, cause);
    }
}
