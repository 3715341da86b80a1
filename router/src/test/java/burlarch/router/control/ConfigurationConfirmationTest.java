package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ConfigurationConfirmationTest {
    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();

    @Test
    void nothingIsConfirmedBeforeTheFirstResponse() {
        confirmation.onRequest(100);
        assertThat(confirmation.isConfirmedSince(Long.MIN_VALUE / 2)).isFalse();
    }

    @Test
    void theVersionInForceIsConfirmedAsOfTheRequestAndNotOfTheResponse() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 5, 5);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
        assertThat(confirmation.isConfirmedSince(101)).isFalse();
    }

    @Test
    void aNewerVersionConfirmsNothingUntilItIsInForce() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 7, 5);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        confirmation.onInForce(6);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        confirmation.onInForce(7);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
    }

    @Test
    void anOlderVersionThanTheOneInForceConfirmsIt() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 5, 6);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
    }

    @Test
    void aResponseToAnEarlierRequestIsIgnored() {
        long early = confirmation.onRequest(100);
        long late = confirmation.onRequest(200);
        confirmation.onResponse(early, 5, 5);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        assertThat(confirmation.isPending()).isTrue();
        confirmation.onResponse(late, 5, 5);
        confirmation.onResponse(late, 5, 5);
        assertThat(confirmation.isConfirmedSince(200)).isTrue();
    }

    @Test
    void aLaterConfirmationOfAnAwaitedVersionDoesNotGoBack() {
        confirmation.onResponse(confirmation.onRequest(100), 7, 5);
        confirmation.onResponse(confirmation.onRequest(200), 7, 7);
        confirmation.onInForce(7);
        assertThat(confirmation.isConfirmedSince(200)).isTrue();
    }
}
