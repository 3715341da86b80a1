package burlarch.simulation.membership;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.swim.Swim;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.coordination.membership.swim.SwimStep;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import java.util.List;

/** Simulated process that runs only the SWIM membership protocol. */
public final class SwimNode implements SimulatedNode {
    /** Receives the membership changes that members detect. */
    public interface ChangeObserver {
        /**
         * Called when a member's view of the membership has changed.
         *
         * @param observer name of the member whose view changed
         */
        void onChange(String observer, MemberChange change);
    }

    private final NodeContext context;
    private final List<String> seeds;
    private final SwimSettings settings;
    private final ChangeObserver observer;
    private Swim swim;

    /** @param seeds addresses of the members through which this one joins */
    public SwimNode(NodeContext context, List<String> seeds, SwimSettings settings, ChangeObserver observer) {
        this.context = context;
        this.seeds = seeds;
        this.settings = settings;
        this.observer = observer;
    }

    /** Returns the protocol instance of this process; null before {@link #start}. */
    public Swim swim() {
        return swim;
    }

    @Override
    public void start(long now) {
        MemberInfo own = new MemberInfo(context.name(), context.address(), "member", "zone", context.incarnation());
        swim = new Swim(own, seeds, settings, context.random().nextLong(), now);
        apply(swim.onTimer(now));
    }

    @Override
    public void onMessage(String from, Object message, long now) {
        apply(swim.onDatagram(from, (byte[]) message, now));
    }

    @Override
    public void onTimer(long now) {
        apply(swim.onTimer(now));
    }

    private void apply(SwimStep step) {
        for (SwimStep.Datagram datagram : step.datagrams()) {
            context.send(datagram.to(), datagram.bytes());
        }
        for (MemberChange change : step.changes()) {
            observer.onChange(context.name(), change);
        }
        context.setTimer(step.wakeUpAtNanos());
    }
}
