package burlarch.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.golden.GoldenFiles;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Compares the output and exit codes of all commands with those of the previous release. */
@Timeout(60)
class CommandLineGoldenTest {
    private static final String DOCUMENT = "{\"config_version\":7,\"routes\":[],\"services\":[]}";
    private static final String INVALID_DOCUMENT = "{\"config_version\":7,\"routes\":[{}],\"services\":[]}";
    private static final String ERROR_BODY =
            "{\"error\":\"CONFLICT\",\"problems\":[{\"field\":\"routes[0]\",\"reason\":\"is missing\"}]}";
    private static final int[] STATUSES = {200, 400, 404, 405, 409, 412, 413, 422};

    @TempDir
    Path folder;

    @Test
    void transcriptEqualsThatOfPreviousRelease() throws Exception {
        assertThat(transcript(folder)).isEqualTo(new GoldenFiles("command-line").lines("transcript.txt"));
    }

    /** Returns each command line with its exit code, standard output and standard error. */
    static List<String> transcript(Path folder) throws Exception {
        Path document = Files.writeString(folder.resolve("document.json"), DOCUMENT);
        Path invalid = Files.writeString(folder.resolve("invalid.json"), INVALID_DOCUMENT);
        Path settings = Files.writeString(
                folder.resolve("node.toml"), "node_name = \"n1\"\nip = \"10.9.0.1\"\nport_range = [7000, 7009]\n");
        Path wrongSettings = Files.writeString(folder.resolve("wrong.toml"), "ip = 4\n");
        List<String> lines = new ArrayList<>();
        Runner runner = new Runner(folder, lines);
        runner.run("--help");
        runner.run();
        runner.run("steer");
        runner.run("--fast");
        runner.run("router", "x");
        runner.run("check-settings");
        runner.run("check-settings", settings.toString());
        runner.run("check-settings", wrongSettings.toString());
        runner.run("check-settings", folder.resolve("none.toml").toString());
        runner.run("router");
        runner.run("controller");
        runner.run("config");
        runner.run("config", "get");
        runner.run("config", "put", document.toString());
        runner.run("config", "validate", document.toString());
        runner.run("config", "validate", invalid.toString());
        runner.run("config", "validate", folder.resolve("none.json").toString());
        for (int status : STATUSES) {
            runConfigCommands(status, document, runner);
        }
        return lines;
    }

    private static void runConfigCommands(int status, Path document, Runner runner) throws Exception {
        HttpServer controller = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 8);
        controller.createContext("/", exchange -> {
            exchange.getRequestBody().readAllBytes();
            boolean isRead = exchange.getRequestMethod().equals("GET");
            runner.lines.add("  call: " + exchange.getRequestMethod() + " " + exchange.getRequestURI() + " If-Match "
                    + exchange.getRequestHeaders().getFirst("If-Match") + " Content-Type "
                    + exchange.getRequestHeaders().getFirst("Content-Type"));
            byte[] body = (isRead ? DOCUMENT : status == 200 ? "{}" : ERROR_BODY).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(isRead ? 200 : status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        controller.start();
        String address = "127.0.0.1:" + controller.getAddress().getPort();
        try {
            runner.lines.add("answered with " + status);
            if (status == 200) {
                runner.run("config", "get", "--control", address);
                runner.run("config", "put", document.toString(), "--control", address);
            }
            runner.run("config", "put", document.toString(), "--control", address, "--if-match", "3");
            runner.run("config", "patch", document.toString(), "--control", address, "--if-match", "3");
        } finally {
            controller.stop(0);
        }
    }

    private static final class Runner {
        private final Path folder;
        private final List<String> lines;

        Runner(Path folder, List<String> lines) {
            this.folder = folder;
            this.lines = lines;
        }

        void run(String... arguments) {
            ByteArrayOutputStream output = new ByteArrayOutputStream();
            ByteArrayOutputStream errors = new ByteArrayOutputStream();
            lines.add("> " + withoutVariableParts(String.join(" ", arguments)));
            int exitCode = Main.execute(
                    arguments,
                    new PrintStream(output, true, StandardCharsets.UTF_8),
                    new PrintStream(errors, true, StandardCharsets.UTF_8));
            addLines("  out: ", output);
            addLines("  err: ", errors);
            lines.add("  exit code " + exitCode);
        }

        private void addLines(String prefix, ByteArrayOutputStream text) {
            text.toString(StandardCharsets.UTF_8)
                    .lines()
                    .forEach(line -> lines.add(prefix + withoutVariableParts(line)));
        }

        /** Replaces the parts that differ between runs: folder and ports. */
        private String withoutVariableParts(String text) {
            return text.replace(folder.toString(), "FOLDER").replaceAll("127\\.0\\.0\\.1:[0-9]+", "CONTROL");
        }
    }
}
