package org.masticpaddle.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.masticpaddle.wire.LoadReport;

/** Simulated pool: a fixed number of slots, with an unbounded FIFO queue for further dispatches. Not thread-safe. */
final class FakePool {
    /** A dispatched request; its end is {@link Long#MAX_VALUE} while it waits for a slot. */
    record Attempt(SimulatedRequest simulated, long dispatchedNanos, long endNanos) {}

    private final AdmissionDeployment deployment;
    private final TreeSet<Attempt> running = new TreeSet<>(Comparator.comparingLong(Attempt::endNanos)
            .thenComparingLong(attempt -> attempt.simulated().request().id()));
    private final Deque<Attempt> queued = new ArrayDeque<>();

    FakePool(AdmissionDeployment deployment) {
        this.deployment = deployment;
    }

    void dispatch(SimulatedRequest simulated, long now) {
        if (running.size() < deployment.slots()) {
            running.add(new Attempt(simulated, now, now + simulated.serviceNanos()));
        } else {
            queued.add(new Attempt(simulated, now, Long.MAX_VALUE));
        }
    }

    long nextCompletionNanos() {
        return running.isEmpty() ? Long.MAX_VALUE : running.first().endNanos();
    }

    Attempt completeFirst() {
        final Attempt completed = running.pollFirst();
        startQueued(completed.endNanos());
        return completed;
    }

    /** Cancels and returns a running attempt; an attempt that waits for a slot is left alone. */
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
                    next.simulated(),
                    next.dispatchedNanos(),
                    now + next.simulated().serviceNanos()));
        }
    }

    int inFlight() {
        return running.size() + queued.size();
    }

    /** Returns the load reports of all sidecars, as if the requests were spread evenly over them. */
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
