package burlarch.golden;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Reader of the golden files in one directory below {@code src/test/resources/golden} of the module under test. */
public final class GoldenFiles {
    private static final String ROOT = "golden/";
    private static final String HEX_EXTENSION = ".hex";

    private final String directory;

    /** @param directory name of a directory below {@code golden}, for instance {@code frames} */
    public GoldenFiles(String directory) {
        this.directory = ROOT + directory;
    }

    /** Returns the bytes in the file {@code name.hex}, which consists of hexadecimal digits in lines of any length. */
    public byte[] bytes(String name) {
        return HexFormat.of().parseHex(text(name + HEX_EXTENSION).replaceAll("\\s", ""));
    }

    /**
     * Returns the content of a text file.
     *
     * @throws IllegalArgumentException if there is no such file
     */
    public String text(String fileName) {
        String path = directory + "/" + fileName;
        try (InputStream file = GoldenFiles.class.getClassLoader().getResourceAsStream(path)) {
            if (file == null) {
                throw new IllegalArgumentException("golden file does not exist: " + path);
            }
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the lines of a text file except blank lines and comments, which begin with {@code #}. */
    public List<String> lines(String fileName) {
        return text(fileName)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    /** Returns the sorted names, without extension, of the {@code .hex} files in the directory. */
    public Set<String> hexNames() {
        URL directoryUrl = GoldenFiles.class.getClassLoader().getResource(directory);
        if (directoryUrl == null) {
            throw new IllegalArgumentException("directory of golden files does not exist: " + directory);
        }
        try (Stream<Path> files = Files.list(Path.of(directoryUrl.toURI()))) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(HEX_EXTENSION))
                    .map(name -> name.substring(0, name.length() - HEX_EXTENSION.length()))
                    .collect(Collectors.toCollection(TreeSet::new));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
