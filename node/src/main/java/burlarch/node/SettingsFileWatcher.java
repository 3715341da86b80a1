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
 * Reads the settings file again on SIGHUP, and when its modification time has changed. A file that is missing or
 * invalid changes nothing: the settings that were read before stay in force.
 */
public final class SettingsFileWatcher implements Runnable {
    private static final long POLL_PERIOD_MILLIS = TimeUnit.SECONDS.toMillis(2);

    private final Path file;
    private final Consumer<NodeSettings> listener;
    private final Object wake = new Object();
    private FileTime lastSeenModified;
    private boolean signalled;

    SettingsFileWatcher(Path file, Consumer<NodeSettings> listener) {
        this.file = file;
        this.listener = listener;
        lastSeenModified = modified();
    }

    /**
     * Watches the file that the environment variable names, on a thread of its own, on which the listener is called
     * too. Does nothing if the variable is not set, because the settings did not come from a file then.
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

    /** The file is read again soon, whether it has changed or not. */
    void onSignal() {
        synchronized (wake) {
            signalled = true;
            wake.notifyAll();
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                if (await()) {
                    read();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits for a signal or the end of the period; true if the file has to be read. */
    private boolean await() throws InterruptedException {
        synchronized (wake) {
            if (!signalled) {
                wake.wait(POLL_PERIOD_MILLIS);
            }
            FileTime now = modified();
            boolean due = signalled || now != null && !now.equals(lastSeenModified);
            signalled = false;
            lastSeenModified = now == null ? lastSeenModified : now;
            return due;
        }
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(file);
        } catch (IOException e) {
            return null;
        }
    }

    private void read() {
        try {
            listener.accept(NodeSettings.load(file));
            Logger.info("settings reloaded: file={}", file);
        } catch (SettingsException e) {
            Logger.warn("settings not reloaded: file={} error=\"{}\"", file, e.getMessage());
        }
    }
}
