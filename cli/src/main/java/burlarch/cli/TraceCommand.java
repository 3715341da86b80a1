package burlarch.cli;

import burlarch.lab.load.LoadGenerator;
import burlarch.lab.load.LoadPlan;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.FleetPlan;
import burlarch.trace.TraceReader;
import burlarch.trace.TraceRecord;
import burlarch.trace.Traces;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command group that records, shows and edits traces. */
@Command(
        name = "trace",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        description = "Makes, shows and changes traces; 'load' replays them (docs/trace-format.md).")
final class TraceCommand {
    @Command(name = "record", description = "Writes down the requests of a load, without sending any.")
    int record(
            @Parameters(paramLabel = "FILE", description = "The load, as 'burlarch load' takes it.") Path file,
            @Parameters(paramLabel = "TRACE") Path trace)
            throws IOException, SettingsException {
        SettingsFile settings = SettingsFile.load(file);
        LoadGenerator.record(LoadPlan.read(settings, FleetPlan.read(settings)), trace);
        return show(trace, 0);
    }

    @Command(name = "show", description = "Says what a trace holds.")
    int show(
            @Parameters(paramLabel = "TRACE") Path trace,
            @Option(names = "--first", paramLabel = "N", defaultValue = "0", description = "The first records too.")
                    int first)
            throws IOException {
        Traces.Summary summary = Traces.summary(trace);
        System.out.printf(
                Locale.ROOT,
                "%s: %d requests in %.3f s, %d of them writes, %d keys, " + "at most %d in a " + "second%n",
                trace,
                summary.records(),
                summary.spanNanos() / 1e9,
                summary.writes(),
                summary.keys(),
                summary.busiestSecond());
        summary.byClass().forEach((name, count) -> System.out.println("  class " + name + " " + count));
        summary.byTenant().forEach((name, count) -> System.out.println("  tenant " + name + " " + count));
        try (TraceReader reader = new TraceReader(trace)) {
            for (int i = 0; i < first; i++) {
                TraceRecord traceRecord = reader.next();
                if (traceRecord == null) {
                    break;
                }
                System.out.printf(
                        Locale.ROOT,
                        "%12.6f s  %s %s %s %s %d ms%n",
                        traceRecord.dueNanos() / 1e9,
                        traceRecord.write() ? "PUT" : "GET",
                        traceRecord.requestClass(),
                        traceRecord.tenant(),
                        traceRecord.key(),
                        traceRecord.timeoutMs());
            }
        }
        return 0;
    }

    @Command(name = "cut", description = "Keeps what is due from one time to before another.")
    int cut(
            @Parameters(paramLabel = "FROM") Path from,
            @Parameters(paramLabel = "TO") Path to,
            @Option(names = "--from", paramLabel = "SECONDS", defaultValue = "0") double fromS,
            @Option(names = "--until", paramLabel = "SECONDS", required = true) double untilS)
            throws IOException {
        requireDistinct(to, List.of(from));
        System.out.println(Traces.cut(from, to, (long) (fromS * 1e9), (long) (untilS * 1e9)) + " requests");
        return 0;
    }

    @Command(name = "scale", description = "Stretches the time, or takes each request so many times.")
    int scale(
            @Parameters(paramLabel = "FROM") Path from,
            @Parameters(paramLabel = "TO") Path to,
            @Option(names = "--time", paramLabel = "TIMES", defaultValue = "1") double time,
            @Option(names = "--rate", paramLabel = "TIMES", defaultValue = "1") double rate)
            throws IOException {
        if (!(time > 0 && time <= 1000 && rate > 0 && rate <= 1000)) {
            throw new IllegalArgumentException("--time and --rate must be greater than 0 and at most 1000");
        }
        requireDistinct(to, List.of(from));
        System.out.println(Traces.scale(from, to, time, rate) + " requests");
        return 0;
    }

    @Command(name = "merge", description = "Puts traces on top of each other, each from its own start.")
    int merge(
            @Parameters(paramLabel = "TO", index = "0") Path to,
            @Parameters(paramLabel = "FROM", index = "1..*", arity = "1..*") List<Path> from)
            throws IOException {
        requireDistinct(to, from);
        System.out.println(Traces.merge(from, to) + " requests");
        return 0;
    }

    /** Rejects an output file that is also an input: writing it would destroy the data being read. */
    private static void requireDistinct(Path to, List<Path> from) {
        for (Path source : from) {
            if (source.toAbsolutePath().normalize().equals(to.toAbsolutePath().normalize())) {
                throw new IllegalArgumentException(to + " is an input and cannot be the output: name another file");
            }
        }
    }
}
