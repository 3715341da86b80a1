package burlarch.decisions;

import java.util.ArrayList;
import java.util.List;

/** Records the actions of a {@link Policy} as short texts, and the arguments of the last ones. */
final class FakeActions implements Api.Actions {
    final List<String> log = new ArrayList<>();
    long lastServer;
    long lastRetryAfterNanos;
    long lastTimerNanos;

    @Override
    public void send(long request, long server, long abandonAtNanos) {
        lastServer = server;
        log.add("send " + request + " " + server);
    }

    @Override
    public void cancel(long request, int attempt) {
        log.add("cancel " + request + " " + attempt);
    }

    @Override
    public void refuse(long request, long retryAfterNanos) {
        lastRetryAfterNanos = retryAfterNanos;
        log.add("refuse " + request);
    }

    @Override
    public void fail(long request) {
        log.add("fail " + request);
    }

    @Override
    public void timer(long delayNanos, long token) {
        lastTimerNanos = delayNanos;
        log.add("timer " + token);
    }

    @Override
    public void closeIdleConnections(long server) {
        log.add("close idle " + server);
    }

    @Override
    public void trim(long server, long idleNanos) {
        log.add("trim " + server + " " + idleNanos);
    }

    @Override
    public void watchList() {
        log.add("watch");
    }

    @Override
    public void log(String text) {
        log.add("log " + text);
    }

    long countStartingWith(String prefix) {
        return log.stream().filter(entry -> entry.startsWith(prefix)).count();
    }

    /** Returns the actions since the last call, except timers. */
    List<String> takeActions() {
        List<String> actions =
                log.stream().filter(entry -> !entry.startsWith("timer")).toList();
        log.clear();
        return actions;
    }
}
