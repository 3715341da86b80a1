package burlarch.proxy.tls;

import burlarch.proxy.Headers;
import burlarch.proxy.Log;
import burlarch.proxy.Rejection;
import burlarch.proxy.RequestHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.security.auth.x500.X500Principal;

/** Request handler of one TLS connection that logs each request id with the subject of the client's certificate. */
final class ClientCertificateLogger implements RequestHandler {
    private static final int MAX_ID_LENGTH = 128;
    private static final int MAX_SUBJECT_LENGTH = 512;

    private final RequestHandler delegate;
    private final SSLEngine engine;
    /** Null before the first request; empty if the client has presented no certificate. */
    private String subject;

    ClientCertificateLogger(RequestHandler delegate, SSLEngine engine) {
        this.delegate = delegate;
        this.engine = engine;
    }

    @Override
    public String allowedMethods() {
        return delegate.allowedMethods();
    }

    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        String id = request.headers().get(Headers.REQUEST_ID);
        Runnable abandon = delegate.handle(request, readNanos, reply);
        if (subject == null) {
            subject = peerSubject();
        }
        if (!subject.isEmpty()) {
            String clientSubject = subject;
            Log.enqueue(() -> logLine(id, clientSubject));
        }
        return abandon;
    }

    private String peerSubject() {
        try {
            return ((X500Principal) engine.getSession().getPeerPrincipal()).getName(X500Principal.RFC2253);
        } catch (SSLPeerUnverifiedException e) {
            return "";
        }
    }

    /**
     * Returns the log line. The subject comes last because it may contain blanks; blanks in the id are escaped, so that
     * an id cannot forge a subject.
     */
    static String logLine(String id, String subject) {
        return "burlarch: X-Request-ID " + escape(id, '!', MAX_ID_LENGTH) + " client "
                + escape(subject, ' ', MAX_SUBJECT_LENGTH) + "\n";
    }

    /**
     * Truncates the text and escapes characters below {@code firstPrintable} or beyond printable ASCII, which could end
     * the line or change how it is displayed.
     */
    private static String escape(String text, char firstPrintable, int maxLength) {
        StringBuilder escaped = new StringBuilder();
        for (int i = 0; i < Math.min(text.length(), maxLength); i++) {
            char character = text.charAt(i);
            escaped.append(
                    character >= firstPrintable && character <= '~'
                            ? Character.toString(character)
                            : String.format("\\u%04x", (int) character));
        }
        return escaped.toString();
    }
}
