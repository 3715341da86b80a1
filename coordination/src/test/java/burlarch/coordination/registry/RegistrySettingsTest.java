package burlarch.coordination.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RegistrySettingsTest {
    @ParameterizedTest
    @CsvSource({"100, 3000", "600, 3000", "1000, 5000", "2000, 10000"})
    void expiryIsFiveHeartbeatsButAtLeastThreeSeconds(long heartbeatMillis, long expiryMillis) {
        RegistrySettings settings = RegistrySettings.forHeartbeat(TimeUnit.MILLISECONDS.toNanos(heartbeatMillis));
        assertThat(settings.expiryNanos()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(expiryMillis));
        assertThat(settings.graceNanos()).isEqualTo(settings.expiryNanos());
    }
}
