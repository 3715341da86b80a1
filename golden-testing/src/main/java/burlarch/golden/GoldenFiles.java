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

/** The golden files of one folder below {@code src/test/resources/golden} of the module under test. */
public final class GoldenFiles {
    private static final String ROOT = "golden/";
    private static final String HEX_ENDING = ".hex";

    private final String folder;

    /** @param folder name of a folder below {@code golden}, for instance {@code frames} */
    public GoldenFiles(String folder) {
        this.folder = ROOT + folder;
    }

    /** The bytes of the file {@code name.hex}, which holds hexadecimal digits in lines of any length. */
    public byte[] bytes(String name) {
        return HexFormat.of().parseHex(text(name + HEX_ENDING).replaceAll("\\s", ""));
    }

    /** The content of a text file. */
    public String text(String fileName) {
        String path = folder + "/" + fileName;
        try (InputStream file = GoldenFiles.class.getClassLoader().getResourceAsStream(path)) {
            if (file == null) {
                throw new IllegalArgumentException("no golden file: " + path);
            }
            return new String(file.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The lines of a text file, without empty ones and without those that begin with a number sign. */
    public List<String> lines(String fileName) {
        return text(fileName)
                .lines()
                .filter(line -> !line.isBlank() && !line.startsWith("#"))
                .toList();
    }

    /** Names, without ending, of the files with hexadecimal digits in the folder, sorted. */
    public Set<String> hexNames() {
        URL found = GoldenFiles.class.getClassLoader().getResource(folder);
        if (found == null) {
            throw new IllegalArgumentException("no folder of golden files: " + folder);
        }
        try (Stream<Path> files = Files.list(Path.of(found.toURI()))) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(HEX_ENDING))
                    .map(name -> name.substring(0, name.length() - HEX_ENDING.length()))
                    .collect(Collectors.toCollection(TreeSet::new));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }
}
