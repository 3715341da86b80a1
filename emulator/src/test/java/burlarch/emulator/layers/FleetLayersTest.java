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

/** The fleet's modules: dependencies run one way, and what decides holds no I/O, no clock and no thread. */
class FleetLayersTest {
    private static final ImportOption NO_TESTS = location -> !location.contains("/test-classes/");
    private static final JavaClasses ALL =
            new ClassFileImporter().withImportOption(NO_TESTS).importPackages("burlarch");
    private static final List<String> LANGUAGE = List.of(
            "java.lang",
            "java.lang.runtime",
            "java.lang.invoke",
            "java.util",
            "java.util.function",
            "java.util.random",
            "java.util.stream");

    /**
     * No other packages than these and the language's own; {@link TimeUnit} only converts, {@link CRC32} only
     * counts.
     */
    private static ArchRule only(String aPackage, String... others) {
        List<String> allowed = new ArrayList<>(LANGUAGE);
        allowed.add(aPackage);
        allowed.addAll(List.of(others));
        return noClasses()
                .that()
                .resideInAPackage(aPackage)
                .should()
                .dependOnClassesThat(not(resideInAnyPackage(allowed.toArray(String[]::new)))
                        .and(not(belongToAnyOf(TimeUnit.class, CRC32.class))));
    }

    private static ArchRule noClockAndNoThread(String aPackage) {
        return noClasses()
                .that()
                .resideInAPackage(aPackage)
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

    private static ArchRule noStandardStreams(String aPackage) {
        return noClasses()
                .that()
                .resideInAPackage(aPackage)
                .should()
                .accessField(System.class, "in")
                .orShould()
                .accessField(System.class, "out")
                .orShould()
                .accessField(System.class, "err");
    }

    @Test
    void dependenciesRunOneWay() {
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
                .check(ALL);
    }

    /** Clients and instances are faced by packages that know neither each other nor who forwards between them. */
    @Test
    void dependenciesOfTheControllersPackagesRunOneWay() {
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
                .check(ALL);
    }

    @Test
    void theControllersStateHasNoClockAndNoThread() {
        noClockAndNoThread("burlarch.controller.state..").check(ALL);
    }

    @Test
    void dependenciesOfTheRoutersPackagesRunOneWay() {
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
                .check(ALL);
    }

    @Test
    void admissionHoldsNoIoNoClockAndNoThread() {
        only("burlarch.admission..").check(ALL);
        noClockAndNoThread("burlarch.admission..").check(ALL);
        noStandardStreams("burlarch.admission..").check(ALL);
    }

    @Test
    void coordinationHoldsNoIoNoClockAndNoThread() {
        only("burlarch.coordination..", "java.nio", "java.nio.charset").check(ALL);
        noClockAndNoThread("burlarch.coordination..").check(ALL);
        noStandardStreams("burlarch.coordination..").check(ALL);
    }

    @Test
    void routingHoldsNoIoNoClockAndNoThread() {
        only(
                        "burlarch.routing..",
                        "burlarch.admission",
                        "burlarch.configuration",
                        "burlarch.coordination..",
                        "java.nio",
                        "java.nio.charset",
                        "org.apache.commons.codec.digest")
                .check(ALL);
        noClockAndNoThread("burlarch.routing..").check(ALL);
        noStandardStreams("burlarch.routing..").check(ALL);
    }

    @Test
    void simulationAndTheEmulatorsModelHaveNoClockAndNoThread() {
        noClockAndNoThread("burlarch.simulation..").check(ALL);
        only("burlarch.emulator.model").check(ALL);
        noClockAndNoThread("burlarch.emulator.model").check(ALL);
        noStandardStreams("burlarch.emulator.model").check(ALL);
    }

    /** A rule that no class can break proves nothing. */
    @Test
    void theRulesFindWhatTheyAreFor() {
        assertThatThrownBy(() -> only("burlarch.transport..").check(ALL)).hasMessageContaining("java.nio.channels");
        assertThatThrownBy(() -> noClockAndNoThread("burlarch.controller..").check(ALL))
                .hasMessageContaining("nanoTime");
        assertThatThrownBy(() -> noStandardStreams("burlarch.fleet..").check(ALL))
                .hasMessageContaining("System.out");
        for (String aPackage : List.of(
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
            assertThat(ALL.containPackage("burlarch." + aPackage)).as(aPackage).isTrue();
        }
    }
}
