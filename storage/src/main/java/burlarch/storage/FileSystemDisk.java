package burlarch.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * A {@link Disk} on a directory of the file system. Used by one thread at a time; every call may block on the device.
 *
 * <p>Requires a file system that makes a new file's directory entry durable with the file's own sync, as {@link Disk}
 * specifies; {@code Segment.create} syncs the directory as well.
 */
public final class FileSystemDisk implements Disk {
    private final Path directory;

    /** Uses a directory, which is created if it does not exist. */
    public FileSystemDisk(Path directory) throws IOException {
        this.directory = Files.createDirectories(directory);
    }

    @Override
    public List<String> listFiles() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(directory)) {
            for (Path entry : entries) {
                names.add(entry.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public DiskFile create(String name) throws IOException {
        return new FileChannelDiskFile(FileChannel.open(
                directory.resolve(name),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new FileChannelDiskFile(
                FileChannel.open(directory.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void remove(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
