package burlarch.cli;

import burlarch.audit.FileSink;
import burlarch.audit.Sink;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.Fleet;
import burlarch.standins.fleet.FleetControl;
import burlarch.standins.fleet.FleetPlan;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that runs the fleet stand-ins until it is interrupted. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = {
            "Runs stand-ins of cache nodes, ledger and discovery on loopback until it is interrupted.",
            "POST a fault's lines to /faults of the control port to inject it; GET /state shows the nodes."
        })
final class FleetCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "The fleet, as docs/lab.md says; other tables are left alone.")
    private Path file;

    @Option(names = "--records", paramLabel = "FILE", description = "Write the records of all parties there.")
    private Path records;

    @Option(names = "--known", paramLabel = "FOLDER", description = "Write each proxy's list as known there.")
    private Path known;

    @Option(names = "--for", paramLabel = "SECONDS", description = "End by itself after that time.")
    private double seconds;

    @Override
    public Integer call() throws Exception {
        FleetPlan plan = FleetPlan.read(SettingsFile.load(file));
        FileSink sink = records == null ? null : new FileSink(records);
        try (Fleet fleet = Fleet.start(plan, sink == null ? Sink.NONE : sink);
                FleetControl control = FleetControl.start(fleet, plan.host(), plan.controlPort())) {
            fleet.onFault(text -> System.out.println("fault: " + text));
            System.out.println("control http://" + plan.host() + ":" + control.port());
            for (FleetPlan.ProxyPlan proxyPlan : plan.proxyPlans()) {
                System.out.println("proxy " + proxyPlan.name() + " in " + proxyPlan.zone() + ": discovery "
                        + fleet.discovery(proxyPlan.name()));
                if (known != null) {
                    Files.createDirectories(known);
                    Files.writeString(
                            known.resolve(proxyPlan.name() + ".json"), fleet.memberListJson(proxyPlan.name()));
                }
            }
            System.out.println(plan.nodes().size() - 1 + " cache nodes and the ledger are up");
            fleet.runScript();
            CountDownLatch interrupted = new CountDownLatch(1);
            Thread hook = new Thread(
                    () -> {
                        interrupted.countDown();
                        close(sink);
                    },
                    "burlarch-cleanup");
            Runtime.getRuntime().addShutdownHook(hook);
            if (seconds > 0) {
                interrupted.await((long) (seconds * 1000), TimeUnit.MILLISECONDS);
            } else {
                interrupted.await();
            }
        }
        close(sink);
        return 0;
    }

    private static void close(FileSink sink) {
        if (sink != null) {
            try {
                sink.close();
            } catch (java.io.IOException e) {
                System.err.println("burlarch: the records are incomplete: " + e.getMessage());
            }
        }
    }
}
