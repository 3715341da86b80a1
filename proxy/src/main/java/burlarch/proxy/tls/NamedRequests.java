package burlarch.proxy.tls;

import burlarch.proxy.Headers;
import burlarch.proxy.Log;
import burlarch.proxy.Rejection;
import burlarch.proxy.RequestHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.security.auth.x500.X500Principal;

/** The requests of one TLS connection, each logged with the subject of its client's certificate, if any. */
final class NamedRequests implements RequestHandler {
    private static final int ID_LONGEST = 128;
    private static final int SUBJECT_LONGEST = 512;

    private final RequestHandler plain;
    private final SSLEngine engine;
    /** Null before the first request, empty where no certificate was given. */
    private String subject;

    NamedRequests(RequestHandler plain, SSLEngine engine) {
        this.plain = plain;
        this.engine = engine;
    }

    @Override
    public String allow() {
        return plain.allow();
    }

    @Override
    public Runnable handle(FullHttpRequest request, long readNanos, Reply reply) throws Rejection {
        String id = request.headers().get(Headers.REQUEST_ID);
        Runnable leave = plain.handle(request, readNanos, reply);
        if (subject == null) {
            subject = subject();
        }
        if (!subject.isEmpty()) {
            String name = subject;
            Log.block(() -> line(id, name));
        }
        return leave;
    }

    private String subject() {
        try {
            return ((X500Principal) engine.getSession().getPeerPrincipal()).getName(X500Principal.RFC2253);
        } catch (SSLPeerUnverifiedException e) {
            return "";
        }
    }

    /** The subject comes last, as it may hold blanks; the id may not, or it could name another subject. */
    static String line(String id, String subject) {
        return "burlarch: X-Request-ID " + printable(id, '!', ID_LONGEST) + " client "
                + printable(subject, ' ', SUBJECT_LONGEST) + "\n";
    }

    /** What is below the first character or beyond ASCII might end the line or change how it is shown. */
    private static String printable(String text, char first, int longest) {
        StringBuilder safe = new StringBuilder();
        for (int i = 0; i < Math.min(text.length(), longest); i++) {
            char c = text.charAt(i);
            safe.append(c >= first && c <= '~' ? Character.toString(c) : String.format("\\u%04x", (int) c));
        }
        return safe.toString();
    }
}
