package burlarch.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a signal reloads the file, and that an invalid or missing file changes nothing. */
class SettingsFileWatcherTest {
    private static final long TIMEOUT_SECONDS = 20;

    @TempDir
    private Path directory;

    private Path file;
    private final BlockingQueue<NodeSettings> reloaded = new LinkedBlockingQueue<>();
    private Thread thread;
    private SettingsFileWatcher watcher;

    @BeforeEach
    void start() throws Exception {
        file = directory.resolve("boot.toml");
        writeFile("10.9.0.1:1");
        watcher = new SettingsFileWatcher(file, reloaded::add);
        thread = new Thread(watcher);
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() {
        thread.interrupt();
    }

    private void writeFile(String seed) throws Exception {
        Files.writeString(
                file,
                "node_name = \"n1\"\nip = \"10.9.0.1\"\nport_range = [7000, 7009]\n" + "seeds = [\"" + seed + "\"]\n");
    }

    @Test
    void signalReloadsTheFile() throws Exception {
        writeFile("10.9.0.2:1");
        watcher.onSignal();
        NodeSettings settings = reloaded.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(settings).isNotNull();
        assertThat(settings.seeds()).isEqualTo(List.of("10.9.0.2:1"));
    }

    @Test
    void invalidFileIsSkippedAndLaterValidFileIsRead() throws Exception {
        Files.writeString(file, "node_name =");
        watcher.onSignal();
        Files.delete(file);
        watcher.onSignal();
        writeFile("10.9.0.3:1");
        watcher.onSignal();
        NodeSettings settings = reloaded.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertThat(settings).isNotNull();
        assertThat(settings.seeds()).isEqualTo(List.of("10.9.0.3:1"));
    }
}
