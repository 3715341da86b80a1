package burlarch.router.control;

import static org.assertj.core.api.Assertions.assertThat;

import burlarch.testing.RecordingLink;
import burlarch.testing.VirtualLoop;
import burlarch.transport.NodeMessage;
import burlarch.transport.NodeMessage.ConfigurationConfirmed;
import burlarch.transport.NodeMessage.ConfirmConfiguration;
import burlarch.transport.PeerConnection;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When API keys are accepted and which controller is asked, in virtual time. */
class ConfigurationConfirmerTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long MAX_AGE_NANOS = 5 * SECOND_NANOS;
    private static final long VERSION = 3;

    private final VirtualLoop loop = new VirtualLoop();
    private final ConfigurationConfirmer confirmer = new ConfigurationConfirmer(loop, MAX_AGE_NANOS);
    private final RecordingLink firstController = new RecordingLink("10.0.0.1:9000");
    private final RecordingLink secondController = new RecordingLink("10.0.0.2:9000");
    private final List<PeerConnection> connected = new ArrayList<>(List.of(secondController, firstController));

    /** Advances the time while the given controllers respond immediately. */
    private void advance(long nanos, RecordingLink... respondingControllers) {
        long endNanos = loop.nanoTime() + nanos;
        while (loop.nanoTime() < endNanos) {
            for (RecordingLink controller : respondingControllers) {
                respond(controller);
            }
            loop.pass(ConfigurationConfirmer.CHECK_INTERVAL_NANOS);
        }
    }

    private void respond(RecordingLink controller) {
        for (NodeMessage message : controller.takeSent()) {
            confirmer.onConfirmed(
                    new ConfigurationConfirmed(((ConfirmConfiguration) message).request(), VERSION), VERSION);
        }
    }

    @Test
    void keysAreNotAcceptedBeforeTheConfigurationIsConfirmed() {
        assertThat(confirmer.mayAccept(loop.nanoTime())).isFalse();
        confirmer.start(() -> connected);
        assertThat(confirmer.mayAccept(loop.nanoTime())).isFalse();
        respond(firstController);
        assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
    }

    @Test
    void keysStayAcceptedWhileAControllerResponds() {
        confirmer.start(() -> connected);
        respond(firstController);
        for (int i = 0; i < 60; i++) {
            advance(SECOND_NANOS / 2, firstController);
            assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
        }
        assertThat(secondController.takeSent()).isEmpty();
    }

    @Test
    void keysAreNotAcceptedOnceTheConfirmationIsTooOld() {
        confirmer.start(() -> connected);
        respond(firstController);
        connected.clear();
        advance(MAX_AGE_NANOS);
        assertThat(confirmer.mayAccept(MAX_AGE_NANOS)).isTrue();
        assertThat(confirmer.mayAccept(MAX_AGE_NANOS + 1)).isFalse();
    }

    @Test
    void nextControllerIsAskedBeforeKeysExpireIfOneDoesNotRespond() {
        confirmer.start(() -> connected);
        respond(firstController);
        for (int i = 0; i < 30; i++) {
            advance(SECOND_NANOS / 2, secondController);
            assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
        }
    }

    @Test
    void startedRouterAsksTheFirstConnectedControllerOnce() {
        connected.clear();
        confirmer.start(() -> connected);
        connected.add(secondController);
        confirmer.onControllerConnected();
        confirmer.onControllerConnected();
        assertThat(secondController.takeSent()).hasSize(1);
    }

    @Test
    void requestsAreNotSentMoreOftenThanNeeded() {
        confirmer.start(() -> connected);
        int sentRequests = 0;
        for (int i = 0; i < 60; i++) {
            sentRequests += firstController.sent.size();
            advance(SECOND_NANOS / 4, firstController);
        }
        assertThat(sentRequests).isBetween(8, 12);
    }
}
