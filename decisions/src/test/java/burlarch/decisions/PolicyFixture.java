package burlarch.decisions;

import burlarch.decisions.Api.Charges;
import burlarch.decisions.Api.Ended;
import burlarch.decisions.Api.Limits;
import burlarch.decisions.Api.ListKind;
import burlarch.decisions.Api.Obligations;
import burlarch.decisions.Api.Outcome;
import burlarch.decisions.Api.Repeat;
import burlarch.decisions.Api.Request;
import burlarch.decisions.Api.RequestClass;
import burlarch.decisions.Api.Scope;
import burlarch.decisions.Api.Server;
import burlarch.decisions.Api.Settings;
import burlarch.decisions.Api.Stage;
import burlarch.decisions.Api.Tenant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class of the tests of {@link Policy}: a policy with an origin and four caches. The test advances the clock
 * and finds the policy's actions in {@link #actions}.
 */
abstract class PolicyFixture {
    static final long MS = 1_000_000L;
    /** Numbers of the request classes, named by what a repeat may do. */
    static final int PURE_READ = 0;

    static final int SIDE_EFFECT = 1;
    static final int TOKEN_ALL = 2;
    static final int TOKEN_ZONE = 3;
    static final long ORIGIN = 100;

    final FakeActions actions = new FakeActions();
    Policy policy;
    long nowNanos = 50_000 * MS;
    long nextId = 1;

    static Settings settings() {
        return new Settings(
                3,
                false,
                1,
                5 * MS,
                new Limits(3, true, true, true, 1000 * MS, 250 * MS, 60_000 * MS),
                new Charges(0, 0),
                new Obligations(0.2, 20_000 * MS, 3, 1000 * MS, 10_000 * MS),
                List.of(
                        new RequestClass("read", 800 * MS, 0, Repeat.PURE, Scope.ALL, 0, 1, 0),
                        new RequestClass("order", 800 * MS, 0, Repeat.SIDE_EFFECT, Scope.ALL, 0, 1, 0),
                        new RequestClass("note", 800 * MS, 0, Repeat.TOKEN, Scope.ALL, 400 * MS, 1, 0),
                        new RequestClass("z", 800 * MS, 0, Repeat.TOKEN, Scope.ZONE, 400 * MS, 1, 0)),
                List.of(new Tenant("a", 0.5, 40), new Tenant("b", 0.5, 40)));
    }

    static Server cache(long id, Stage stage, long bootNanos) {
        return new Server(id, bootNanos, 1, 0, stage, 0, 0);
    }

    static Server origin() {
        return new Server(ORIGIN, 0, 1, 0, Stage.IN, 1, 0);
    }

    @BeforeEach
    void createPolicyWithFourCaches() {
        List<Server> servers = new ArrayList<>(List.of(origin()));
        for (long id = 1; id <= 4; id++) {
            servers.add(cache(id, Stage.IN, 0));
        }
        policy = new Policy(settings(), 42, actions);
        policy.onList(nowNanos, ListKind.RESTORED, servers);
    }

    /** Passes a request to the policy and returns its id. */
    long submit(int requestClass, long key, boolean write) {
        policy.onRequest(nowNanos, new Request(nextId, requestClass, 0, true, key, nowNanos + 1000 * MS, 0, write));
        return nextId++;
    }

    /** Calls the timer of every request, due or not. */
    void fireTimers() {
        for (long id = 1; id < nextId; id++) {
            policy.onTimer(nowNanos, id);
        }
    }

    long read(long key) {
        return submit(PURE_READ, key, false);
    }

    /** Advances the clock and ends an attempt with that elapsed time. */
    void endAttempt(long request, int attempt, long server, Outcome outcome, long elapsedMs) {
        nowNanos += elapsedMs * MS;
        boolean finished = outcome == Outcome.GOOD;
        policy.onEnded(nowNanos, new Ended(request, attempt, server, outcome, finished, elapsedMs * MS));
    }
}
