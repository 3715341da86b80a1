package burlarch.emulator.demo;

import burlarch.emulator.server.RunBook;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** What clients asked for and got, and what instances ran. Used by many threads. */
final class Ledger implements RunBook {
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<String> atMostOnce = ConcurrentHashMap.newKeySet();
    private final Set<String> promisedNotRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger afterDrain = new AtomicInteger();

    @Override
    public void ran(String requestId, String instance) {
        runs.computeIfAbsent(requestId, id -> new AtomicInteger()).incrementAndGet();
    }

    @Override
    public void cameAfterDrain(String requestId, String instance) {
        afterDrain.incrementAndGet();
    }

    void asked() {
        asked.incrementAndGet();
    }

    /** A try with that id may run once at most. */
    void atMostOnce(String requestId) {
        atMostOnce.add(requestId);
    }

    /** The client was promised that this try has not run and never will. */
    void promisedNotRun(String requestId) {
        promisedNotRun.add(requestId);
    }

    void served(boolean inTime) {
        served.incrementAndGet();
        if (!inTime) {
            late.incrementAndGet();
        }
    }

    void failed() {
        failed.incrementAndGet();
    }

    /** Tries that ran more often than they may. */
    int doubleRuns() {
        return (int) atMostOnce.stream().filter(id -> runsOf(id) > 1).count();
    }

    /** Tries that ran although their client was told that they had not. */
    int brokenPromises() {
        return (int) promisedNotRun.stream()
                .filter(id -> atMostOnce.contains(id) && runsOf(id) > 0)
                .count();
    }

    private int runsOf(String id) {
        AtomicInteger count = runs.get(id);
        return count == null ? 0 : count.get();
    }

    int askedSoFar() {
        return asked.get();
    }

    int servedSoFar() {
        return served.get();
    }

    int lateSoFar() {
        return late.get();
    }

    int failedSoFar() {
        return failed.get();
    }

    int toDrained() {
        return afterDrain.get();
    }
}
