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

/** Entry of a {@link ClaimWorld} around a {@link ClaimPartition}. */
final class SimulatedEntry {
    private final ClaimWorld world;
    private final Set<String> ownAttempts = new HashSet<>();
    private final List<Call> calls = new ArrayList<>();
    private ClaimPartition partition;
    private ChargeBuffer charges;
    private int epoch;
    private long blindBefore;
    private boolean paused;

    SimulatedEntry(ClaimWorld world) {
        this.world = world;
        restart();
        blindBefore = 0;
    }

    private static final class Call {
        private final IdempotencyKey key;
        private final String body;
        private final SimulatedSidecar sidecar;
        private final long arrived;
        private long deadline;
        private int logSizeAtDeadline = -1;
        private long givenUp;
        private int retries = 2;

        Call(IdempotencyKey key, String body, SimulatedSidecar sidecar, long arrived) {
            this.key = key;
            this.body = body;
            this.sidecar = sidecar;
            this.arrived = arrived;
        }
    }

    void restart() {
        epoch++;
        partition = ClaimWorld.partition(world, ownAttempts);
        charges = ClaimWorld.chargeBuffer();
        calls.clear();
        blindBefore = world.broken == BrokenGuard.READ_FROM_START_OF_LIFETIME
                ? world.claims.history().size()
                : 0;
        paused = false;
    }

    void togglePause() {
        paused = !paused && world.chance(50);
    }

    void resume() {
        paused = false;
    }

    void call(IdempotencyKey key, SimulatedSidecar sidecar, String body) {
        if (paused) {
            return;
        }
        final Call call = new Call(key, body, sidecar, world.now());
        if (world.chance(10)) {
            call.deadline = world.now();
            call.logSizeAtDeadline = world.claims.history().size();
            call.givenUp = world.now();
            partition.refuse(request(call), decision -> decided(call, decision), world.now());
        } else {
            submit(call);
        }
    }

    void turn() {
        if (paused) {
            return;
        }
        noteDeadlines();
        partition.tick(world.now());
        partition.nextAppend(world.now()).ifPresent(this::append);
        partition.nextRead(world.now()).ifPresent(this::read);
        sendCharges();
    }

    private void submit(Call call) {
        call.deadline = world.now() + 20 + world.random.nextInt(600);
        call.logSizeAtDeadline = -1;
        calls.add(call);
        partition.submit(request(call), call.deadline, decision -> decided(call, decision), world.now());
    }

    private ClaimRequest request(Call call) {
        return new ClaimRequest(call.key, call.body, call.sidecar.name, call.sidecar.incarnation());
    }

    private void decided(Call call, ClaimDecision decision) {
        calls.remove(call);
        world.count(
                decision instanceof ClaimDecision.Unavailable unavailable
                        ? unavailable.reason().name()
                        : decision.getClass().getSimpleName());
        if (decision instanceof ClaimDecision.Won won) {
            dispatch(won.claim());
        } else if (decision instanceof ClaimDecision.Stands stands
                && stands.outcome().isEmpty()) {
            settle(call, stands.claim());
        } else if (decision instanceof ClaimDecision.Unavailable unavailable
                && (unavailable.runState() == RunState.NOT_RUN || saysNotRunAnyway(call))) {
            final int size = call.logSizeAtDeadline;
            world.promiseNotRun(call.key, size < 0 ? world.claims.history().size() : size, call.givenUp);
        }
    }

    private boolean saysNotRunAnyway(Call call) {
        return world.broken == BrokenGuard.NOT_RUN_NEEDS_TAIL
                || world.broken == BrokenGuard.NOT_RUN_NEEDS_READ_AFTER_GIVING_UP
                        && partition.tailMillis() > call.arrived;
    }

    private void dispatch(ClaimRecord.Claim claim) {
        final int sender = epoch;
        world.send(() ->
                world.sidecar(claim.sidecar()).dispatch(claim, charge -> here(sender, () -> ended(claim, charge))));
    }

    private void ended(ClaimRecord.Claim claim, Charge charge) {
        partition.record(ClaimRecord.Outcome.of(claim, 200, new byte[0]), acknowledged -> {});
        final Runnable settled =
                () -> world.send(() -> world.sidecar(claim.sidecar()).settled(claim.attemptId()));
        if (world.broken == BrokenGuard.SETTLED_NEEDS_ACKNOWLEDGEMENT) {
            settled.run();
        }
        charges.add(charge, settled, world.now());
    }

    private void settle(Call call, ClaimRecord.Claim claim) {
        final int sender = epoch;
        world.send(() -> world.sidecar(claim.sidecar())
                .settle(claim, settlement -> here(sender, () -> settled(call, claim, settlement))));
    }

    private void settled(Call call, ClaimRecord.Claim claim, AttemptStatus settlement) {
        if (settlement instanceof AttemptStatus.Sealed || world.broken == BrokenGuard.RELEASE_NEEDS_SEAL) {
            partition.release(claim, world.now() + 500, released -> {
                if (released && call.retries-- > 0) {
                    world.count("retry");
                    submit(call);
                }
            });
        }
    }

    private void append(PartitionWriter.Append append) {
        final int sender = epoch;
        world.send(() -> {
            final boolean done = world.append(world.claims, append.records());
            world.send(() -> here(sender, () -> {
                partition.appendDone(append.sequence(), done, world.now());
                if (done && world.broken == BrokenGuard.WIN_NEEDS_READ_BACK) {
                    append.records().stream()
                            .flatMap(data -> ClaimRecord.decode(data).stream())
                            .filter(ClaimRecord.Claim.class::isInstance)
                            .forEach(claim -> dispatch((ClaimRecord.Claim) claim));
                }
            }));
        });
    }

    private void read(PartitionReader.Read read) {
        final int sender = epoch;
        world.send(() -> {
            if (world.outage()) {
                world.send(() -> here(sender, () -> partition.readFailed(read.sequence(), world.now())));
                return;
            }
            final LogPage page = altered(world.claims.read(Math.max(read.from(), blindBefore), read.limit()));
            world.send(() -> here(sender, () -> partition.readDone(read.sequence(), page, world.now())));
        });
    }

    private LogPage altered(LogPage page) {
        if (world.broken == BrokenGuard.FIRST_CLAIM_WINS) {
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
        return new LogPage(Math.max(page.earliest(), blindBefore), page.end(), page.records());
    }

    private void sendCharges() {
        final ChargeBuffer buffer = charges;
        final int sender = epoch;
        buffer.next(world.now())
                .ifPresent(append -> world.send(() -> {
                    final boolean done = world.append(world.charges, append.records());
                    world.send(() -> here(sender, () -> buffer.done(append.sequence(), done, world.now())));
                }));
    }

    /** Runs what arrives at the process that it was meant for, after a pause if that process is paused. */
    private void here(int sender, Runnable action) {
        if (sender == epoch && paused) {
            world.send(() -> here(sender, action));
        } else if (sender == epoch) {
            noteDeadlines();
            action.run();
        }
    }

    /** Notes what is on the log when the entry first acts after a call's deadline, and so gives the call up. */
    private void noteDeadlines() {
        for (final Call call : calls) {
            if (call.logSizeAtDeadline < 0 && world.now() >= call.deadline) {
                call.logSizeAtDeadline = world.claims.history().size();
                call.givenUp = world.now();
            }
        }
    }
}
