package burlarch.cli;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks that dependencies between the layers run one way, and that the decision code uses no I/O, no clock and no
 * library.
 */
class LayersTest {
    private static final JavaClasses ALL_CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("burlarch");

    private static ArchRule dependsOnlyOnJdkAnd(String packageName, String... sharedPackages) {
        List<String> allowed = new ArrayList<>(List.of(sharedPackages));
        allowed.addAll(List.of(
                packageName,
                "java.lang",
                "java.lang.runtime",
                "java.lang.invoke",
                "java.util",
                "java.util.function",
                "java.util.stream"));
        return classes()
                .that()
                .resideInAPackage(packageName)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(allowed.toArray(String[]::new));
    }

    private static ArchRule usesNoClockOrThread(String packageName) {
        return noClasses()
                .that()
                .resideInAPackage(packageName)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .accessField(System.class, "in")
                .orShould()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class);
    }

    @Test
    void layersDependInOneDirection() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("admission")
                .definedBy("burlarch.admission..")
                .layer("decisions")
                .definedBy("burlarch.decisions..")
                .layer("overload")
                .definedBy("burlarch.overload..")
                .layer("settings")
                .definedBy("burlarch.settings..")
                .layer("audit")
                .definedBy("burlarch.audit..")
                .layer("trace")
                .definedBy("burlarch.trace..")
                .layer("proxy")
                .definedBy("burlarch.proxy..", "burlarch.wire..")
                .layer("standins")
                .definedBy("burlarch.standins..")
                .layer("lab")
                .definedBy("burlarch.lab..")
                .layer("cli")
                .definedBy("burlarch.cli..")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("lab")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("proxy")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("standins")
                .mayOnlyBeAccessedByLayers("lab", "cli")
                .whereLayer("admission")
                .mayOnlyBeAccessedByLayers("decisions")
                .whereLayer("decisions")
                .mayOnlyBeAccessedByLayers("proxy")
                .whereLayer("overload")
                .mayOnlyBeAccessedByLayers("proxy")
                .whereLayer("audit")
                .mayOnlyBeAccessedByLayers("standins", "lab", "cli")
                .whereLayer("trace")
                .mayOnlyBeAccessedByLayers("proxy", "lab", "cli")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("proxy", "standins", "lab", "cli")
                .check(ALL_CLASSES);
    }

    @Test
    void decisionsUseNoIoNoClockAndNoLibrary() {
        dependsOnlyOnJdkAnd("burlarch.decisions", "burlarch.admission").check(ALL_CLASSES);
        usesNoClockOrThread("burlarch.decisions").check(ALL_CLASSES);
    }

    @Test
    void admissionUsesNoIoNoClockAndNoLibrary() {
        dependsOnlyOnJdkAnd("burlarch.admission").check(ALL_CLASSES);
        usesNoClockOrThread("burlarch.admission").check(ALL_CLASSES);
    }

    @Test
    void overloadUsesNoIoNoClockAndNoLibrary() {
        dependsOnlyOnJdkAnd("burlarch.overload").check(ALL_CLASSES);
        usesNoClockOrThread("burlarch.overload").check(ALL_CLASSES);
    }

    @Test
    void standInModelsUseNoIoAndNoClock() {
        dependsOnlyOnJdkAnd("burlarch.standins.model").check(ALL_CLASSES);
        usesNoClockOrThread("burlarch.standins.model").check(ALL_CLASSES);
    }

    /** Guards against vacuous rules: each kind of rule must fail on code that violates it. */
    @Test
    void rulesFailOnViolatingPackages() {
        assertTrue(assertThrows(AssertionError.class, () -> dependsOnlyOnJdkAnd("burlarch.proxy..")
                        .check(ALL_CLASSES))
                .getMessage()
                .contains("io.netty"));
        assertThrows(AssertionError.class, () -> usesNoClockOrThread("burlarch.standins.fleet")
                .check(ALL_CLASSES));
    }
}
