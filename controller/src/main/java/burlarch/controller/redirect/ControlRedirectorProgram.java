package burlarch.controller.redirect;

import burlarch.controller.api.ControlServer;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.node.MembershipService;
import burlarch.node.NodeAddresses;
import burlarch.node.NodeRoles;
import burlarch.node.NodeSettings;
import burlarch.node.RandomIds;
import burlarch.node.RouterOnSameMachine;
import burlarch.node.SettingsFileWatcher;
import burlarch.node.ShutdownHook;
import burlarch.transport.SelectorEventLoop;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.tinylog.Logger;

/**
 * Entry point of the control redirector, which serves the control address of a machine without a disk: it redirects
 * each call to a controller. It joins the membership to learn the controllers' addresses.
 */
public final class ControlRedirectorProgram {
    private final RedirectTargets targets;
    private final Object targetsLock = new Object();

    private ControlRedirectorProgram(int controlPort) {
        targets = new RedirectTargets(controlPort);
    }

    /**
     * Starts the program and returns; it keeps running on its own threads.
     *
     * @throws Exception if a port can't be bound
     */
    public static void run(NodeSettings settings) throws Exception {
        new ControlRedirectorProgram(settings.listen().control().getPort()).start(settings);
    }

    private void start(NodeSettings settings) throws Exception {
        onSettings(settings);
        ControlServer server = ControlServer.redirecting(
                settings.listen().control(),
                this::chooseTarget,
                settings.limits().maxDescriptors());
        server.start();
        MembershipService membership = joinMembership(settings);
        SettingsFileWatcher.start(this::onSettings);
        RouterOnSameMachine router = new RouterOnSameMachine(settings);
        ShutdownHook.onSignal(() -> {
            router.awaitEnd();
            server.stopAccepting();
            server.endCalls();
            membership.leaveWithinTimeout();
            server.closeConnections();
        });
        Logger.info(
                "control redirector listening: node={} control={}",
                settings.nodeName(),
                settings.listen().control());
    }

    private MembershipService joinMembership(NodeSettings settings) throws Exception {
        MembershipService membership = new MembershipService(
                new SelectorEventLoop("node"),
                new MembershipService.Self(
                        NodeAddresses.memberName(settings, NodeRoles.CONTROL_REDIRECTOR),
                        NodeRoles.CONTROL_REDIRECTOR,
                        settings.zone(),
                        RandomIds.nonZero()),
                NodeAddresses.socket(NodeAddresses.own(settings, NodeRoles.CONTROL_REDIRECTOR)),
                NodeAddresses.seeds(settings),
                SwimSettings.defaults());
        membership.addListener(changes -> {
            synchronized (targetsLock) {
                targets.onChanges(changes);
            }
        });
        membership.start();
        return membership;
    }

    private void onSettings(NodeSettings settings) {
        synchronized (targetsLock) {
            targets.onSeeds(settings.seeds());
        }
    }

    private Optional<String> chooseTarget() {
        synchronized (targetsLock) {
            return targets.choose(ThreadLocalRandom.current());
        }
    }
}
