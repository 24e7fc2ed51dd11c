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

/** Entry of a {@link ClaimSimulation} around a {@link ClaimPartition}. */
final class SimulatedEntry {
    private final ClaimSimulation simulation;
    private final Set<String> ownAttempts = new HashSet<>();
    private final List<Request> requests = new ArrayList<>();
    private ClaimPartition partition;
    private ChargeBuffer charges;
    private int incarnation;
    private long lowestVisibleOffset;
    private boolean paused;

    SimulatedEntry(ClaimSimulation world) {
        this.simulation = world;
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

        Request(IdempotencyKey key, String body, SimulatedSidecar sidecar, long arrived) {
            this.key = key;
            this.body = body;
            this.sidecar = sidecar;
            this.arrivalMillis = arrived;
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
        final Request call = new Request(key, body, sidecar, simulation.now());
        if (simulation.chance(10)) {
            call.deadlineMillis = simulation.now();
            call.logSizeAtDeadline = simulation.claims.history().size();
            call.abandonedMillis = simulation.now();
            partition.lookUp(claimRequest(call), decision -> handleDecision(call, decision), simulation.now());
        } else {
            submit(call);
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

    private void submit(Request call) {
        call.deadlineMillis = simulation.now() + 20 + simulation.random.nextInt(600);
        call.logSizeAtDeadline = -1;
        requests.add(call);
        partition.submit(
                claimRequest(call), call.deadlineMillis, decision -> handleDecision(call, decision), simulation.now());
    }

    private ClaimRequest claimRequest(Request call) {
        return new ClaimRequest(call.key, call.body, call.sidecar.name, call.sidecar.incarnation());
    }

    private void handleDecision(Request call, ClaimDecision decision) {
        requests.remove(call);
        simulation.count(
                decision instanceof ClaimDecision.Unavailable unavailable
                        ? unavailable.reason().name()
                        : decision.getClass().getSimpleName());
        if (decision instanceof ClaimDecision.Won won) {
            dispatch(won.claim());
        } else if (decision instanceof ClaimDecision.Stands stands
                && stands.outcome().isEmpty()) {
            resolve(call, stands.claim());
        } else if (decision instanceof ClaimDecision.Unavailable unavailable
                && (unavailable.runState() == RunState.NOT_RUN || reportsNotRunWithoutProof(call))) {
            final int size = call.logSizeAtDeadline;
            simulation.recordNotRun(
                    call.key, size < 0 ? simulation.claims.history().size() : size, call.abandonedMillis);
        }
    }

    private boolean reportsNotRunWithoutProof(Request call) {
        return simulation.brokenGuard == BrokenGuard.NOT_RUN_NEEDS_TAIL
                || simulation.brokenGuard == BrokenGuard.NOT_RUN_NEEDS_READ_AFTER_ABANDONMENT
                        && partition.tailReadMillis() > call.arrivalMillis;
    }

    private void dispatch(ClaimRecord.Claim claim) {
        final int sender = incarnation;
        simulation.send(() -> simulation
                .sidecar(claim.sidecar())
                .dispatch(claim, charge -> runInIncarnation(sender, () -> handleAnswer(claim, charge))));
    }

    private void handleAnswer(ClaimRecord.Claim claim, Charge charge) {
        partition.record(ClaimRecord.Outcome.of(claim, 200, new byte[0]), acknowledged -> {});
        final Runnable settled =
                () -> simulation.send(() -> simulation.sidecar(claim.sidecar()).discardHeldCharge(claim.attemptId()));
        if (simulation.brokenGuard == BrokenGuard.DISCARD_NEEDS_ACKNOWLEDGED_APPEND) {
            settled.run();
        }
        charges.add(charge, settled, simulation.now());
    }

    private void resolve(Request call, ClaimRecord.Claim claim) {
        final int sender = incarnation;
        simulation.send(() -> simulation
                .sidecar(claim.sidecar())
                .resolve(claim, settlement -> runInIncarnation(sender, () -> handleStatus(call, claim, settlement))));
    }

    private void handleStatus(Request call, ClaimRecord.Claim claim, AttemptStatus settlement) {
        if (settlement instanceof AttemptStatus.Sealed
                || simulation.brokenGuard == BrokenGuard.RELEASE_NEEDS_FENCED_ATTEMPT) {
            partition.release(claim, simulation.now() + 500, released -> {
                if (released && call.retries-- > 0) {
                    simulation.count("retry");
                    submit(call);
                }
            });
        }
    }

    private void append(PartitionWriter.Append append) {
        final int sender = incarnation;
        simulation.send(() -> {
            final boolean done = simulation.append(simulation.claims, append.records());
            simulation.send(() -> runInIncarnation(sender, () -> {
                partition.completeAppend(append.sequence(), done, simulation.now());
                if (done && simulation.brokenGuard == BrokenGuard.WIN_NEEDS_READ_BACK) {
                    append.records().stream()
                            .flatMap(data -> ClaimRecord.decode(data).stream())
                            .filter(ClaimRecord.Claim.class::isInstance)
                            .forEach(claim -> dispatch((ClaimRecord.Claim) claim));
                }
            }));
        });
    }

    private void read(PartitionReader.Read read) {
        final int sender = incarnation;
        simulation.send(() -> {
            if (simulation.outage()) {
                simulation.send(
                        () -> runInIncarnation(sender, () -> partition.failRead(read.sequence(), simulation.now())));
                return;
            }
            final LogPage page =
                    pageAsSeen(simulation.claims.read(Math.max(read.from(), lowestVisibleOffset), read.limit()));
            simulation.send(() ->
                    runInIncarnation(sender, () -> partition.completeRead(read.sequence(), page, simulation.now())));
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
        final int sender = incarnation;
        buffer.nextAppend(simulation.now())
                .ifPresent(append -> simulation.send(() -> {
                    final boolean done = simulation.append(simulation.charges, append.records());
                    simulation.send(() -> runInIncarnation(
                            sender, () -> buffer.completeAppend(append.sequence(), done, simulation.now())));
                }));
    }

    /** Runs what arrives at the process that it was meant for, after a pause if that process is paused. */
    private void runInIncarnation(int sender, Runnable action) {
        if (sender == incarnation && paused) {
            simulation.send(() -> runInIncarnation(sender, action));
        } else if (sender == incarnation) {
            recordPassedDeadlines();
            action.run();
        }
    }

    /** Notes what is on the log when the entry first acts after a call's deadline, and so gives the call up. */
    private void recordPassedDeadlines() {
        for (final Request call : requests) {
            if (call.logSizeAtDeadline < 0 && simulation.now() >= call.deadlineMillis) {
                call.logSizeAtDeadline = simulation.claims.history().size();
                call.abandonedMillis = simulation.now();
            }
        }
    }
}
