package burlarch.node;

import burlarch.settings.SettingsException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * Watcher that reloads the settings file on SIGHUP and when its modification time has changed. A missing or invalid
 * file changes nothing: the settings that were read before stay in force.
 */
public final class SettingsFileWatcher implements Runnable {
    private static final long POLL_PERIOD_MILLIS = TimeUnit.SECONDS.toMillis(2);

    private final Path file;
    private final Consumer<NodeSettings> listener;
    private final Object lock = new Object();
    private FileTime lastModificationTime;
    private boolean reloadRequested;

    SettingsFileWatcher(Path file, Consumer<NodeSettings> listener) {
        this.file = file;
        this.listener = listener;
        lastModificationTime = readModificationTime();
    }

    /**
     * Watches the file that {@link NodeSettings#FILE_VARIABLE} names, on a thread of its own that also calls the
     * listener. Does nothing if the variable is not set, because then the settings do not come from a file.
     */
    public static void start(Consumer<NodeSettings> listener) {
        String file = System.getenv(NodeSettings.FILE_VARIABLE);
        if (file == null) {
            return;
        }
        SettingsFileWatcher watcher = new SettingsFileWatcher(Path.of(file), listener);
        HangupSignal.setListener(watcher::onSignal);
        Thread thread = new Thread(watcher, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    /** Requests a reload, whether the file has changed or not; may be called on any thread. */
    void onSignal() {
        synchronized (lock) {
            reloadRequested = true;
            lock.notifyAll();
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                if (awaitReloadDue()) {
                    reload();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a signal or the end of the poll period; returns whether the file has to be read. */
    private boolean awaitReloadDue() throws InterruptedException {
        synchronized (lock) {
            if (!reloadRequested) {
                lock.wait(POLL_PERIOD_MILLIS);
            }
            FileTime modificationTime = readModificationTime();
            boolean reloadDue =
                    reloadRequested || modificationTime != null && !modificationTime.equals(lastModificationTime);
            reloadRequested = false;
            lastModificationTime = modificationTime == null ? lastModificationTime : modificationTime;
            return reloadDue;
        }
    }

    /** Returns null if the file cannot be read. */
    private FileTime readModificationTime() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return null;
        }
    }

    private void reload() {
        try {
            listener.accept(NodeSettings.load(file));
            Logger.info("settings reloaded: file={}", file);
        } catch (SettingsException e) {
            Logger.warn("settings not reloaded: file={} error=\"{}\"", file, e.getMessage());
        }
    }
}
