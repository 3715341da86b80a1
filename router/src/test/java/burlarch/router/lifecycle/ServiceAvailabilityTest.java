package burlarch.router.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration;
import burlarch.configuration.Configuration.Service;
import burlarch.coordination.registry.Instance;
import burlarch.coordination.registry.InstanceState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Whether each service that accepts requests has an instance. */
class ServiceAvailabilityTest {
    @Test
    void availableOnceEachServiceExceptStoresHasAnInstance() {
        Configuration configuration = new Configuration(
                1,
                List.of(),
                List.of(service("a", null), service("b", null), service("store", "10.0.0.1:1")),
                null,
                List.of());
        assertThat(ServiceAvailability.hasInstanceOfEachService(configuration, List.of(instance("a"))))
                .isFalse();
        assertThat(ServiceAvailability.hasInstanceOfEachService(configuration, List.of(instance("a"), instance("b"))))
                .isTrue();
    }

    private static Service service(String name, String store) {
        return new Service(name, "/healthz", 100, null, store, null, 0, 0, 0);
    }

    private static Instance instance(String service) {
        return new Instance(
                "i-" + service, service, "10.0.0.2:1", "zone", "v1", 8, InstanceState.READY, 0, List.of(), 1);
    }
}
