package org.masticpaddle.rollout;

import java.util.Objects;

import org.masticpaddle.document.Rollout;

/**
 * State of a rollout, computed step by step from the declared rollout, observations and time. Immutable and thread-safe.
 *
 * <p>Invariant: the share of new sessions only grows, except that it falls to 0 when the new version is found bad or the
 * operator stops the rollout. Entries exchange their states and merge them. A halt at one entry halts the rollout at all
 * entries, so that disagreement is resolved to the safe side. An operator clears a halt by publishing the rollout as stopped
 * and then as running again, which starts a new generation at the first stage.
 *
 * @param rollout name of the rollout
 * @param generation number of restarts after a stop
 * @param stage index of the stage reached, or -1 while the version is being loaded
 * @param startedAt start of the generation in milliseconds since 1970, from which on observations count
 * @param stageStartedAt start of the stage in milliseconds since 1970
 * @param halted whether the new version was found bad in this generation
 * @param stopSeenIn generation in which this entry saw the operator's stop, or -1 if the rollout is not stopped
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
     * Returns the state of a rollout that has not started.
     *
     * @param rollout name of the rollout
     * @param now current time in milliseconds since 1970
     * @return state before the first stage
     */
    public static RolloutState initial(String rollout, long now) {
        return new RolloutState(rollout, 0, -1, now, now, false, -1);
    }

    /**
     * Computes the next state.
     *
     * @param declared rollout as the routing document declares it
     * @param evidence observations of the new version, baseline and upstreams that loaded it
     * @param now current time in milliseconds since 1970
     * @return the next state, at most one stage further
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
        final boolean nextStageDue = stage < 0
                || now - stageStartedAt >= declared.stageMillis() && verdict == SequentialTest.Verdict.HEALTHY;
        final boolean advances = declared.state() == Rollout.State.RUNNING
                && stage + 1 < declared.stages().size()
                && nextStageDue
                && evidence.enoughUpstreamsLoaded(declared.stages().get(stage + 1));
        return advances ? new RolloutState(rollout, generation, stage + 1, startedAt, now, false, -1) : this;
    }

    /**
     * Returns the share of new sessions that are assigned to the new version.
     *
     * @param declared rollout as the routing document declares it
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
     * Merges the states of two entries. Commutative, associative and idempotent, except for {@code stopSeenIn}, which is
     * kept from this state.
     *
     * @param other state of another entry for the same rollout
     * @return the later generation or, within a generation, the later stage, halted if either state is
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
