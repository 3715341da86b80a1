package burlarch.emulator.layers;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.belongToAnyOf;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.library.Architectures;
import java.util.ArrayList;
import java.util.List;
import java.util.Timer;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/**
 * Architecture rules of the modules: dependencies between layers are acyclic, and the packages that make decisions do
 * no I/O, read no clock and use no thread.
 */
class FleetLayersTest {
    private static final ImportOption EXCLUDE_TEST_CLASSES = location -> !location.contains("/test-classes/");
    private static final JavaClasses ALL_CLASSES =
            new ClassFileImporter().withImportOption(EXCLUDE_TEST_CLASSES).importPackages("burlarch");
    private static final List<String> LANGUAGE_PACKAGES = List.of(
            "java.lang",
            "java.lang.runtime",
            "java.lang.invoke",
            "java.util",
            "java.util.function",
            "java.util.random",
            "java.util.stream");

    /**
     * Permits dependencies on the given packages and on those of the language only. {@link TimeUnit} and {@link CRC32}
     * are permitted too, because they only compute.
     */
    private static ArchRule dependsOnlyOn(String packageName, String... otherPackages) {
        List<String> allowedPackages = new ArrayList<>(LANGUAGE_PACKAGES);
        allowedPackages.add(packageName);
        allowedPackages.addAll(List.of(otherPackages));
        return noClasses()
                .that()
                .resideInAPackage(packageName)
                .should()
                .dependOnClassesThat(not(resideInAnyPackage(allowedPackages.toArray(String[]::new)))
                        .and(not(belongToAnyOf(TimeUnit.class, CRC32.class))));
    }

    private static ArchRule usesNoClockAndNoThread(String packageName) {
        return noClasses()
                .that()
                .resideInAPackage(packageName)
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Timer.class)
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("java.time..");
    }

    private static ArchRule usesNoStandardStreams(String packageName) {
        return noClasses()
                .that()
                .resideInAPackage(packageName)
                .should()
                .accessField(System.class, "in")
                .orShould()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err");
    }

    @Test
    void modulesRespectTheLayers() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("admission")
                .definedBy("burlarch.admission..")
                .layer("configuration")
                .definedBy("burlarch.configuration..")
                .layer("coordination")
                .definedBy("burlarch.coordination..")
                .layer("storage")
                .definedBy("burlarch.storage..")
                .layer("transport")
                .definedBy("burlarch.transport..")
                .layer("routing")
                .definedBy("burlarch.routing..")
                .layer("settings")
                .definedBy("burlarch.settings..")
                .layer("node")
                .definedBy("burlarch.node..")
                .layer("engine-client")
                .definedBy("burlarch.engine..")
                .layer("controller")
                .definedBy("burlarch.controller..")
                .layer("router")
                .definedBy("burlarch.router..")
                .layer("operator-cli")
                .definedBy("burlarch.operator..")
                .layer("fleet")
                .definedBy("burlarch.fleet..")
                .layer("simulation")
                .definedBy("burlarch.simulation..")
                .layer("emulator")
                .definedBy("burlarch.emulator..")
                .whereLayer("emulator")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("emulator")
                .mayNotAccessAnyLayer()
                .whereLayer("simulation")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("fleet")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("operator-cli")
                .mayOnlyBeAccessedByLayers("fleet")
                .whereLayer("controller")
                .mayOnlyBeAccessedByLayers("fleet", "simulation")
                .whereLayer("router")
                .mayOnlyBeAccessedByLayers("fleet", "simulation")
                .whereLayer("engine-client")
                .mayOnlyBeAccessedByLayers("controller", "router", "simulation")
                .whereLayer("node")
                .mayOnlyBeAccessedByLayers("controller", "router", "fleet", "simulation")
                .whereLayer("routing")
                .mayOnlyBeAccessedByLayers("engine-client", "router", "simulation")
                .whereLayer("transport")
                .mayOnlyBeAccessedByLayers("node", "controller", "router", "simulation")
                .whereLayer("storage")
                .mayOnlyBeAccessedByLayers("controller", "simulation")
                .whereLayer("settings")
                .mayOnlyBeAccessedByLayers("node", "controller", "router", "fleet")
                .whereLayer("configuration")
                .mayOnlyBeAccessedByLayers("routing", "controller", "router", "operator-cli", "simulation")
                .whereLayer("coordination")
                .mayOnlyBeAccessedByLayers(
                        "routing",
                        "transport",
                        "storage",
                        "node",
                        "engine-client",
                        "controller",
                        "router",
                        "simulation")
                .whereLayer("admission")
                .mayOnlyBeAccessedByLayers("routing")
                .whereLayer("configuration")
                .mayNotAccessAnyLayer()
                .whereLayer("coordination")
                .mayNotAccessAnyLayer()
                .whereLayer("admission")
                .mayNotAccessAnyLayer()
                .check(ALL_CLASSES);
    }

    /** The packages that face clients and instances depend neither on each other nor on the code that forwards. */
    @Test
    void controllerPackagesRespectTheLayers() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("program")
                .definedBy("burlarch.controller")
                .layer("api")
                .definedBy("burlarch.controller.api")
                .layer("rollout")
                .definedBy("burlarch.controller.rollout")
                .layer("ownership")
                .definedBy("burlarch.controller.ownership")
                .layer("instances")
                .definedBy("burlarch.controller.instances")
                .layer("distribution")
                .definedBy("burlarch.controller.distribution")
                .layer("register")
                .definedBy("burlarch.controller.register")
                .layer("peers")
                .definedBy("burlarch.controller.peers")
                .layer("state")
                .definedBy("burlarch.controller.state")
                .layer("error")
                .definedBy("burlarch.controller.error")
                .whereLayer("program")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("api")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("rollout")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("ownership")
                .mayOnlyBeAccessedByLayers("program", "rollout")
                .whereLayer("instances")
                .mayOnlyBeAccessedByLayers("program", "api")
                .whereLayer("distribution")
                .mayOnlyBeAccessedByLayers("program", "api", "rollout", "instances")
                .whereLayer("register")
                .mayOnlyBeAccessedByLayers("program", "api", "ownership", "instances", "distribution")
                .whereLayer("peers")
                .mayOnlyBeAccessedByLayers("program", "ownership", "instances", "register")
                .whereLayer("state")
                .mayOnlyBeAccessedByLayers("program", "api", "rollout", "ownership", "distribution", "register")
                .whereLayer("error")
                .mayOnlyBeAccessedByLayers("api", "register", "state")
                .check(ALL_CLASSES);
    }

    @Test
    void controllerStateUsesNoClockAndNoThread() {
        usesNoClockAndNoThread("burlarch.controller.state..").check(ALL_CLASSES);
    }

    @Test
    void routerPackagesRespectTheLayers() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("program")
                .definedBy("burlarch.router")
                .layer("forwarding")
                .definedBy("burlarch.router.forwarding")
                .layer("server")
                .definedBy("burlarch.router.server")
                .layer("upstream")
                .definedBy("burlarch.router.upstream")
                .layer("control")
                .definedBy("burlarch.router.control")
                .layer("prefixcache")
                .definedBy("burlarch.router.prefixcache")
                .layer("lifecycle")
                .definedBy("burlarch.router.lifecycle")
                .layer("http")
                .definedBy("burlarch.router.http")
                .whereLayer("program")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("forwarding")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("control")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("prefixcache")
                .mayOnlyBeAccessedByLayers("program")
                .whereLayer("server")
                .mayOnlyBeAccessedByLayers("program", "forwarding")
                .whereLayer("upstream")
                .mayOnlyBeAccessedByLayers("program", "forwarding")
                .whereLayer("lifecycle")
                .mayOnlyBeAccessedByLayers("program", "forwarding", "server")
                .whereLayer("http")
                .mayOnlyBeAccessedByLayers("forwarding", "server", "upstream")
                .check(ALL_CLASSES);
    }

    @Test
    void admissionUsesNoIoNoClockAndNoThread() {
        dependsOnlyOn("burlarch.admission..").check(ALL_CLASSES);
        usesNoClockAndNoThread("burlarch.admission..").check(ALL_CLASSES);
        usesNoStandardStreams("burlarch.admission..").check(ALL_CLASSES);
    }

    @Test
    void coordinationUsesNoIoNoClockAndNoThread() {
        dependsOnlyOn("burlarch.coordination..", "java.nio", "java.nio.charset").check(ALL_CLASSES);
        usesNoClockAndNoThread("burlarch.coordination..").check(ALL_CLASSES);
        usesNoStandardStreams("burlarch.coordination..").check(ALL_CLASSES);
    }

    @Test
    void routingUsesNoIoNoClockAndNoThread() {
        dependsOnlyOn(
                        "burlarch.routing..",
                        "burlarch.admission",
                        "burlarch.configuration",
                        "burlarch.coordination..",
                        "java.nio",
                        "java.nio.charset",
                        "org.apache.commons.codec.digest")
                .check(ALL_CLASSES);
        usesNoClockAndNoThread("burlarch.routing..").check(ALL_CLASSES);
        usesNoStandardStreams("burlarch.routing..").check(ALL_CLASSES);
    }

    @Test
    void simulationAndEmulatorModelUseNoClockAndNoThread() {
        usesNoClockAndNoThread("burlarch.simulation..").check(ALL_CLASSES);
        dependsOnlyOn("burlarch.emulator.model").check(ALL_CLASSES);
        usesNoClockAndNoThread("burlarch.emulator.model").check(ALL_CLASSES);
        usesNoStandardStreams("burlarch.emulator.model").check(ALL_CLASSES);
    }

    /** Guards against rules that match no class: each rule must fail for a package that violates it. */
    @Test
    void rulesFailForPackagesThatViolateThem() {
        assertThatThrownBy(() -> dependsOnlyOn("burlarch.transport..").check(ALL_CLASSES))
                .hasMessageContaining("java.nio.channels");
        assertThatThrownBy(() -> usesNoClockAndNoThread("burlarch.controller..").check(ALL_CLASSES))
                .hasMessageContaining("nanoTime");
        assertThatThrownBy(() -> usesNoStandardStreams("burlarch.fleet..").check(ALL_CLASSES))
                .hasMessageContaining("System.out");
        for (String packageName : List.of(
                "admission",
                "configuration",
                "coordination",
                "storage",
                "transport",
                "routing",
                "node",
                "engine",
                "controller",
                "router",
                "operator",
                "fleet",
                "simulation",
                "emulator")) {
            assertThat(ALL_CLASSES.containPackage("burlarch." + packageName))
                    .as(packageName)
                    .isTrue();
        }
    }
}
