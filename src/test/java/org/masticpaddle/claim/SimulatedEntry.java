package org.masticpaddle.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.masticpaddle.billing.ChargeBuffer;
import org.masticpaddle.platform.LogPage;
import org.masticpaddle.platform.LogRecord;
import org.masticpaddle.wire.Charge;
import org.masticpaddle.wire.RunState;

/** Entry of a {@link ClaimSimulation}, which executes the reads and appends of a {@link ClaimPartition}. */
final class SimulatedEntry {
    private final ClaimSimulation simulation;
    private final Set<String> ownAttempts = new HashSet<>();
    private final List<Request> requests = new ArrayList<>();
    private ClaimPartition partition;
    private ChargeBuffer charges;
    private int incarnation;
    private long lowestVisibleOffset;
    private boolean paused;

    SimulatedEntry(ClaimSimulation simulation) {
        this.simulation = simulation;
        restart();
        lowestVisibleOffset = 0;
    }

    private static final class Request {
        private final IdempotencyKey key;
        private final String body;
        private final SimulatedSidecar sidecar;
        private final long arrivalMillis;
        private long deadlineMillis;
        private int logSizeAtDeadline = -1;
        private long abandonedMillis;
        private int retries = 2;

        Request(IdempotencyKey key, String body, SimulatedSidecar sidecar, long arrivalMillis) {
            this.key = key;
            this.body = body;
            this.sidecar = sidecar;
            this.arrivalMillis = arrivalMillis;
        }
    }

    void restart() {
        incarnation++;
        partition = ClaimSimulation.newPartition(simulation, ownAttempts);
        charges = ClaimSimulation.newChargeBuffer();
        requests.clear();
        lowestVisibleOffset = simulation.brokenGuard == BrokenGuard.READ_FROM_START_OF_LIFETIME
                ? simulation.claims.history().size()
                : 0;
        paused = false;
    }

    void togglePause() {
        paused = !paused && simulation.chance(50);
    }

    void resume() {
        paused = false;
    }

    void receive(IdempotencyKey key, SimulatedSidecar sidecar, String body) {
        if (paused) {
            return;
        }
        final Request request = new Request(key, body, sidecar, simulation.now());
        if (simulation.chance(10)) {
            request.deadlineMillis = simulation.now();
            request.logSizeAtDeadline = simulation.claims.history().size();
            request.abandonedMillis = simulation.now();
            partition.lookUp(claimRequest(request), decision -> handleDecision(request, decision), simulation.now());
        } else {
            submit(request);
        }
    }

    void step() {
        if (paused) {
            return;
        }
        recordPassedDeadlines();
        partition.tick(simulation.now());
        partition.nextAppend(simulation.now()).ifPresent(this::append);
        partition.nextRead(simulation.now()).ifPresent(this::read);
        sendCharges();
    }

    private void submit(Request request) {
        request.deadlineMillis = simulation.now() + 20 + simulation.random.nextInt(600);
        request.logSizeAtDeadline = -1;
        requests.add(request);
        partition.submit(
                claimRequest(request),
                request.deadlineMillis,
                decision -> handleDecision(request, decision),
                simulation.now());
    }

    private ClaimRequest claimRequest(Request request) {
        return new ClaimRequest(request.key, request.body, request.sidecar.name, request.sidecar.incarnation());
    }

    private void handleDecision(Request request, ClaimDecision decision) {
        requests.remove(request);
        simulation.count(
                decision instanceof ClaimDecision.Unavailable unavailable
                        ? unavailable.reason().name()
                        : decision.getClass().getSimpleName());
        if (decision instanceof ClaimDecision.Won won) {
            dispatch(won.claim());
        } else if (decision instanceof ClaimDecision.Stands stands
                && stands.outcome().isEmpty()) {
            resolve(request, stands.claim());
        } else if (decision instanceof ClaimDecision.Unavailable unavailable
                && (unavailable.runState() == RunState.NOT_RUN || reportsNotRunWithoutProof(request))) {
            final int size = request.logSizeAtDeadline;
            simulation.recordNotRun(
                    request.key, size < 0 ? simulation.claims.history().size() : size, request.abandonedMillis);
        }
    }

    private boolean reportsNotRunWithoutProof(Request request) {
        return simulation.brokenGuard == BrokenGuard.NOT_RUN_NEEDS_TAIL
                || simulation.brokenGuard == BrokenGuard.NOT_RUN_NEEDS_READ_AFTER_ABANDONMENT
                        && partition.tailReadMillis() > request.arrivalMillis;
    }

    private void dispatch(ClaimRecord.Claim claim) {
        final int senderIncarnation = incarnation;
        simulation.send(() -> simulation
                .sidecar(claim.sidecar())
                .dispatch(claim, charge -> runInIncarnation(senderIncarnation, () -> handleAnswer(claim, charge))));
    }

    private void handleAnswer(ClaimRecord.Claim claim, Charge charge) {
        partition.record(ClaimRecord.Outcome.of(claim, 200, new byte[0]), acknowledged -> {});
        final Runnable discardHeld =
                () -> simulation.send(() -> simulation.sidecar(claim.sidecar()).discardHeldCharge(claim.attemptId()));
        if (simulation.brokenGuard == BrokenGuard.DISCARD_NEEDS_ACKNOWLEDGED_APPEND) {
            discardHeld.run();
        }
        charges.add(charge, discardHeld, simulation.now());
    }

    private void resolve(Request request, ClaimRecord.Claim claim) {
        final int senderIncarnation = incarnation;
        simulation.send(() -> simulation
                .sidecar(claim.sidecar())
                .resolve(
                        claim,
                        status -> runInIncarnation(senderIncarnation, () -> handleStatus(request, claim, status))));
    }

    private void handleStatus(Request request, ClaimRecord.Claim claim, AttemptStatus status) {
        if (status instanceof AttemptStatus.Sealed
                || simulation.brokenGuard == BrokenGuard.RELEASE_NEEDS_FENCED_ATTEMPT) {
            partition.release(claim, simulation.now() + 500, released -> {
                if (released && request.retries-- > 0) {
                    simulation.count("retry");
                    submit(request);
                }
            });
        }
    }

    private void append(PartitionWriter.Append append) {
        final int senderIncarnation = incarnation;
        simulation.send(() -> {
            final boolean acknowledged = simulation.append(simulation.claims, append.records());
            simulation.send(() -> runInIncarnation(senderIncarnation, () -> {
                partition.completeAppend(append.sequence(), acknowledged, simulation.now());
                if (acknowledged && simulation.brokenGuard == BrokenGuard.WIN_NEEDS_READ_BACK) {
                    append.records().stream()
                            .flatMap(data -> ClaimRecord.decode(data).stream())
                            .filter(ClaimRecord.Claim.class::isInstance)
                            .forEach(claim -> dispatch((ClaimRecord.Claim) claim));
                }
            }));
        });
    }

    private void read(PartitionReader.Read read) {
        final int senderIncarnation = incarnation;
        simulation.send(() -> {
            if (simulation.outage()) {
                simulation.send(() -> runInIncarnation(
                        senderIncarnation, () -> partition.failRead(read.sequence(), simulation.now())));
                return;
            }
            final LogPage page =
                    pageAsSeen(simulation.claims.read(Math.max(read.from(), lowestVisibleOffset), read.limit()));
            simulation.send(() -> runInIncarnation(
                    senderIncarnation, () -> partition.completeRead(read.sequence(), page, simulation.now())));
        });
    }

    private LogPage pageAsSeen(LogPage page) {
        if (simulation.brokenGuard == BrokenGuard.FIRST_CLAIM_WINS) {
            final List<byte[]> data = page.records().stream()
                    .map(LogRecord::data)
                    .sorted(Comparator.comparing(bytes -> !ownAttempts.contains(
                            ClaimRecord.decode(bytes).orElseThrow().attemptId())))
                    .toList();
            final List<LogRecord> records = new ArrayList<>();
            for (final LogRecord record : page.records()) {
                records.add(new LogRecord(record.offset(), record.timeMillis(), data.get(records.size())));
            }
            return new LogPage(page.earliest(), page.end(), records);
        }
        return new LogPage(Math.max(page.earliest(), lowestVisibleOffset), page.end(), page.records());
    }

    private void sendCharges() {
        final ChargeBuffer buffer = charges;
        final int senderIncarnation = incarnation;
        buffer.nextAppend(simulation.now())
                .ifPresent(append -> simulation.send(() -> {
                    final boolean acknowledged = simulation.append(simulation.charges, append.records());
                    simulation.send(() -> runInIncarnation(
                            senderIncarnation,
                            () -> buffer.completeAppend(append.sequence(), acknowledged, simulation.now())));
                }));
    }

    /** Runs an action if this entry is still in the given incarnation, after the pause if it is paused. */
    private void runInIncarnation(int expectedIncarnation, Runnable action) {
        if (expectedIncarnation == incarnation && paused) {
            simulation.send(() -> runInIncarnation(expectedIncarnation, action));
        } else if (expectedIncarnation == incarnation) {
            recordPassedDeadlines();
            action.run();
        }
    }

    /** Records the size of the log when the entry first acts after the deadline of a request, and so abandons it. */
    private void recordPassedDeadlines() {
        for (final Request request : requests) {
            if (request.logSizeAtDeadline < 0 && simulation.now() >= request.deadlineMillis) {
                request.logSizeAtDeadline = simulation.claims.history().size();
                request.abandonedMillis = simulation.now();
            }
        }
    }
}
