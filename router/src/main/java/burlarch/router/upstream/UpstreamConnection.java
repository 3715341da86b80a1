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
 * One connection to an instance. Invariant <em>one request at a time</em>: it carries one request at a time, never
 * writes a request twice, and is reused only after a complete response that no further bytes follow.
 *
 * <p>Threads: Jetty's selector and executor threads, and those that send, cancel or proceed with a call.
 * {@code state} and {@code call} are guarded by this; listeners are called outside of the monitor. The reader is
 * used by the thread that reads for the call in flight. There is only one such thread at a time, because reading
 * stops while the listener is processing content.
 */
final class UpstreamConnection extends AbstractConnection {
    private final UpstreamConnectionPool pool;
    private final String address;
    private final ResponseReader reader;
    private final Callback fillable =
            Callback.from(Invocable.InvocationType.NON_BLOCKING, this::onFillable, this::onReadFailed);
    private UpstreamConnectionState state = UpstreamConnectionState.IDLE;
    private UpstreamCall call;
    /** Whether the write of the request in flight has waited for the peer to read. */
    private boolean writeBlocked;
    /** How long the connection was idle before the call in flight; negative if that is its first call. */
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

    /** Called when the connection is taken from the pool, with the time for which it was idle. */
    synchronized void onTakenFromPool(long idleNanos) {
        idleNanosBeforeCall = idleNanos;
    }

    /**
     * Sends a call, unless the peer has closed the connection or sent unsolicited bytes. If the call was already
     * cancelled, the connection stays idle.
     *
     * @return false if the connection is not usable: it is closed, and nothing was sent
     */
    boolean send(UpstreamCall newCall) {
        boolean unusable;
        boolean started;
        synchronized (this) {
            if (state != UpstreamConnectionState.IDLE) {
                return false;
            }
            unusable = isClosedOrHasInput();
            started = !unusable && newCall.assignTo(this);
            if (unusable) {
                state = state.on(Event.CLOSE);
            } else if (started) {
                reader.begin(newCall);
                state = state.on(Event.CALL_STARTED);
                call = newCall;
                writeBlocked = false;
            }
        }
        if (unusable) {
            reportEarlyClose();
            getEndPoint().close();
        } else if (started) {
            getEndPoint()
                    .write(
                            Callback.from(
                                    Invocable.InvocationType.NON_BLOCKING,
                                    () -> onWritten(newCall),
                                    cause -> onWriteFailed(newCall, cause)),
                            newCall.message());
        } else {
            pool.onIdle(this);
        }
        return !unusable;
    }

    /** Reports to the pool that the peer has probably closed this connection while it was idle. */
    private void reportEarlyClose() {
        if (idleNanosBeforeCall >= 0) {
            pool.onClosedByPeer(this, idleNanosBeforeCall);
        }
    }

    /** Whether the peer has closed the connection or sent unsolicited bytes. */
    private boolean isClosedOrHasInput() {
        if (!getEndPoint().isOpen()) {
            return true;
        }
        ByteBuffer probe = BufferUtil.allocate(1);
        try {
            return getEndPoint().fill(probe) != 0;
        } catch (IOException failure) {
            return true;
        }
    }

    /** The call in flight, or null. */
    private synchronized UpstreamCall activeCall() {
        return state.hasActiveCall() ? call : null;
    }

    private synchronized boolean isClosed() {
        return state == UpstreamConnectionState.CLOSED;
    }

    /** Closes the connection if no call is in flight. */
    void closeIfIdle() {
        synchronized (this) {
            if (state != UpstreamConnectionState.IDLE) {
                return;
            }
            state = state.on(Event.CLOSE);
        }
        getEndPoint().close();
    }

    /** Closes the connection because its call was cancelled; ignored if the call is no longer in flight. */
    void onCancelled(UpstreamCall cancelled) {
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

    /** Continues to read after the listener of the given call has processed the last content. */
    void proceed(UpstreamCall owner) {
        if (activeCall() != owner) {
            return;
        }
        reader.onContentProcessed();
        read();
    }

    /** Parses and fills until the listener has content to process, more bytes are needed, or the response has ended. */
    private void read() {
        try {
            while (true) {
                ResponseReader.Progress progress = reader.parse();
                UpstreamCall currentCall = activeCall();
                if (currentCall == null) {
                    reader.releaseInput();
                    return;
                }
                switch (progress) {
                    case FAILED -> {
                        onReadFailed(reader.failure());
                        return;
                    }
                    case CONTENT -> {
                        currentCall.listener().onContent(reader.content());
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
                        // Continue with parsing.
                    }
                }
            }
        } catch (Throwable failure) {
            onReadFailed(failure);
        }
    }

    /**
     * Returns the connection to the pool, or closes it, before the listener is notified. If the write has not returned
     * yet, its thread does this: the next request is sent as soon as the listener is notified, and would need another
     * connection.
     */
    private void onResponseComplete() {
        UpstreamCall ended;
        UpstreamConnectionState nextState;
        synchronized (this) {
            ended = call;
            nextState = state.on(mayReuse() ? Event.RESPONSE_COMPLETE : Event.CLOSE);
            // Before the thread that writes can make the connection idle, and another call begins to read.
            reader.releaseInput();
            state = nextState;
            call = nextState == UpstreamConnectionState.AWAITING_WRITE ? ended : null;
        }
        if (nextState == UpstreamConnectionState.IDLE) {
            becomeIdle();
        } else if (nextState == UpstreamConnectionState.CLOSED) {
            closeAndRemove();
        } else {
            return;
        }
        notifyComplete(ended);
    }

    private static void notifyComplete(UpstreamCall ended) {
        if (ended != null && ended.endOnce()) {
            ended.listener().onComplete();
        }
    }

    /**
     * Not while the rest of the request waits for the peer to read: it would precede the next request. A write that has
     * not returned yet, but does not wait, is about to complete.
     */
    private boolean mayReuse() {
        return state.hasActiveCall() && reader.allowsReuse() && getEndPoint().isOpen() && !isWriteBlocked();
    }

    private boolean isWriteBlocked() {
        return state == UpstreamConnectionState.WRITING && writeBlocked && !call.isFullyWritten();
    }

    /** Called when the write waits for the peer to read; closes the connection if its response is complete. */
    void onWriteBlocked() {
        synchronized (this) {
            writeBlocked = true;
        }
        closeIfResponseComplete();
    }

    /** Closes the connection if it only waits for a write that does not complete. Returns whether it did. */
    private boolean closeIfResponseComplete() {
        UpstreamCall ended;
        synchronized (this) {
            if (state != UpstreamConnectionState.AWAITING_WRITE) {
                return false;
            }
            state = state.on(Event.CLOSE);
            ended = call;
            call = null;
        }
        closeAndRemove();
        notifyComplete(ended);
        return true;
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
        UpstreamCall currentCall = activeCall();
        if (currentCall != null) {
            currentCall.listener().onHead(status, fields, contentLength);
        }
    }

    /** Called when reading has failed. How much of the request was sent follows from the state of the write. */
    private void onReadFailed(Throwable cause) {
        UpstreamCall ended;
        SendState sent;
        synchronized (this) {
            sent = state.sendState();
            ended = closeAndTakeCall();
        }
        if (ended != null && !reader.hasReceived()) {
            reportEarlyClose();
        }
        fail(ended, sent, cause);
    }

    /** Closes the connection and returns the call that was in flight, or null. */
    private synchronized UpstreamCall closeAndTakeCall() {
        UpstreamCall activeCall = state.hasActiveCall() ? call : null;
        state = state.on(Event.CLOSE);
        call = null;
        return activeCall;
    }

    private void fail(UpstreamCall ended, SendState sent, Throwable cause) {
        closeAndRemove();
        if (ended != null && ended.endOnce()) {
            ended.listener().onFailure(sent, cause);
        }
    }

    /** Called when the last byte of the request is written. */
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
        notifyComplete(written);
    }

    private void onWriteFailed(UpstreamCall failed, Throwable cause) {
        if (closeIfResponseComplete()) {
            return;
        }
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
