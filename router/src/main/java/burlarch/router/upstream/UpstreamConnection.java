package burlarch.router.upstream;

import burlarch.router.http.KeepAliveTimeout;
import burlarch.router.upstream.UpstreamConnectionState.Event;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.AbstractConnection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Invocable;

/**
 * One connection to an instance. It keeps the invariant <em>one send</em>: it carries one request at a time,
 * never writes one twice, and is reused only after a complete response with nothing behind it.
 *
 * <p>Threads: Jetty's selector and executor threads, and those that send, cancel or proceed with a call.
 * {@code state} and {@code call} are guarded by this; listeners are called outside of the monitor. The reader
 * belongs to the thread that reads for the call in flight: there is one at a time, because reading stops while
 * content is with the listener.
 */
final class UpstreamConnection extends AbstractConnection {
    private final UpstreamConnectionPool pool;
    private final String address;
    private final ResponseReader reader;
    private final Callback fillable =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);
    private UpstreamConnectionState state = UpstreamConnectionState.IDLE;
    private UpstreamCall call;
    /** How long it was idle before the call in flight; negative if that is its first. */
    private long idleNanosBeforeCall = -1;

    UpstreamConnection(EndPoint endPoint, UpstreamConnectionPool pool, String address, InputBufferPool buffers) {
        super(endPoint, pool.executor());
        this.pool = pool;
        this.address = address;
        this.reader = new ResponseReader(endPoint, buffers, this::onHead);
    }

    String address() {
        return address;
    }

    KeepAliveTimeout keepAlive() {
        return reader.keepAlive();
    }

    @Override
    public void onOpen() {
        super.onOpen();
        getEndPoint().fillInterested(fillable);
    }

    /** It is taken from the pool after having been idle for so long. */
    synchronized void onTaken(long idleNanos) {
        idleNanosBeforeCall = idleNanos;
    }

    /**
     * Sends a call, unless the peer has closed the connection or sent bytes that no request asked for. A call
     * that was cancelled before leaves the connection idle.
     *
     * @return false if the connection is closed and nothing was sent
     */
    boolean send(UpstreamCall next) {
        boolean unusable;
        boolean started;
        synchronized (this) {
            if (state != UpstreamConnectionState.IDLE) {
                return false;
            }
            unusable = isClosedOrHasInput();
            started = !unusable && next.assignTo(this);
            if (unusable) {
                state = state.on(Event.CLOSE);
            } else if (started) {
                reader.begin(next);
                state = state.on(Event.CALL_STARTED);
                call = next;
            }
        }
        if (unusable) {
            learnEarlyClose();
            getEndPoint().close();
        } else if (started) {
            getEndPoint()
                    .write(
                            Callback.from(
                                    Invocable.InvocationType.NON_BLOCKING,
                                    () -> onWritten(next),
                                    cause -> onWriteFailed(next, cause)),
                            next.message());
        } else {
            pool.onIdle(this);
        }
        return !unusable;
    }

    /** The peer closed the connection while it was idle, as far as can be told. */
    private void learnEarlyClose() {
        if (idleNanosBeforeCall >= 0) {
            pool.onClosedByPeer(this, idleNanosBeforeCall);
        }
    }

    /** Whether the peer has closed the connection, or sent bytes that no request asked for. */
    private boolean isClosedOrHasInput() {
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

    /** Null if no call is in flight. */
    private synchronized UpstreamCall activeCall() {
        return state.hasActiveCall() ? call : null;
    }

    private synchronized boolean isClosed() {
        return state == UpstreamConnectionState.CLOSED;
    }

    /** Closes the connection if it is idle; a call in flight keeps it. */
    void closeIfIdle() {
        synchronized (this) {
            if (state != UpstreamConnectionState.IDLE) {
                return;
            }
            state = state.on(Event.CLOSE);
        }
        getEndPoint().close();
    }

    /** The owner of the call has cancelled it. */
    void abandon(UpstreamCall cancelled) {
        synchronized (this) {
            if (call != cancelled || !state.hasActiveCall()) {
                return;
            }
            state = state.on(Event.CLOSE);
        }
        closeAndRemove();
    }

    @Override
    public void onFillable() {
        synchronized (this) {
            if (state == UpstreamConnectionState.IDLE) {
                if (!isClosedOrHasInput()) {
                    getEndPoint().fillInterested(fillable);
                    return;
                }
                state = state.on(Event.CLOSE);
            }
        }
        if (isClosed()) {
            closeAndRemove();
            return;
        }
        read();
    }

    /** The listener of that call has processed the content it received last. */
    void proceed(UpstreamCall owner) {
        if (activeCall() != owner) {
            return;
        }
        reader.onContentProcessed();
        read();
    }

    /** Parses and fills until content is with the listener, more bytes are needed, or the response has ended. */
    private void read() {
        try {
            while (true) {
                ResponseReader.Progress progress = reader.parse();
                UpstreamCall reading = activeCall();
                if (reading == null) {
                    reader.releaseInput();
                    return;
                }
                switch (progress) {
                    case FAILED -> {
                        onReadFailed(reader.failure());
                        return;
                    }
                    case CONTENT -> {
                        reading.listener().onContent(reader.content());
                        return;
                    }
                    case COMPLETE -> {
                        onResponseComplete();
                        return;
                    }
                    case INPUT_NEEDED -> {
                        if (!reader.fill()) {
                            getEndPoint().fillInterested(fillable);
                            return;
                        }
                    }
                    case INPUT_LEFT -> {
                        // Parse on.
                    }
                }
            }
        } catch (Throwable failure) {
            onReadFailed(failure);
        }
    }

    /** Returns the connection to the pool, or closes it, before the listener is notified. */
    private void onResponseComplete() {
        UpstreamCall ended;
        UpstreamConnectionState next;
        synchronized (this) {
            ended = call;
            next = state.on(mayReuse() ? Event.RESPONSE_COMPLETE : Event.CLOSE);
            state = next;
            call = next == UpstreamConnectionState.AWAITING_WRITE ? ended : null;
        }
        reader.releaseInput();
        if (next == UpstreamConnectionState.IDLE) {
            becomeIdle();
        } else if (next == UpstreamConnectionState.CLOSED) {
            closeAndRemove();
        }
        if (ended != null && ended.endOnce()) {
            ended.listener().onComplete();
        }
    }

    /** A request that is not written completely forbids reuse: its rest would precede the next request. */
    private boolean mayReuse() {
        return state.hasActiveCall()
                && reader.allowsReuse()
                && getEndPoint().isOpen()
                && (state == UpstreamConnectionState.AWAITING_RESPONSE || call.isFullyWritten());
    }

    private void becomeIdle() {
        getEndPoint().fillInterested(fillable);
        pool.onIdle(this);
    }

    private void closeAndRemove() {
        getEndPoint().close();
        pool.onClosed(this);
    }

    private void onHead(int status, HttpFields fields, long contentLength) {
        UpstreamCall reading = activeCall();
        if (reading != null) {
            reading.listener().onHead(status, fields, contentLength);
        }
    }

    /** Reading has failed; what is on the wire follows from the state of the write. */
    private void onReadFailed(Throwable cause) {
        UpstreamCall ended;
        SendState sent;
        synchronized (this) {
            sent = state.sendState();
            ended = closeAndTakeCall();
        }
        if (ended != null && !reader.hasReceived()) {
            learnEarlyClose();
        }
        fail(ended, sent, cause);
    }

    /** Returns the call in flight, or null. */
    private synchronized UpstreamCall closeAndTakeCall() {
        UpstreamCall taken = state.hasActiveCall() ? call : null;
        state = state.on(Event.CLOSE);
        call = null;
        return taken;
    }

    private void fail(UpstreamCall ended, SendState sent, Throwable cause) {
        closeAndRemove();
        if (ended != null && ended.endOnce()) {
            ended.listener().onFailure(sent, cause);
        }
    }

    /** The last byte of the request is written. */
    private void onWritten(UpstreamCall written) {
        synchronized (this) {
            if (call != written) {
                return;
            }
            state = state.on(Event.WRITE_COMPLETE);
            if (state != UpstreamConnectionState.IDLE) {
                return;
            }
            call = null;
        }
        becomeIdle();
    }

    private void onWriteFailed(UpstreamCall failed, Throwable cause) {
        UpstreamCall ended;
        synchronized (this) {
            if (call != failed) {
                return;
            }
            ended = closeAndTakeCall();
        }
        fail(ended, failed.isUnwritten() ? SendState.NOT_SENT : SendState.PARTLY_SENT, cause);
    }
}
