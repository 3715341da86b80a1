package burlarch.routing.admission;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.configuration.Configuration.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

class CacheMissAdmissionTest {
    private static final List<Tenant> TENANTS = List.of(new Tenant("t", List.of("key"), null, false));
    private static final long SECOND = 1_000_000_000L;

    private final CacheMissAdmission admission = new CacheMissAdmission();

    /** The minimum rates of all routers together must be the same for any number of routers. */
    @Test
    void theMinimumRateIsDividedByTheNumberOfRoutersWhenTenantsAreUnchanged() {
        admission.configure(TENANTS, 60, 1);
        admission.configure(TENANTS, 60, 100);

        assertThat(rateAfterManyFailures()).isEqualTo(0.2);

        admission.onLiveRouters(20);

        assertThat(admission.perSecond()).isEqualTo(1);
    }

    private double rateAfterManyFailures() {
        for (int i = 1; i <= 4_000; i++) {
            admission.onOutcome(i * SECOND, 1, false, i * SECOND);
        }
        return admission.perSecond();
    }
}
