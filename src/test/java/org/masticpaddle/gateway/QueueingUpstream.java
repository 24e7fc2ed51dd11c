package org.masticpaddle.gateway;

import java.net.URI;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;

import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.Scheduler;

/** Upstream in virtual time that runs a number of requests at once and queues further ones by rank. Not thread-safe. */
final class QueueingUpstream {
    private final Upstream entry;
    private final PressedDeployment.Capacity capacity;
    private final Scheduler scheduler;
    private final PriorityQueue<Queued> queue = new PriorityQueue<>(
            Comparator.comparingInt((Queued queued) -> queued.rank).thenComparingLong(queued -> queued.number));
    private final Set<Job> running = new HashSet<>();
    private long accepted;
    private long rejections;
    private boolean crashed;

    QueueingUpstream(
            int index, String service, String domain, PressedDeployment.Capacity capacity, Scheduler scheduler) {
        this.capacity = Objects.requireNonNull(capacity, "capacity is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        entry = new Upstream(
                "upstream-" + index,
                service,
                URI.create("http://127.0.0.1:" + (index + 1)),
                domain,
                "v1",
                capacity.slots(),
                false,
                1);
    }

    Upstream entry() {
        return entry;
    }

    int running() {
        return running.size();
    }

    int queued() {
        return queue.size();
    }

    long rejections() {
        return rejections;
    }

    boolean crashed() {
        return crashed;
    }

    /** Accepts a request, or returns {@code false} if the queue is full. */
    boolean offer(Job job) {
        if (running.size() >= capacity.slots() && queue.size() >= capacity.queue()) {
            rejections++;
            return false;
        }
        queue.add(new Queued(job, job.rank(), accepted++));
        fill();
        return true;
    }

    /** Loses all requests and refuses further ones. */
    void crash() {
        crashed = true;
        final List<Job> lost = new ArrayList<>(running);
        queue.forEach(queued -> lost.add(queued.job));
        running.clear();
        queue.clear();
        lost.forEach(Job::onLost);
    }

    private void fill() {
        while (running.size() < capacity.slots() && !queue.isEmpty()) {
            final Job job = queue.poll().job;
            running.add(job);
            scheduler.schedule(job.startMillis(), job::onStarted);
            scheduler.schedule(job.holdMillis(), () -> {
                if (running.remove(job)) {
                    job.onEnded();
                    fill();
                }
            });
        }
    }

    private record Queued(Job job, int rank, long number) {}

    /** Work of one request. */
    interface Job {
        int rank();

        /** Returns the time from the slot until the answer starts. */
        long startMillis();

        /** Returns the time from the slot until the end. */
        long holdMillis();

        /** Called when the answer starts, also if the upstream has crashed meanwhile. */
        void onStarted();

        /** Called when the answer ends. */
        void onEnded();

        /** Called if the upstream crashes before the answer ends. */
        void onLost();
    }
}
