package org.masticpaddle.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.masticpaddle.wire.LoadReport;

/** A fixed number of slots behind some sidecars, with a first-in-first-out queue for dispatches above them. */
final class FakePool {
    /** A dispatched request; the end is unknown while it waits for a slot. */
    record Attempt(SimulatedRequest simulated, long dispatchedNanos, long endNanos) {}

    private final AdmissionDeployment deployment;
    private final TreeSet<Attempt> running = new TreeSet<>(Comparator.comparingLong(Attempt::endNanos)
            .thenComparingLong(attempt -> attempt.simulated().request().id()));
    private final Deque<Attempt> queued = new ArrayDeque<>();

    FakePool(AdmissionDeployment deployment) {
        this.deployment = deployment;
    }

    void dispatch(SimulatedRequest work, long now) {
        if (running.size() < deployment.slots()) {
            running.add(new Attempt(work, now, now + work.serviceNanos()));
        } else {
            queued.add(new Attempt(work, now, Long.MAX_VALUE));
        }
    }

    long nextCompletionNanos() {
        return running.isEmpty() ? Long.MAX_VALUE : running.first().endNanos();
    }

    Attempt completeFirst() {
        final Attempt done = running.pollFirst();
        startQueued(done.endNanos());
        return done;
    }

    /** Cancels a running attempt; one that waits for a slot stays. */
    Optional<Attempt> cancel(long id, long now) {
        final Optional<Attempt> found = running.stream()
                .filter(attempt -> attempt.simulated().request().id() == id)
                .findFirst();
        found.ifPresent(attempt -> {
            running.remove(attempt);
            startQueued(now);
        });
        return found;
    }

    List<Attempt> running() {
        return List.copyOf(running);
    }

    private void startQueued(long now) {
        final Attempt next = queued.poll();
        if (next != null) {
            running.add(new Attempt(
                    next.simulated(), next.dispatchedNanos(), now + next.simulated().serviceNanos()));
        }
    }

    int inFlight() {
        return running.size() + queued.size();
    }

    /** Reports as the sidecars would send them, with the work spread evenly. */
    List<LoadReport> loadReports() {
        final List<LoadReport> reports = new ArrayList<>();
        for (int worker = 0; worker < deployment.workers(); worker++) {
            reports.add(new LoadReport(
                    1,
                    false,
                    true,
                    evenShare(running.size(), worker),
                    evenShare(queued.size(), worker),
                    deployment.slotsPerWorker(),
                    List.of(LoadSource.VERSION),
                    0));
        }
        return reports;
    }

    private int evenShare(int total, int worker) {
        return (total + worker) / deployment.workers();
    }
}
