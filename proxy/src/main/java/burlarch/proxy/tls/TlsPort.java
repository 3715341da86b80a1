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
 * Client port with TLS. After the handshake, requests are handled as on the plain port. Certificates are read and
 * checked on a separate thread; the event loop uses the last valid ones for each new connection.
 */
public final class TlsPort implements RequestHandler.Port {
    /** Below the 3 s within which a peer must get an error or a close. */
    private static final long HANDSHAKE_TIMEOUT_MS = 2000;

    private static final long CLOSE_NOTIFY_TIMEOUT_MS = 500;

    private final TlsSettings settings;
    private final ScheduledExecutorService loader = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "burlarch-tls");
        thread.setDaemon(true);
        return thread;
    });
    private RequestHandler requestHandler;
    /** Certificate and key are replaced together; open connections keep the context that they started with. */
    private volatile SslContext context;
    /** The files as last read, valid or not. Used only on the loader thread after construction. */
    private CertificateFiles lastRead;

    /** Why the last reload failed; empty if it succeeded. */
    private String lastError = "";

    private TlsPort(TlsSettings settings, CertificateFiles files) throws IOException {
        this.settings = settings;
        this.lastRead = files;
        this.context = files.context();
    }

    /**
     * Reads the certificates on the caller's thread and creates the port.
     *
     * @throws SettingsException if a file is unreadable or invalid
     */
    public static TlsPort load(TlsSettings settings) throws SettingsException {
        try {
            return new TlsPort(settings, CertificateFiles.read(settings));
        } catch (IOException e) {
            throw new SettingsException("tls: " + e.getMessage());
        }
    }

    /**
     * Starts checking the files for changes periodically. To be called before the port is bound.
     *
     * @param handler receiver of the decrypted requests
     */
    public void start(RequestHandler handler) {
        requestHandler = handler;
        loader.scheduleWithFixedDelay(
                () -> reload(false),
                settings.checkIntervalSeconds(),
                settings.checkIntervalSeconds(),
                TimeUnit.SECONDS);
    }

    @Override
    public RequestHandler open(Channel channel) {
        SslHandler handler = context.newHandler(channel.alloc());
        handler.setHandshakeTimeoutMillis(HANDSHAKE_TIMEOUT_MS);
        handler.setCloseNotifyFlushTimeoutMillis(CLOSE_NOTIFY_TIMEOUT_MS);
        channel.pipeline().addLast(handler);
        return settings.clientCa() == null
                ? requestHandler
                : new ClientCertificateLogger(requestHandler, handler.engine());
    }

    /** Reloads the certificates at an operator's request, in the background, and logs the result. */
    public void reloadNow() {
        try {
            loader.execute(() -> reload(true));
        } catch (RejectedExecutionException e) {
            Log.line("certificates not reloaded: the proxy is shutting down");
        }
    }

    /**
     * Reads the files and replaces the context if they are valid.
     *
     * @param requested whether an operator requested it: the result is logged even if nothing has changed
     */
    private void reload(boolean requested) {
        try {
            CertificateFiles current = CertificateFiles.read(settings);
            if (current.sameAs(lastRead) && !requested) {
                return;
            }
            lastRead = current;
            context = current.context();
            lastError = "";
            Log.line("certificates read again");
        } catch (IOException | RuntimeException e) {
            // Periodic checks would repeat the same message while the fault lasts.
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            if (requested || !message.equals(lastError)) {
                Log.line("the certificates stay as they were: " + message);
            }
            lastError = message;
        }
    }

    /** Stops checking for changes. Open connections are not affected. */
    public void close() {
        loader.shutdownNow();
    }
}
