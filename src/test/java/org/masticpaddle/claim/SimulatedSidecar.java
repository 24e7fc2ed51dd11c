package org.masticpaddle.claim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.masticpaddle.billing.ChargeBuffer;
import org.masticpaddle.wire.Charge;

/** Sidecar of a {@link ClaimSimulation}, which runs the attempts that an {@link AttemptTable} accepts. */
final class SimulatedSidecar {
    final String name;
    final Set<String> chargedIdentities = new HashSet<>();
    private final ClaimSimulation simulation;
    private final Map<String, Consumer<Charge>> running = new HashMap<>();
    private final Map<String, ClaimRecord.Claim> claimsByAttempt = new HashMap<>();
    private AttemptTable table;
    private ChargeBuffer charges;
    private long incarnation;
    private boolean paused;

    SimulatedSidecar(ClaimSimulation simulation, String name) {
        this.simulation = simulation;
        this.name = name;
        restart();
    }

    long incarnation() {
        return incarnation;
    }

    void restart() {
        incarnation++;
        table = new AttemptTable(incarnation, ClaimSimulation.LIFETIME_MILLIS, 3, 4, 8);
        charges = ClaimSimulation.newChargeBuffer();
        running.clear();
        chargedIdentities.clear();
        paused = false;
    }

    void togglePause() {
        paused = !paused && simulation.chance(50);
    }

    void resume() {
        paused = false;
    }

    void dispatch(ClaimRecord.Claim claim, Consumer<Charge> onAnswer) {
        if (paused) {
            simulation.send(() -> dispatch(claim, onAnswer));
            return;
        }
        final AttemptAdmission admission =
                table.accept(claim.attemptId(), claim.incarnation(), createdMillis(claim), simulation.now());
        simulation.count(admission.name());
        if (admission == AttemptAdmission.RUN || runsDespiteRejection(admission)) {
            simulation.recordRun(claim);
            running.put(claim.attemptId(), onAnswer);
            claimsByAttempt.put(claim.attemptId(), claim);
        }
    }

    void resolve(ClaimRecord.Claim claim, Consumer<AttemptStatus> callback) {
        if (paused) {
            simulation.send(() -> resolve(claim, callback));
            return;
        }
        final AttemptStatus status =
                table.resolve(claim.attemptId(), claim.incarnation(), createdMillis(claim), simulation.now());
        simulation.count(status.getClass().getSimpleName());
        simulation.send(() -> callback.accept(status));
    }

    void discardHeldCharge(String attemptId) {
        charges.discardHeld(attemptId);
    }

    /** Completes one running attempt, if there is any, and sends the charges that are due. */
    void step() {
        if (paused) {
            return;
        }
        running.keySet().stream().sorted().findFirst().ifPresent(this::completeAttempt);
        sendCharges();
    }

    void sendCharges() {
        final ChargeBuffer buffer = charges;
        buffer.nextAppend(simulation.now())
                .ifPresent(append -> simulation.send(() -> {
                    final boolean acknowledged = simulation.append(simulation.charges, append.records());
                    simulation.send(() -> buffer.completeAppend(append.sequence(), acknowledged, simulation.now()));
                }));
    }

    private void completeAttempt(String attemptId) {
        final ClaimRecord.Claim claim = claimsByAttempt.get(attemptId);
        table.recordAnswer(attemptId, 200, new byte[simulation.random.nextInt(6)]);
        final String identity = ClaimSimulation.keyName(claim.key());
        final Charge charge = new Charge(identity, "o", "m", "v", 1, 1, 5, 0, attemptId);
        charges.hold(charge, simulation.now());
        chargedIdentities.add(identity);
        final Consumer<Charge> onAnswer = running.remove(attemptId);
        simulation.send(() -> onAnswer.accept(charge));
    }

    private boolean runsDespiteRejection(AttemptAdmission admission) {
        return switch (admission) {
            case REPEATED -> simulation.brokenGuard == BrokenGuard.ATTEMPT_RUNS_ONCE;
            case SEALED -> simulation.brokenGuard == BrokenGuard.FENCED_ATTEMPT_NEVER_RUNS;
            case OTHER_INCARNATION -> simulation.brokenGuard == BrokenGuard.INCARNATION_IS_CHECKED;
            case EXPIRED -> simulation.brokenGuard == BrokenGuard.EXPIRED_ATTEMPT_IS_REJECTED;
            default -> false;
        };
    }

    private static long createdMillis(ClaimRecord.Claim claim) {
        return AttemptIdGenerator.createdMillis(claim.attemptId()).orElseThrow();
    }
}
