package burlarch.simulation.transport;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.swim.Swim;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.coordination.membership.swim.SwimStep;
import burlarch.simulation.NodeContext;
import burlarch.transport.EventLoop;
import java.util.List;
import java.util.function.Consumer;

/**
 * Membership protocol of one process over the simulated network. Uses the production {@link Swim} implementation with
 * its default settings. Runs on the event loop of its process and calls the listener there.
 */
public final class SimulatedMembership {
    private final NodeContext context;
    private final EventLoop loop;
    private final Consumer<List<MemberChange>> listener;
    private final Swim swim;
    private EventLoop.Timer timer;

    /** Creates the protocol instance and submits to the event loop the task that joins through the seeds. */
    public SimulatedMembership(
            NodeContext context,
            EventLoop loop,
            String role,
            List<String> seeds,
            Consumer<List<MemberChange>> listener) {
        this.context = context;
        this.loop = loop;
        this.listener = listener;
        MemberInfo own = new MemberInfo(context.name(), context.address(), role, "zone", context.incarnation());
        swim = new Swim(own, seeds, SwimSettings.defaults(), context.random().nextLong(), loop.nanoTime());
        loop.execute(this::onTimer);
    }

    /** Handles a datagram from another member. */
    public void onDatagram(String from, byte[] content) {
        apply(swim.onDatagram(from, content, loop.nanoTime()));
    }

    /** Announces that this process is about to shut down. */
    public void leave() {
        apply(swim.leave(loop.nanoTime()));
    }

    private void onTimer() {
        apply(swim.onTimer(loop.nanoTime()));
    }

    private void apply(SwimStep step) {
        if (timer != null) {
            timer.cancel();
        }
        timer = loop.schedule(step.wakeUpAtNanos() - loop.nanoTime(), this::onTimer);
        step.datagrams().forEach(datagram -> context.send(datagram.to(), datagram.bytes()));
        if (!step.changes().isEmpty()) {
            listener.accept(step.changes());
        }
    }
}
