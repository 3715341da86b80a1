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
 * Reads the settings file again on SIGHUP, and where it changed without one. A file that is missing or wrong
 * changes nothing: what was read before stays in force.
 */
public final class SettingsFileWatcher implements Runnable {
    private static final long POLL_PERIOD_MILLIS = TimeUnit.SECONDS.toMillis(2);

    private final Path file;
    private final Consumer<NodeSettings> listener;
    private final Object wake = new Object();
    private FileTime lastSeenModified;
    private boolean signalled;

    SettingsFileWatcher(Path file, Consumer<NodeSettings> changed) {
        this.file = file;
        this.listener = changed;
        lastSeenModified = modified();
    }

    /**
     * Watches the file that the environment names; {@code changed} is called on a thread of the watch's
     * own. Does
     * nothing where it names none, as the settings have come otherwise then.
     */
    public static void start(Consumer<NodeSettings> changed) {
        String file = System.getenv(NodeSettings.FILE_VARIABLE);
        if (file == null) {
            return;
        }
        SettingsFileWatcher watch = new SettingsFileWatcher(Path.of(file), changed);
        HangupSignal.setListener(watch::onSignal);
        Thread thread = new Thread(watch, "settings");
        thread.setDaemon(true);
        thread.start();
    }

    /** The file is to be read, whether it changed or not. */
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

    /** Waits for a signal or the end of the period; true if the file is to be read. */
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
            Logger.info("settings read again");
        } catch (SettingsException e) {
            Logger.warn("settings stay as they were: {}", e.getMessage());
        }
    }
}
