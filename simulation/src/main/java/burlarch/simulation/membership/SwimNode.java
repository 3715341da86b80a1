package burlarch.simulation.membership;

import burlarch.coordination.membership.MemberChange;
import burlarch.coordination.membership.MemberInfo;
import burlarch.coordination.membership.swim.Swim;
import burlarch.coordination.membership.swim.SwimSettings;
import burlarch.coordination.membership.swim.SwimStep;
import burlarch.simulation.NodeContext;
import burlarch.simulation.SimulatedNode;
import java.util.List;

/** A process that runs the membership protocol and nothing else. */
public final class SwimNode implements SimulatedNode {
    /** Observes the changes of membership that members see. */
    public interface ChangeObserver {
        /**
         * A member has changed its view.
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

    /** @param seeds addresses through which the member joins */
    public SwimNode(NodeContext context, List<String> seeds, SwimSettings settings, ChangeObserver observer) {
        this.context = context;
        this.seeds = seeds;
        this.settings = settings;
        this.observer = observer;
    }

    /** The protocol instance of this process. */
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
