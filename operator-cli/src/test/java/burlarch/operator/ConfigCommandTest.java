package burlarch.operator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.kohsuke.args4j.CmdLineParser;

/** Tests the operator's commands against an HTTP server that stands in for a controller and records its calls. */
class ConfigCommandTest {
    private static final String CONFIGURATION = "{\"config_version\":7,\"routes\":[],\"services\":[]}";

    @TempDir
    Path temporaryFolder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final List<String> calls = Collections.synchronizedList(new ArrayList<>());
    private HttpServer controller;
    private String address;
    private int changeStatus = 200;
    private String changeResponse = "{}";

    @BeforeEach
    void startController() throws Exception {
        controller = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 8);
        controller.createContext("/burlarch/config", exchange -> {
            exchange.getRequestBody().readAllBytes();
            boolean isRead = exchange.getRequestMethod().equals("GET");
            calls.add(exchange.getRequestMethod() + " "
                    + exchange.getRequestHeaders().getFirst("If-Match"));
            byte[] body = (isRead ? CONFIGURATION : changeResponse).getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(isRead ? 200 : changeStatus, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        controller.start();
        address = "127.0.0.1:" + controller.getAddress().getPort();
    }

    @AfterEach
    void stopController() {
        controller.stop(0);
    }

    private void run(ConfigCommand.Action action, String... arguments) throws Exception {
        new CmdLineParser(action).parseArgument(arguments);
        action.run(new PrintStream(output, true, StandardCharsets.UTF_8));
    }

    private CommandException failure(ConfigCommand.Action action, String... arguments) {
        return catchThrowableOfType(CommandException.class, () -> run(action, arguments));
    }

    private String writeFile(String text) throws Exception {
        return Files.writeString(temporaryFolder.resolve("configuration.json"), text)
                .toString();
    }

    @Test
    void getPrintsTheConfigurationInForce() throws Exception {
        run(new ConfigCommand.Get(), "--control", address);
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualToIgnoringNewLines(CONFIGURATION);
    }

    @Test
    void putIsBasedOnTheVersionInForceUnlessIfMatchIsGiven() throws Exception {
        run(new ConfigCommand.Put(), writeFile(CONFIGURATION), "--control", address);
        run(new ConfigCommand.Put(), writeFile(CONFIGURATION), "--control", address, "--if-match", "3");
        assertThat(calls).containsExactly("GET null", "PUT 7", "PUT 3");
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("configuration 7 is acknowledged");
    }

    @Test
    void patchIsSentWithTheGivenBaseVersion() throws Exception {
        run(
                new ConfigCommand.Patch(),
                writeFile("{\"config_version\":9,\"delete\":{\"routes\":[\"old\"]}}"),
                "--control",
                address,
                "--if-match",
                "7");
        assertThat(calls).containsExactly("PATCH 7");
    }

    @Test
    void invalidFileIsRejectedAndNotSent() throws Exception {
        String file = writeFile("{\"config_version\":7,\"routes\":[{\"name\":\"r\"}],\"services\":[]}");
        CommandException failure = failure(new ConfigCommand.Put(), file, "--control", address);
        assertThat(failure.exitCode()).isEqualTo(CommandException.INVALID_CONFIGURATION);
        assertThat(failure).hasMessageContaining("routes[0]");
        assertThat(failure(new ConfigCommand.Validate(), file).exitCode())
                .isEqualTo(CommandException.INVALID_CONFIGURATION);
        assertThat(calls).isEmpty();
    }

    @Test
    void rejectionIsReportedWithItsReasons() throws Exception {
        changeResponse = "{\"error\":\"CONFLICT\",\"problems\":[]}";
        changeStatus = 412;
        CommandException conflict =
                failure(new ConfigCommand.Put(), writeFile(CONFIGURATION), "--control", address, "--if-match", "3");
        assertThat(conflict.exitCode()).isEqualTo(CommandException.VERSION_CONFLICT);
        assertThat(conflict).hasMessageContaining("CONFLICT");
        changeResponse = "{\"error\":\"INVALID\",\"problems\":[{\"field\":\"tenants\",\"reason\":\"shared key\"}]}";
        changeStatus = 400;
        CommandException invalid =
                failure(new ConfigCommand.Put(), writeFile(CONFIGURATION), "--control", address, "--if-match", "3");
        assertThat(invalid.exitCode()).isEqualTo(CommandException.INVALID_CONFIGURATION);
        assertThat(invalid).hasMessageContaining("tenants: shared key");
    }

    @Test
    void inconclusiveResponseIsRetriedAndThenReported() throws Exception {
        changeStatus = 503;
        CommandException outcomeUnknown =
                failure(new ConfigCommand.Put(), writeFile(CONFIGURATION), "--control", address, "--if-match", "3");
        assertThat(outcomeUnknown.exitCode()).isEqualTo(CommandException.OUTCOME_UNKNOWN);
        assertThat(calls).hasSizeGreaterThan(1).allMatch(call -> call.equals("PUT 3"));
    }

    @Test
    void unreachableControllerIsSkipped() throws Exception {
        run(new ConfigCommand.Get(), "--control", "127.0.0.1:1," + address);
        assertThat(calls).hasSize(1);
    }

    @Test
    void invalidControlAddressIsRejected() {
        assertThat(failure(new ConfigCommand.Get(), "--control", "here").exitCode())
                .isEqualTo(CommandException.INVALID_USAGE);
    }
}
