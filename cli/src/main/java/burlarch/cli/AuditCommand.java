package burlarch.cli;

import burlarch.audit.Audit;
import burlarch.audit.RecordFile;
import burlarch.audit.Rules;
import burlarch.audit.Verdict;
import burlarch.settings.SettingsException;
import burlarch.settings.SettingsFile;
import burlarch.standins.fleet.FleetPlan;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that checks the records of a run against the rules; exits with 1 if a rule is violated. */
@Command(
        name = "audit",
        mixinStandardHelpOptions = true,
        description = "Checks the rules on the records of one run: those of its clients and those of its fleet.")
final class AuditCommand implements Callable<Integer> {
    @Option(
            names = "--fleet",
            paramLabel = "FILE",
            required = true,
            description = "The file whose classes say what may be repeated.")
    private Path fleet;

    @Parameters(paramLabel = "RECORDS", arity = "1..*")
    private List<Path> recordFiles;

    @Override
    public Integer call() throws IOException, SettingsException {
        Rules rules = Rules.standard(FleetPlan.read(SettingsFile.load(fleet)).repeats());
        Verdict verdict = Audit.of(RecordFile.read(recordFiles), rules);
        System.out.println(verdict.summary());
        verdict.breaches().forEach(System.out::println);
        return verdict.passed() ? 0 : 1;
    }
}
