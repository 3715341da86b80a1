package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Caller of the control API: an operator or a server. Each call has a connection of its own. */
final class ControlClient {
    static final int NO_ANSWER = -1;
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int OPERATOR_PAUSE_MILLIS = 200;

    private final List<String> addresses;
    /** Index of the address that answered last; calls begin there. */
    private int current;

    ControlClient(List<String> addresses) {
        this.addresses = addresses;
    }

    /** Makes one call at one address. Returns the status, {@link #NO_ANSWER} without an answer within a second. */
    static int callAt(String address, String method, String path, String ifMatch, String body) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress peer = new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.connect(peer, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\n"
                    + (ifMatch == null ? "" : "If-Match: " + ifMatch + "\r\n")
                    + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(concatenate(head.getBytes(StandardCharsets.ISO_8859_1), bytes));
            HttpHead answer = HttpHead.read(socket.getInputStream());
            return answer == null ? NO_ANSWER : answer.status();
        } catch (IOException failure) {
            return NO_ANSWER;
        }
    }

    private static byte[] concatenate(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    /** Makes a call at the address that answered last, then at the others, until one answers with 2xx. */
    synchronized boolean callUntilAccepted(String method, String path, String body) {
        for (int i = 0; i < addresses.size(); i++) {
            int index = (current + i) % addresses.size();
            int status = callAt(addresses.get(index), method, path, null, body);
            if (status / 100 == 2) {
                current = index;
                return true;
            }
        }
        return false;
    }

    /** Repeats an operator's order, unchanged and at all controllers in turn, until it is acknowledged. */
    void order(String method, String path, String ifMatch, String body, long timeoutMillis)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + timeoutMillis * 1_000_000;
        for (int i = 0; System.nanoTime() - deadlineNanos < 0; i++) {
            int status = callAt(addresses.get(i % addresses.size()), method, path, ifMatch, body);
            if (status / 100 == 2) {
                return;
            }
            if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
                throw new IOException("order refused with " + status + ": " + method + " " + path);
            }
            Thread.sleep(OPERATOR_PAUSE_MILLIS);
        }
        throw new IOException("order not acknowledged in time: " + method + " " + path);
    }
}
