package org.masticpaddle.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.masticpaddle.billing.ChargeBuffer;
import org.masticpaddle.wire.Charge;

/** Sidecar of a {@link ClaimWorld} around an {@link AttemptTable}. */
final class SimulatedSidecar {
    final String name;
    final Set<String> finished = new HashSet<>();
    private final ClaimWorld world;
    private final Map<String, Consumer<Charge>> running = new HashMap<>();
    private final Map<String, ClaimRecord.Claim> attempts = new HashMap<>();
    private AttemptTable table;
    private ChargeBuffer charges;
    private long incarnation;
    private boolean paused;

    SimulatedSidecar(ClaimWorld world, String name) {
        this.world = world;
        this.name = name;
        restart();
    }

    long incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        table = new AttemptTable(incarnation, ClaimWorld.LIFETIME, 3, 4, 8);
        charges = ClaimWorld.chargeBuffer();
        running.clear();
        finished.clear();
        paused = false;
    }

    void togglePause() {
        paused = !paused && world.chance(50);
    }

    void resume() {
        paused = false;
    }

    void dispatch(ClaimRecord.Claim claim, Consumer<Charge> ended) {
        if (paused) {
            world.send(() -> dispatch(claim, ended));
            return;
        }
        final AttemptAdmission admission = table.accept(claim.attemptId(), claim.incarnation(), created(claim), world.now());
        world.count(admission.name());
        if (admission == AttemptAdmission.RUN || runsAnyway(admission)) {
            world.ran(claim);
            running.put(claim.attemptId(), ended);
            attempts.put(claim.attemptId(), claim);
        }
    }

    void settle(ClaimRecord.Claim claim, Consumer<AttemptStatus> answer) {
        if (paused) {
            world.send(() -> settle(claim, answer));
            return;
        }
        final AttemptStatus settlement = table.resolve(claim.attemptId(), claim.incarnation(), created(claim), world.now());
        world.count(settlement.getClass().getSimpleName());
        world.send(() -> answer.accept(settlement));
    }

    void settled(String attemptId) {
        charges.settled(attemptId);
    }

    /** Ends a running attempt, if there is one, and sends charges that are due. */
    void turn() {
        if (paused) {
            return;
        }
        running.keySet().stream().sorted().findFirst().ifPresent(this::end);
        sendCharges();
    }

    void sendCharges() {
        final ChargeBuffer buffer = charges;
        buffer.next(world.now())
                .ifPresent(append -> world.send(() -> {
                    final boolean done = world.append(world.charges, append.records());
                    world.send(() -> buffer.done(append.sequence(), done, world.now()));
                }));
    }

    private void end(String attemptId) {
        final ClaimRecord.Claim claim = attempts.get(attemptId);
        table.recordAnswer(attemptId, 200, new byte[world.random.nextInt(6)]);
        final String identity = ClaimWorld.name(claim.key());
        final Charge charge = new Charge(identity, "o", "m", "v", 1, 1, 5, 0, attemptId);
        charges.hold(charge, world.now());
        finished.add(identity);
        final Consumer<Charge> ended = running.remove(attemptId);
        world.send(() -> ended.accept(charge));
    }

    private boolean runsAnyway(AttemptAdmission admission) {
        return switch (admission) {
            case REPEATED -> world.broken == BrokenGuard.ATTEMPT_RUNS_ONCE;
            case SEALED -> world.broken == BrokenGuard.SEAL_IS_FINAL;
            case OTHER_INCARNATION -> world.broken == BrokenGuard.INCARNATION_IS_CHECKED;
            case EXPIRED -> world.broken == BrokenGuard.OLD_ATTEMPT_IS_REFUSED;
            default -> false;
        };
    }

    private static long created(ClaimRecord.Claim claim) {
        return AttemptIdGenerator.createdMillis(claim.attemptId()).orElseThrow();
    }
}
