package burlarch.proxy.tls;

import burlarch.proxy.Log;
import burlarch.proxy.RequestHandler;
import burlarch.settings.SettingsException;
import io.netty.channel.Channel;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslHandler;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The TLS port: what is behind the handshake is the plain port's. Certificates are read and checked on a
 * thread of its own; the loop takes whichever are good at the moment for each new connection.
 */
public final class TlsPort implements RequestHandler.Port {
    /** Under the 3 s within which a peer is owed an error or a close. */
    private static final long HANDSHAKE_MOST_MS = 2000;

    private static final long CLOSE_MOST_MS = 500;

    private final TlsSettings settings;
    private final ScheduledExecutorService loader = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "burlarch-tls");
        thread.setDaemon(true);
        return thread;
    });
    private RequestHandler plain;
    /** Certificate and key as one; those of open connections go on with the context that they began with. */
    private volatile SslContext context;
    /** What was last tried, good or not, and what was wrong with it. */
    private Certificates tried;

    private String wrong = "";

    private TlsPort(TlsSettings settings, Certificates certificates) throws IOException {
        this.settings = settings;
        this.tried = certificates;
        this.context = certificates.context();
    }

    /** Reads the certificates, on the caller's thread. */
    public static TlsPort load(TlsSettings settings) throws SettingsException {
        try {
            return new TlsPort(settings, Certificates.read(settings));
        } catch (IOException e) {
            throw new SettingsException("tls: " + e.getMessage());
        }
    }

    /** From now on looks for changed certificates. */
    public void start(RequestHandler requests) {
        plain = requests;
        loader.scheduleWithFixedDelay(
                () -> reload(false), settings.checkSeconds(), settings.checkSeconds(), TimeUnit.SECONDS);
    }

    @Override
    public RequestHandler open(Channel channel) {
        SslHandler handler = context.newHandler(channel.alloc());
        handler.setHandshakeTimeoutMillis(HANDSHAKE_MOST_MS);
        handler.setCloseNotifyFlushTimeoutMillis(CLOSE_MOST_MS);
        channel.pipeline().addLast(handler);
        return settings.clientCa() == null ? plain : new NamedRequests(plain, handler.engine());
    }

    /** Reads the certificates again because somebody asks, and says what came of it. */
    public void reloadNow() {
        try {
            loader.execute(() -> reload(true));
        } catch (RejectedExecutionException e) {
            Log.line("no reload of the certificates at the end of a drain");
        }
    }

    /** @param asked whether to say what came of it, though nothing has changed */
    private void reload(boolean asked) {
        try {
            Certificates now = Certificates.read(settings);
            if (now.sameAs(tried) && !asked) {
                return;
            }
            tried = now;
            context = now.context();
            wrong = "";
            Log.line("certificates read again");
        } catch (IOException | RuntimeException e) {
            // Each check of a file that stays away would say the same.
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            if (asked || !message.equals(wrong)) {
                Log.line("the certificates stay as they were: " + message);
            }
            wrong = message;
        }
    }

    public void close() {
        loader.shutdownNow();
    }
}
