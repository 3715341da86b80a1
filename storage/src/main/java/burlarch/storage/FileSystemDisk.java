package burlarch.storage;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** A folder of the file system. */
public final class FileSystemDisk implements Disk {
    private final Path folder;

    /** Takes a folder, which is made if it isn't there. */
    public FileSystemDisk(Path folder) throws IOException {
        this.folder = Files.createDirectories(folder);
    }

    @Override
    public List<String> listFiles() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(folder)) {
            for (Path entry : entries) {
                names.add(entry.getFileName().toString());
            }
        }
        return names;
    }

    @Override
    public DiskFile create(String name) throws IOException {
        return new FileChannelDiskFile(FileChannel.open(
                folder.resolve(name),
                StandardOpenOption.CREATE_NEW,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE));
    }

    @Override
    public DiskFile open(String name) throws IOException {
        return new FileChannelDiskFile(
                FileChannel.open(folder.resolve(name), StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public void remove(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }
}
