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

class ConfigurationConfirmerTest {
    private static final long SECOND = 1_000_000_000L;
    private static final long MAX_AGE = 5 * SECOND;
    private static final long VERSION = 3;

    private final VirtualLoop loop = new VirtualLoop();
    private final ConfigurationConfirmer confirmer = new ConfigurationConfirmer(loop, MAX_AGE);
    private final RecordingLink first = new RecordingLink("10.0.0.1:9000");
    private final RecordingLink second = new RecordingLink("10.0.0.2:9000");
    private final List<PeerConnection> connected = new ArrayList<>(List.of(second, first));

    /** Lets time pass, and the given controllers respond at once. */
    private void pass(long nanos, RecordingLink... responding) {
        long until = loop.nanoTime() + nanos;
        while (loop.nanoTime() < until) {
            for (RecordingLink controller : responding) {
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
        respond(first);
        assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
    }

    @Test
    void keysStayAcceptedWhileAControllerResponds() {
        confirmer.start(() -> connected);
        respond(first);
        for (int i = 0; i < 60; i++) {
            pass(SECOND / 2, first);
            assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
        }
        assertThat(second.takeSent()).isEmpty();
    }

    @Test
    void keysAreNotAcceptedOnceTheConfirmationIsTooOld() {
        confirmer.start(() -> connected);
        respond(first);
        connected.clear();
        pass(MAX_AGE);
        assertThat(confirmer.mayAccept(MAX_AGE)).isTrue();
        assertThat(confirmer.mayAccept(MAX_AGE + 1)).isFalse();
    }

    @Test
    void aControllerThatDoesNotRespondIsReplacedByTheNextInTime() {
        confirmer.start(() -> connected);
        respond(first);
        for (int i = 0; i < 30; i++) {
            pass(SECOND / 2, second);
            assertThat(confirmer.mayAccept(loop.nanoTime())).isTrue();
        }
    }

    @Test
    void aRouterThatHasJustStartedAsksTheFirstControllerThatIsConnected() {
        connected.clear();
        confirmer.start(() -> connected);
        connected.add(second);
        confirmer.onControllerConnected();
        confirmer.onControllerConnected();
        assertThat(second.takeSent()).hasSize(1);
    }

    @Test
    void requestsAreNotSentMoreOftenThanNeeded() {
        confirmer.start(() -> connected);
        int sent = 0;
        for (int i = 0; i < 60; i++) {
            sent += first.sent.size();
            pass(SECOND / 4, first);
        }
        assertThat(sent).isBetween(8, 12);
    }
}
