package burlarch.cli;

import burlarch.lab.load.NullServer;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command that runs the null server until it is interrupted. */
@Command(
        name = "null-server",
        mixinStandardHelpOptions = true,
        description = "Answers everything at once, on loopback: what 'load' can do against it is load's own limit.")
final class NullServerCommand implements Callable<Integer> {
    @Option(names = "--port", defaultValue = "0", description = "0 for any that is free.")
    private int port;

    @Option(names = "--threads", defaultValue = "1")
    private int threads;

    @Override
    public Integer call() throws InterruptedException {
        try (NullServer server = new NullServer(threads, port)) {
            System.out.println("null server at 127.0.0.1:" + server.address().getPort());
            Thread.currentThread().join();
        }
        return 0;
    }
}
