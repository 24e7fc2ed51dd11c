package org.masticpaddle.rollout;

import java.util.Objects;

import org.masticpaddle.document.Rollout;

/**
 * Progress of a roll-out, a fold of the declared roll-out, observations and time. Immutable and thread-safe.
 *
 * <p>The share of new sessions only grows, except to 0 when the new version is found bad or the operator stops the
 * roll-out. Entries exchange their states and merge them; a halt at one is a halt at all, so that disagreement ends on
 * the safe side. An operator ends a halt by publishing the roll-out as stopped and then as running again, which starts
 * a new generation at the first stage.
 *
 * @param rollout name of the roll-out
 * @param generation starts after a stop
 * @param stage index of the stage reached, or -1 while the version is being loaded
 * @param startedAt start of the generation in milliseconds since 1970, from which observations count
 * @param stageStartedAt start of the stage in milliseconds since 1970
 * @param halted whether the new version was found bad
 * @param stopSeenIn generation that the operator's stop ended, or -1
 */
public record RolloutState(
        String rollout,
        int generation,
        int stage,
        long startedAt,
        long stageStartedAt,
        boolean halted,
        int stopSeenIn) {
    /** Checks the arguments. */
    public RolloutState {
        Objects.requireNonNull(rollout, "rollout is null");
    }

    /**
     * Returns the state of a roll-out that nobody has begun.
     *
     * @param rollout name of the roll-out
     * @param now current time in milliseconds since 1970
     * @return the state
     */
    public static RolloutState initial(String rollout, long now) {
        return new RolloutState(rollout, 0, -1, now, now, false, -1);
    }

    /**
     * Takes the next step.
     *
     * @param declared declared roll-out
     * @param evidence observations and loads
     * @param now current time in milliseconds since 1970
     * @return the state after it, at most one stage further
     */
    public RolloutState step(Rollout declared, RolloutEvidence evidence, long now) {
        if (declared.state() == Rollout.State.STOPPED) {
            return stopSeenIn >= 0
                    ? this
                    : new RolloutState(rollout, generation, stage, startedAt, stageStartedAt, halted, generation);
        }
        if (stopSeenIn >= 0) {
            return stopSeenIn < generation
                    ? new RolloutState(rollout, generation, stage, startedAt, stageStartedAt, halted, -1)
                    : new RolloutState(rollout, generation + 1, -1, now, now, false, -1);
        }
        if (halted) {
            return this;
        }
        final SequentialTest.Verdict verdict = SequentialTest.decide(evidence.counts(), evidence.baseline());
        if (stage >= 0 && (verdict == SequentialTest.Verdict.BAD || !evidence.versionHealthy())) {
            return new RolloutState(rollout, generation, stage, startedAt, stageStartedAt, true, -1);
        }
        final boolean due = stage < 0
                || now - stageStartedAt >= declared.stageMillis() && verdict == SequentialTest.Verdict.HEALTHY;
        final boolean advances = declared.state() == Rollout.State.RUNNING
                && stage + 1 < declared.stages().size()
                && due
                && evidence.loadedFor(declared.stages().get(stage + 1));
        return advances ? new RolloutState(rollout, generation, stage + 1, startedAt, now, false, -1) : this;
    }

    /**
     * Returns the share of new sessions that go to the new version.
     *
     * @param declared declared roll-out
     * @return share between 0 and 1
     */
    public double share(Rollout declared) {
        if (halted
                || stage < 0
                || declared.state() == Rollout.State.STOPPED
                || declared.stages().isEmpty()) {
            return 0;
        }
        return declared.stages().get(Math.min(stage, declared.stages().size() - 1));
    }

    /**
     * Joins the states of two entries. Commutative, associative and idempotent but for {@code stopSeenIn}, which
     * stays this entry's own.
     *
     * @param other state of another entry for the same roll-out
     * @return the later generation, or in the same generation the later stage with any halt
     */
    public RolloutState merge(RolloutState other) {
        if (other.generation != generation) {
            final RolloutState later = other.generation > generation ? other : this;
            return new RolloutState(
                    rollout,
                    later.generation,
                    later.stage,
                    later.startedAt,
                    later.stageStartedAt,
                    later.halted,
                    stopSeenIn);
        }
        final long stageStart = other.stage == stage
                ? Math.min(stageStartedAt, other.stageStartedAt)
                : other.stage > stage ? other.stageStartedAt : stageStartedAt;
        return new RolloutState(
                rollout,
                generation,
                Math.max(stage, other.stage),
                Math.min(startedAt, other.startedAt),
                stageStart,
                halted || other.halted,
                stopSeenIn);
    }
}
