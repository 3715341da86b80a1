package burlarch.cli;

import burlarch.audit.FileSink;
import burlarch.audit.Sink;
import burlarch.lab.load.LoadGenerator;
import burlarch.lab.load.LoadPlan;
import burlarch.lab.load.LoadResult;
import burlarch.settings.LiteralAddresses;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.FleetPlan;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that sends an open-loop load to proxies on loopback. */
@Command(
        name = "load",
        mixinStandardHelpOptions = true,
        description = {
            "Sends requests on a schedule that waits for no answer, to loopback addresses only.",
            "Latency counts from when a request was due."
        })
final class LoadCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The load with its classes, as docs/lab.md says.")
    private Path file;

    @Option(
            names = "--target",
            paramLabel = "NAME=ADDRESS",
            required = true,
            description = "A proxy, as n0=127.0.0.1:9000; several share the load.")
    private List<String> targets;

    @Option(names = "--json", paramLabel = "FILE", description = "Write the figures there.")
    private Path json;

    @Option(names = "--hlog", paramLabel = "FILE", description = "Write HdrHistogram's log of seconds there.")
    private Path histogramLog;

    @Option(names = "--records", paramLabel = "FILE", description = "Write the records of the clients there.")
    private Path records;

    @Override
    public Integer call() throws Exception {
        SettingsFile settings = SettingsFile.load(file);
        LoadPlan plan = LoadPlan.read(settings, FleetPlan.read(settings));
        LoadGenerator.warmUp(plan);
        FileSink sink = records == null ? null : new FileSink(records);
        LoadResult result;
        try (LoadGenerator generator = LoadGenerator.start(plan, parseTargets(), sink == null ? Sink.NONE : sink)) {
            Runtime.getRuntime().addShutdownHook(new Thread(generator::stop, "burlarch-cleanup"));
            while (!generator.await(1, TimeUnit.SECONDS)) {
                System.err.println(generator.result().progressLine());
            }
            result = generator.result();
        }
        if (sink != null) {
            sink.close();
        }
        System.out.println(result.progressLine());
        if (json != null) {
            try (JsonGenerator jsonGenerator = new JsonFactory().createGenerator(Files.newBufferedWriter(json))) {
                jsonGenerator.useDefaultPrettyPrinter();
                result.write(jsonGenerator);
            }
        }
        if (histogramLog != null) {
            result.writeHistogramLog(histogramLog);
        }
        if (!result.valid()) {
            System.err.println("burlarch: the generator itself was late: these figures are not the servers'");
        }
        return result.valid() ? 0 : 1;
    }

    private List<LoadGenerator.Target> parseTargets() {
        List<LoadGenerator.Target> parsedTargets = new ArrayList<>();
        for (String text : targets) {
            int equals = text.indexOf('=');
            InetSocketAddress address = LiteralAddresses.parse(text.substring(equals + 1));
            if (!address.getAddress().isLoopbackAddress()) {
                throw new IllegalArgumentException("--target " + text + ": only loopback addresses are loaded");
            }
            parsedTargets.add(new LoadGenerator.Target(
                    equals < 0 ? "n" + parsedTargets.size() : text.substring(0, equals), address));
        }
        return parsedTargets;
    }
}
