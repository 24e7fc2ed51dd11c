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
 * Claims of one entry in one partition: requests that wait for their claim, and the reads and appends that they need. The
 * caller carries out what {@link #nextRead(long)} and {@link #nextAppend(long)} return and reports how it ended. Not
 * thread-safe.
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

    /** Decides a request at once if the key is refused or held, else queues its claim. */
    void submit(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> answer, long nowMillis) {
        final Optional<KeyRejection> refusal = request.key().checkAge(nowMillis, settings.lifetimeMillis());
        final Optional<CurrentClaim> standing = ledger.currentClaim(request.key(), nowMillis);
        if (refusal.isPresent()) {
            answer.accept(new ClaimDecision.KeyRefused(refusal.get()));
        } else if (standing.isPresent()) {
            answer.accept(ClaimDecision.ofHeldKey(request, standing.get()));
        } else if (pendingRequests.size() >= settings.maxPending()) {
            answer.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
        } else {
            queueClaim(new PendingRequest(request, deadlineMillis, answer));
        }
    }

    /** Decides what a request may say that is refused without a claim: the claim that holds its key, or the run state. */
    void lookUp(ClaimRequest request, Consumer<ClaimDecision> answer, long nowMillis) {
        if (pendingRequests.size() >= settings.maxPending()) {
            answer.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.BUFFER_FULL));
            return;
        }
        final PendingRequest wait = new PendingRequest(request, nowMillis, answer);
        abandon(wait);
        pendingRequests.put(attemptIds.get(), wait);
    }

    /** Releases a claim and answers whether the release was read back before the deadline. */
    void release(ClaimRecord.Claim claim, long deadlineMillis, Consumer<Boolean> answer) {
        if (!ledger.isCurrent(claim)) {
            answer.accept(true);
            return;
        }
        final PendingRelease known = pendingReleases.get(claim.attemptId());
        if (known != null) {
            known.callbacks.add(answer);
            known.deadlineMillis = Math.max(known.deadlineMillis, deadlineMillis);
        } else if (writer.size() >= 2 * settings.maxPending()) {
            answer.accept(false);
        } else {
            final PendingRelease wait = new PendingRelease(deadlineMillis);
            wait.callbacks.add(answer);
            pendingReleases.put(claim.attemptId(), wait);
            writer.add(
                    new ClaimRecord.Release(claim.key(), claim.attemptId()),
                    () -> ledger.isCurrent(claim),
                    acknowledged -> {});
        }
    }

    /** Queues an outcome and answers whether its append was acknowledged. Outcomes give way to claims and releases. */
    void record(ClaimRecord.Outcome outcome, Consumer<Boolean> answer) {
        if (writer.size() >= settings.maxPending()) {
            answer.accept(false);
        } else {
            writer.add(outcome, () -> true, answer);
        }
    }

    Optional<PartitionReader.Read> nextRead(long nowMillis) {
        return reader.nextRead(!pendingRequests.isEmpty() || !pendingReleases.isEmpty(), !hasAbandoned, nowMillis);
    }

    /** Folds a page and returns whether it could be folded. */
    boolean completeRead(long sequence, LogPage page, long nowMillis) {
        reader.completeRead(sequence, page, nowMillis).forEach(fold -> handleResult(fold, nowMillis));
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

    /** Withdraws the requests past their deadline. Called every few milliseconds. */
    void tick(long nowMillis) {
        ledger.evictExpired(nowMillis);
        final List<PendingRequest> late = pendingRequests.values().stream()
                .filter(wait -> !wait.abandoned && nowMillis >= wait.deadlineMillis)
                .toList();
        if (!late.isEmpty()) {
            late.forEach(this::abandon);
            writer.removeUnneeded();
        }
        completeAbandoned(nowMillis);
        for (final Map.Entry<String, PendingRelease> entry : List.copyOf(pendingReleases.entrySet())) {
            if (nowMillis >= entry.getValue().deadlineMillis) {
                pendingReleases.remove(entry.getKey()).complete(false);
            }
        }
    }

    /** Gives up everything that waits. */
    void close() {
        final List<PendingRequest> left = List.copyOf(pendingRequests.values());
        pendingRequests.clear();
        left.forEach(wait ->
                wait.callback.accept(new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.STOPPING)));
        List.copyOf(pendingReleases.values()).forEach(wait -> wait.complete(false));
        pendingReleases.clear();
        writer.clear();
    }

    boolean isIdle() {
        return pendingRequests.isEmpty() && pendingReleases.isEmpty() && writer.size() == 0;
    }

    long tailReadMillis() {
        return reader.tailReadMillis();
    }

    private void queueClaim(PendingRequest wait) {
        final String attemptId = attemptIds.get();
        final ClaimRecord.Claim claim = wait.request.toClaim(attemptId, ledger.round(wait.request.key()));
        pendingRequests.put(attemptId, wait);
        writer.add(claim, () -> pendingRequests.containsKey(attemptId) && !wait.abandoned, acknowledged -> {});
    }

    private void handleResult(ApplyResult fold, long nowMillis) {
        if (fold instanceof ApplyResult.Won won) {
            pendingRequest(won.claim()).ifPresent(wait -> completeWon(won.claim(), wait, nowMillis));
        } else if (fold instanceof ApplyResult.KeyHeld behind) {
            pendingRequest(behind.claim()).ifPresent(wait -> {
                complete(behind.claim(), wait, ClaimDecision.ofHeldKey(wait.request, behind.current()));
            });
        } else if (fold instanceof ApplyResult.Stale stale) {
            pendingRequest(stale.claim()).ifPresent(wait -> claimAgain(stale.claim(), wait));
        } else if (fold instanceof ApplyResult.OutsideLifetime outside) {
            pendingRequest(outside.claim())
                    .ifPresent(wait ->
                            complete(outside.claim(), wait, new ClaimDecision.KeyRefused(KeyRejection.TOO_OLD)));
        } else if (fold instanceof ApplyResult.Untracked untracked) {
            pendingRequest(untracked.claim())
                    .ifPresent(wait -> complete(
                            untracked.claim(),
                            wait,
                            new ClaimDecision.Unavailable(RunState.UNKNOWN, ClaimDecision.Reason.LEDGER_FULL)));
        } else if (fold instanceof ApplyResult.Released released) {
            Optional.ofNullable(pendingReleases.remove(released.claim().attemptId()))
                    .ifPresent(wait -> wait.complete(true));
        }
    }

    private Optional<PendingRequest> pendingRequest(ClaimRecord.Claim claim) {
        return Optional.ofNullable(pendingRequests.get(claim.attemptId()));
    }

    private void completeWon(ClaimRecord.Claim claim, PendingRequest wait, long nowMillis) {
        if (!wait.abandoned && nowMillis >= wait.deadlineMillis) {
            abandon(wait);
        }
        if (!wait.abandoned) {
            pendingRequests.remove(claim.attemptId());
            wait.callback.accept(new ClaimDecision.Won(claim));
        } else {
            wait.wonClaim = Optional.of(claim);
        }
    }

    private void complete(ClaimRecord.Claim claim, PendingRequest wait, ClaimDecision decision) {
        pendingRequests.remove(claim.attemptId());
        releaseUnsent(claim);
        wait.callback.accept(decision);
    }

    /** Claims again in the current round, unless another claim holds the key by now and decides at the next read. */
    private void claimAgain(ClaimRecord.Claim claim, PendingRequest wait) {
        if (!wait.abandoned) {
            pendingRequests.remove(claim.attemptId());
            queueClaim(wait);
        }
    }

    private void abandon(PendingRequest wait) {
        wait.abandoned = true;
        wait.lastReadBeforeAbandon = reader.sequence();
        hasAbandoned = true;
    }

    /**
     * Answers withdrawn requests. Only a read that was started after the withdrawal proves that no claim of the key was
     * on the log when the request was given up.
     */
    private void completeAbandoned(long nowMillis) {
        if (!hasAbandoned) {
            return;
        }
        hasAbandoned = false;
        for (final Map.Entry<String, PendingRequest> entry : List.copyOf(pendingRequests.entrySet())) {
            final PendingRequest wait = entry.getValue();
            if (!wait.abandoned) {
                continue;
            }
            final boolean readAgain = reader.tailSequence() > wait.lastReadBeforeAbandon;
            if (!readAgain && nowMillis < wait.deadlineMillis + settings.confirmTimeoutMillis()) {
                hasAbandoned = true;
                continue;
            }
            pendingRequests.remove(entry.getKey());
            final Optional<CurrentClaim> other = ledger.currentClaim(wait.request.key(), nowMillis)
                    .filter(standing -> !standing.claim().attemptId().equals(entry.getKey()));
            wait.wonClaim.ifPresent(this::releaseUnsent);
            final boolean proven = readAgain && ledger.isCompleteFor(wait.request.key(), nowMillis);
            wait.callback.accept(other.map(standing -> ClaimDecision.ofHeldKey(wait.request, standing))
                    .orElseGet(() -> new ClaimDecision.Unavailable(
                            proven ? RunState.NOT_RUN : RunState.UNKNOWN, ClaimDecision.Reason.DEADLINE)));
        }
    }

    /** A claim that holds its key but was not answered as won is never dispatched, so it may be released. */
    private void releaseUnsent(ClaimRecord.Claim claim) {
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

        PendingRequest(ClaimRequest request, long deadlineMillis, Consumer<ClaimDecision> answer) {
            this.request = request;
            this.deadlineMillis = deadlineMillis;
            this.callback = answer;
        }
    }

    private static final class PendingRelease {
        private final List<Consumer<Boolean>> callbacks = new ArrayList<>(1);
        private long deadlineMillis;

        PendingRelease(long deadlineMillis) {
            this.deadlineMillis = deadlineMillis;
        }

        void complete(boolean released) {
            callbacks.forEach(answer -> answer.accept(released));
        }
    }
}
