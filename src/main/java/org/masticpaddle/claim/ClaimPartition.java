package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.masticpaddle.platform.LogPage;
import org.masticpaddle.wire.RunState;

/**
 * Claims of one entry in one partition: the requests whose claim is pending, and the reads and appends that they need.
 * It performs no I/O itself: the caller executes the operations that {@link #nextRead(long)} and
 * {@link #nextAppend(long)} return and reports their results. Not thread-safe.
 */
final class ClaimPartition {
    private final ClaimSettings settings;
    private final Supplier<String> attemptIds;
    private final ClaimLedger ledger;
    private final PartitionReader reader;
    private final PartitionWriter writer;
    private final Map<String, PendingRequest> pendingRequests = new LinkedHashMap<>();
    private final Map<String, PendingRelease> pendingReleases = new LinkedHashMap<>();
    private boolean hasAbandoned;

    ClaimPartition(ClaimSettings settings, Supplier<String> attemptIds) {
        this.settings = settings;
        this.attemptIds = attemptIds;
        this.ledger = new ClaimLedger(settings.lifetimeMillis(), settings.maxKeys(), settings.maxAnswerBytes());
        this.reader = new PartitionReader(settings, ledger);
        this.writer = new PartitionWriter(settings);
    }

    /** Decides a request at once if its key is rejected or already held, else queues a claim for it. */
    void submit(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> callback, long nowMillis) {
        final Optional<KeyRejection> rejection = request.key().checkAge(nowMillis, settings.lifetimeMillis());
        final Optional<CurrentClaim> current = ledger.currentClaim(request.key(), nowMillis);
        if (rejection.isPresent()) {
            callback.accept(new ClaimDecision.KeyRefused(rejection.get()));
        } else if (current.isPresent()) {
            callback.accept(ClaimDecision.ofHeldKey(request, current.get()));
        } else if (pendingRequests.size() >= settings.maxPending()) {
            callback.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
        } else {
            queueClaim(new PendingRequest(request, deadlineMillis, callback));
        }
    }

    /**
     * Looks up the key of a request that the entry rejects without claiming it. After one more read of the partition, the
     * decision is the claim that holds the key or, if there is none, unavailable with the run state.
     */
    void lookUp(ClaimRequest request, Consumer<ClaimDecision> callback, long nowMillis) {
        if (pendingRequests.size() >= settings.maxPending()) {
            callback.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
            return;
        }
        final PendingRequest pending = new PendingRequest(request, nowMillis, callback);
        abandon(pending);
        pendingRequests.put(attemptIds.get(), pending);
    }

    /** Releases a claim and reports whether the release was read back before the deadline. */
    void release(ClaimRecord.Claim claim, long deadlineMillis, Consumer<Boolean> callback) {
        if (!ledger.isCurrent(claim)) {
            callback.accept(true);
            return;
        }
        final PendingRelease existing = pendingReleases.get(claim.attemptId());
        if (existing != null) {
            existing.callbacks.add(callback);
            existing.deadlineMillis = Math.max(existing.deadlineMillis, deadlineMillis);
        } else if (writer.size() >= 2 * settings.maxPending()) {
            callback.accept(false);
        } else {
            final PendingRelease release = new PendingRelease(deadlineMillis);
            release.callbacks.add(callback);
            pendingReleases.put(claim.attemptId(), release);
            writer.add(
                    new ClaimRecord.Release(claim.key(), claim.attemptId()),
                    () -> ledger.isCurrent(claim),
                    acknowledged -> {});
        }
    }

    /**
     * Queues an outcome and reports whether its append was acknowledged. Outcomes are rejected at half the queue length
     * of releases, so that they do not displace claims and releases.
     */
    void record(ClaimRecord.Outcome outcome, Consumer<Boolean> callback) {
        if (writer.size() >= settings.maxPending()) {
            callback.accept(false);
        } else {
            writer.add(outcome, () -> true, callback);
        }
    }

    Optional<PartitionReader.Read> nextRead(long nowMillis) {
        return reader.nextRead(!pendingRequests.isEmpty() || !pendingReleases.isEmpty(), !hasAbandoned, nowMillis);
    }

    /** Applies a page that was read and returns whether the last page was consistent. */
    boolean completeRead(long sequence, LogPage page, long nowMillis) {
        reader.completeRead(sequence, page, nowMillis).forEach(result -> handleResult(result, nowMillis));
        completeAbandoned(nowMillis);
        return reader.lastPageConsistent();
    }

    void failRead(long sequence, long nowMillis) {
        reader.failRead(sequence, nowMillis);
    }

    Optional<PartitionWriter.Append> nextAppend(long nowMillis) {
        return writer.nextAppend(nowMillis);
    }

    void completeAppend(long sequence, boolean acknowledged, long nowMillis) {
        writer.completeAppend(sequence, acknowledged, nowMillis);
    }

    /** Abandons the requests and fails the releases past their deadline. Called every few milliseconds. */
    void tick(long nowMillis) {
        ledger.evictExpired(nowMillis);
        final List<PendingRequest> expired = pendingRequests.values().stream()
                .filter(pending -> !pending.abandoned && nowMillis >= pending.deadlineMillis)
                .toList();
        if (!expired.isEmpty()) {
            expired.forEach(this::abandon);
            writer.removeUnneeded();
        }
        completeAbandoned(nowMillis);
        for (final Map.Entry<String, PendingRelease> entry : List.copyOf(pendingReleases.entrySet())) {
            if (nowMillis >= entry.getValue().deadlineMillis) {
                pendingReleases.remove(entry.getKey()).complete(false);
            }
        }
    }

    /** Completes all pending requests as unavailable and all pending releases as failed. */
    void close() {
        final List<PendingRequest> remaining = List.copyOf(pendingRequests.values());
        pendingRequests.clear();
        remaining.forEach(pending -> pending.callback.accept(
                new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.STOPPING)));
        List.copyOf(pendingReleases.values()).forEach(release -> release.complete(false));
        pendingReleases.clear();
        writer.clear();
    }

    boolean isIdle() {
        return pendingRequests.isEmpty() && pendingReleases.isEmpty() && writer.size() == 0;
    }

    long tailReadMillis() {
        return reader.tailReadMillis();
    }

    private void queueClaim(PendingRequest pending) {
        final String attemptId = attemptIds.get();
        final ClaimRecord.Claim claim = pending.request.toClaim(attemptId, ledger.round(pending.request.key()));
        pendingRequests.put(attemptId, pending);
        writer.add(claim, () -> pendingRequests.containsKey(attemptId) && !pending.abandoned, acknowledged -> {});
    }

    private void handleResult(ApplyResult result, long nowMillis) {
        if (result instanceof ApplyResult.Won won) {
            pendingRequest(won.claim()).ifPresent(pending -> completeWon(won.claim(), pending, nowMillis));
        } else if (result instanceof ApplyResult.KeyHeld held) {
            pendingRequest(held.claim()).ifPresent(pending -> {
                complete(held.claim(), pending, ClaimDecision.ofHeldKey(pending.request, held.current()));
            });
        } else if (result instanceof ApplyResult.Stale stale) {
            pendingRequest(stale.claim()).ifPresent(pending -> claimAgain(stale.claim(), pending));
        } else if (result instanceof ApplyResult.OutsideLifetime outside) {
            pendingRequest(outside.claim())
                    .ifPresent(pending ->
                            complete(outside.claim(), pending, new ClaimDecision.KeyRefused(KeyRejection.TOO_OLD)));
        } else if (result instanceof ApplyResult.Untracked untracked) {
            pendingRequest(untracked.claim())
                    .ifPresent(pending -> complete(
                            untracked.claim(),
                            pending,
                            new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.LEDGER_FULL)));
        } else if (result instanceof ApplyResult.Released released) {
            Optional.ofNullable(pendingReleases.remove(released.claim().attemptId()))
                    .ifPresent(release -> release.complete(true));
        }
    }

    private Optional<PendingRequest> pendingRequest(ClaimRecord.Claim claim) {
        return Optional.ofNullable(pendingRequests.get(claim.attemptId()));
    }

    private void completeWon(ClaimRecord.Claim claim, PendingRequest pending, long nowMillis) {
        if (!pending.abandoned && nowMillis >= pending.deadlineMillis) {
            abandon(pending);
        }
        if (!pending.abandoned) {
            pendingRequests.remove(claim.attemptId());
            pending.callback.accept(new ClaimDecision.Won(claim));
        } else {
            pending.wonClaim = Optional.of(claim);
        }
    }

    private void complete(ClaimRecord.Claim claim, PendingRequest pending, ClaimDecision decision) {
        pendingRequests.remove(claim.attemptId());
        releaseUndispatched(claim);
        pending.callback.accept(decision);
    }

    /**
     * Claims the key again in its current round. If another claim holds the key by then, reading back the new claim
     * reports it.
     */
    private void claimAgain(ClaimRecord.Claim claim, PendingRequest pending) {
        if (!pending.abandoned) {
            pendingRequests.remove(claim.attemptId());
            queueClaim(pending);
        }
    }

    private void abandon(PendingRequest pending) {
        pending.abandoned = true;
        pending.lastReadBeforeAbandon = reader.sequence();
        hasAbandoned = true;
    }

    /**
     * Completes abandoned requests. Only a read that was started after a request was abandoned proves that no claim of
     * the key was on the log at that time.
     */
    private void completeAbandoned(long nowMillis) {
        if (!hasAbandoned) {
            return;
        }
        hasAbandoned = false;
        for (final Map.Entry<String, PendingRequest> entry : List.copyOf(pendingRequests.entrySet())) {
            final PendingRequest pending = entry.getValue();
            if (!pending.abandoned) {
                continue;
            }
            final boolean readSinceAbandon = reader.tailSequence() > pending.lastReadBeforeAbandon;
            if (!readSinceAbandon && nowMillis < pending.deadlineMillis + settings.confirmTimeoutMillis()) {
                hasAbandoned = true;
                continue;
            }
            pendingRequests.remove(entry.getKey());
            final Optional<CurrentClaim> otherClaim = ledger.currentClaim(pending.request.key(), nowMillis)
                    .filter(current -> !current.claim().attemptId().equals(entry.getKey()));
            pending.wonClaim.ifPresent(this::releaseUndispatched);
            final boolean provenNotRun = readSinceAbandon && ledger.isCompleteFor(pending.request.key(), nowMillis);
            pending.callback.accept(otherClaim
                    .map(current -> ClaimDecision.ofHeldKey(pending.request, current))
                    .orElseGet(() -> new ClaimDecision.Unavailable(
                            provenNotRun ? RunState.NOT_RUN : RunState.UNKNOWN, ClaimDecision.Reason.DEADLINE)));
        }
    }

    /** Releases a claim that holds its key but was not reported as won, and therefore is never dispatched. */
    private void releaseUndispatched(ClaimRecord.Claim claim) {
        if (ledger.isCurrent(claim) && writer.size() < 2 * settings.maxPending()) {
            writer.add(
                    new ClaimRecord.Release(claim.key(), claim.attemptId()),
                    () -> ledger.isCurrent(claim),
                    acknowledged -> {});
        }
    }

    private static final class PendingRequest {
        private final ClaimRequest request;
        private final long deadlineMillis;
        private final Consumer<ClaimDecision> callback;
        private Optional<ClaimRecord.Claim> wonClaim = Optional.empty();
        private boolean abandoned;
        private long lastReadBeforeAbandon;

        PendingRequest(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> callback) {
            this.request = request;
            this.deadlineMillis = deadlineMillis;
            this.callback = callback;
        }
    }

    private static final class PendingRelease {
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>(1);
        private long deadlineMillis;

        PendingRelease(long deadlineMillis) {
            this.deadlineMillis = deadlineMillis;
        }

        void complete(boolean released) {
            callbacks.forEach(callback -> callback.accept(released));
        }
    }
}
