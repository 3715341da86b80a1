package burlarch.proxy.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Command-line subcommand that triggers an action in a running proxy by sending it a signal. The signal is sent only
 * after {@code /proc} shows that the process is a proxy and has a handler for it, because an unhandled signal may
 * terminate the process.
 */
public final class SignalCommand {
    private final String name;
    private final String signal;
    private final int signalNumber;
    private final String feature;

    /**
     * Creates the subcommand.
     *
     * @param signal name of the signal for {@code kill -s}
     * @param signalNumber the kernel's number of the signal
     * @param feature the proxy feature that handles the signal, for messages
     */
    public SignalCommand(String name, String signal, int signalNumber, String feature) {
        this.name = name;
        this.signal = signal;
        this.signalNumber = signalNumber;
        this.feature = feature;
    }

    /**
     * Parses the arguments and sends the signal.
     *
     * @return the error message; empty if the signal was sent
     */
    public Optional<String> run(String[] arguments) throws IOException, InterruptedException {
        if (arguments.length != 3 || !arguments[1].equals("--pid") || !arguments[2].matches("[1-9][0-9]{0,8}")) {
            return Optional.of("usage: burlarch " + name + " --pid PID");
        }
        long pid = Long.parseLong(arguments[2]);
        Path process = Path.of("/proc", arguments[2]);
        List<String> commandLine;
        List<String> status;
        try {
            commandLine = List.of(Files.readString(process.resolve("cmdline")).split("\0"));
            status = Files.readAllLines(process.resolve("status"));
        } catch (IOException e) {
            return Optional.of("no process " + pid);
        }
        if (!isProxy(commandLine)) {
            return Optional.of("process " + pid + " is not a proxy of this kind");
        }
        if (!handlesSignal(status)) {
            return Optional.of("process " + pid + " has no " + feature + " in service, or is not ready yet");
        }
        Process kill = new ProcessBuilder("/bin/sh", "-c", "kill -s " + signal + " " + pid)
                .redirectErrorStream(true)
                .start();
        String killOutput = new String(kill.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return kill.waitFor() == 0 ? Optional.empty() : Optional.of("cannot signal process " + pid + ": " + killOutput);
    }

    private static boolean isProxy(List<String> commandLine) {
        int jarIndex = commandLine.indexOf("-jar") + 1;
        return jarIndex > 0
                && jarIndex + 1 < commandLine.size()
                && Path.of(commandLine.get(jarIndex)).endsWith("burlarch.jar")
                && commandLine.get(jarIndex + 1).equals("serve");
    }

    private boolean handlesSignal(List<String> status) {
        return status.stream()
                .filter(line -> line.startsWith("SigCgt:"))
                .mapToLong(line -> Long.parseUnsignedLong(
                        line.substring("SigCgt:".length()).strip(), 16))
                .anyMatch(caughtSignals -> (caughtSignals >>> signalNumber - 1 & 1) == 1);
    }
}
