package burlarch.transport;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records the events of a transport in queues on which the test's thread can wait. */
class RecordingListener implements PeerConnectionListener {
    private static final long WAIT_SECONDS = 10;

    final BlockingQueue<TcpPeerConnection> connected = new LinkedBlockingQueue<>();
    final BlockingQueue<NodeMessage> messages = new LinkedBlockingQueue<>();
    final BlockingQueue<TcpPeerConnection> disconnected = new LinkedBlockingQueue<>();

    @Override
    public void onConnected(PeerConnection connection) {
        connected.add((TcpPeerConnection) connection);
    }

    @Override
    public void onMessage(PeerConnection connection, NodeMessage message) {
        messages.add(message);
    }

    @Override
    public void onDisconnected(PeerConnection connection) {
        disconnected.add((TcpPeerConnection) connection);
    }

    static <T> T awaitNext(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("no event within the wait time");
        }
        return next;
    }
}
