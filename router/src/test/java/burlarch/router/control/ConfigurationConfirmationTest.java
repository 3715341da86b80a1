package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** As of which time the configuration in force is confirmed, after requests and responses in various orders. */
class ConfigurationConfirmationTest {
    private final ConfigurationConfirmation confirmation = new ConfigurationConfirmation();

    @Test
    void nothingIsConfirmedBeforeTheFirstResponse() {
        confirmation.onRequest(100);
        assertThat(confirmation.isConfirmedSince(Long.MIN_VALUE / 2)).isFalse();
    }

    @Test
    void versionInForceIsConfirmedAsOfTheRequestNotTheResponse() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 5, 5);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
        assertThat(confirmation.isConfirmedSince(101)).isFalse();
    }

    @Test
    void newerVersionConfirmsNothingUntilItIsInForce() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 7, 5);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        confirmation.onInForce(6);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        confirmation.onInForce(7);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
    }

    @Test
    void olderVersionConfirmsTheVersionInForce() {
        long request = confirmation.onRequest(100);
        confirmation.onResponse(request, 5, 6);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
    }

    @Test
    void responseToAnEarlierRequestIsIgnored() {
        long earlierRequest = confirmation.onRequest(100);
        long laterRequest = confirmation.onRequest(200);
        confirmation.onResponse(earlierRequest, 5, 5);
        assertThat(confirmation.isConfirmedSince(100)).isFalse();
        assertThat(confirmation.isPending()).isTrue();
        confirmation.onResponse(laterRequest, 5, 5);
        confirmation.onResponse(laterRequest, 5, 5);
        assertThat(confirmation.isConfirmedSince(200)).isTrue();
    }

    /** Guards against confirmations that versions in quick succession put off again and again. */
    @Test
    void anAwaitedVersionIsConfirmedThoughANewerOneIsAwaitedToo() {
        confirmation.onResponse(confirmation.onRequest(100), 6, 5);
        confirmation.onResponse(confirmation.onRequest(200), 7, 5);
        confirmation.onResponse(confirmation.onRequest(300), 8, 5);
        confirmation.onInForce(6);
        assertThat(confirmation.isConfirmedSince(100)).isTrue();
        assertThat(confirmation.isConfirmedSince(101)).isFalse();
        confirmation.onInForce(7);
        assertThat(confirmation.isConfirmedSince(101)).isFalse();
        confirmation.onInForce(8);
        assertThat(confirmation.isConfirmedSince(300)).isTrue();
    }

    @Test
    void awaitedVersionDoesNotReplaceALaterConfirmation() {
        confirmation.onResponse(confirmation.onRequest(100), 7, 5);
        confirmation.onResponse(confirmation.onRequest(200), 7, 7);
        confirmation.onInForce(7);
        assertThat(confirmation.isConfirmedSince(200)).isTrue();
    }
}
