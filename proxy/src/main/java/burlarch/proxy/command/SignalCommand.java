package burlarch.proxy.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * A subcommand that asks a running proxy for something by a signal. It sends none before it has seen that the
 * process is such a proxy and catches it, as one that is not caught may end the process.
 */
public final class SignalCommand {
    private final String name;
    private final String signal;
    private final int number;
    private final String feature;

    /** @param number of the signal, as the kernel counts them */
    public SignalCommand(String name, String signal, int number, String feature) {
        this.name = name;
        this.signal = signal;
        this.number = number;
        this.feature = feature;
    }

    /** @return what is wrong, or nothing once the signal is sent */
    public Optional<String> run(String[] arguments) throws IOException, InterruptedException {
        if (arguments.length != 3 || !arguments[1].equals("--pid") || !arguments[2].matches("[1-9][0-9]{0,8}")) {
            return Optional.of("usage: burlarch " + name + " --pid PID");
        }
        long pid = Long.parseLong(arguments[2]);
        Path process = Path.of("/proc", arguments[2]);
        List<String> words;
        List<String> status;
        try {
            words = List.of(Files.readString(process.resolve("cmdline")).split("\0"));
            status = Files.readAllLines(process.resolve("status"));
        } catch (IOException e) {
            return Optional.of("no process " + pid);
        }
        if (!serves(words)) {
            return Optional.of("process " + pid + " is not a proxy of this kind");
        }
        if (!catches(status)) {
            return Optional.of("process " + pid + " has no " + feature + " in service, or is not ready yet");
        }
        Process kill = new ProcessBuilder("/bin/sh", "-c", "kill -s " + signal + " " + pid)
                .redirectErrorStream(true)
                .start();
        String said = new String(kill.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return kill.waitFor() == 0 ? Optional.empty() : Optional.of("cannot signal process " + pid + ": " + said);
    }

    private static boolean serves(List<String> words) {
        int jar = words.indexOf("-jar") + 1;
        return jar > 0
                && jar + 1 < words.size()
                && Path.of(words.get(jar)).endsWith("burlarch.jar")
                && words.get(jar + 1).equals("serve");
    }

    private boolean catches(List<String> status) {
        return status.stream()
                .filter(line -> line.startsWith("SigCgt:"))
                .mapToLong(line -> Long.parseUnsignedLong(
                        line.substring("SigCgt:".length()).strip(), 16))
                .anyMatch(caught -> (caught >>> number - 1 & 1) == 1);
    }
}
