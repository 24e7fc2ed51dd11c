package org.masticpaddle.gateway;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.masticpaddle.control.RolloutProgress;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.fleet.UpstreamState;
import org.masticpaddle.rollout.RolloutCounts;
import org.masticpaddle.rollout.RouteCounts;
import org.masticpaddle.rollout.SessionVersions;
import org.masticpaddle.rollout.VersionRollout;
import org.masticpaddle.wire.Hashing;

/**
 * A rollout whose order was not withdrawn, at one gateway: the versions of requests during it, the answers in progress, and
 * the times of the next writes about it.
 *
 * <p>Invariant: a session that stays on a version is never assigned to another, unless the new version is found bad. Used on
 * the event loop only.
 */
final class ActiveRollout {
    /** Delay of a report of sessions before the canary starts, so that one write reports several. */
    private static final long SESSION_REPORT_DELAY_NANOS = 200_000_000L;

    private final VersionRollout rollout;
    private final Set<AnswerObserver> observers = new LinkedHashSet<>();
    private final SessionVersions sessions = new SessionVersions();
    private long nextStatusNanos;
    private long nextCountsNanos;
    private long publishedNanos;
    private Optional<RolloutCounts> publishedCounts = Optional.empty();
    private double loggedShare;
    private boolean statusLost;

    /**
     * Starts without answers in progress.
     *
     * @param rollout stages and evidence
     * @param nextStatusNanos time before which no status is proposed
     */
    ActiveRollout(VersionRollout rollout, long nextStatusNanos) {
        this.rollout = Objects.requireNonNull(rollout, "rollout is null");
        this.nextStatusNanos = nextStatusNanos;
    }

    VersionRollout rollout() {
        return rollout;
    }

    SessionVersions sessions() {
        return sessions;
    }

    /** Records that the log may have lost the status that the gateways agreed on. */
    void recordStatusLost() {
        statusLost = rollout.progress().isPresent();
    }

    /** Returns the progress that is written again unless the log holds it, empty if nothing was lost. */
    Optional<RolloutProgress> lostProgress() {
        return statusLost ? rollout.progress() : Optional.empty();
    }

    /** Records that the log holds the status that the gateways agreed on. */
    void recordStatusWritten() {
        statusLost = false;
    }

    /** Records that the log may have lost the counts of this gateway, which are written again at once. */
    void recordCountsLost() {
        publishedCounts = Optional.empty();
        nextCountsNanos = publishedNanos;
    }

    boolean ended() {
        return rollout.progress().filter(RolloutProgress::ended).isPresent();
    }

    boolean isNewVersion(Upstream upstream) {
        return upstream.version().equals(rollout.version());
    }

    /**
     * Chooses the upstreams that may run a request by their version.
     *
     * @param members upstreams of the service
     * @param session session of the request, or the request itself if it has none
     * @param progressKnown whether it is known what the other gateways have decided
     * @param now current time in nanoseconds
     */
    VersionRouter.EligibleUpstreams eligibleUpstreams(
            List<UpstreamState> members, String session, boolean progressKnown, long now) {
        final double share = rollout.share(now);
        final Predicate<Upstream> all = upstream -> true;
        final Predicate<Upstream> newVersion = this::isNewVersion;
        final Predicate<Upstream> oldVersions = newVersion.negate();
        if (ended()) {
            final Predicate<Upstream> remaining = share > 0 ? newVersion : oldVersions;
            return new VersionRouter.EligibleUpstreams(
                    remaining, remaining, remaining, VersionRouter.Assignment.ROLLOUT_ENDED, share);
        }
        if (!progressKnown) {
            return new VersionRouter.EligibleUpstreams(
                    oldVersions, oldVersions, all, VersionRouter.Assignment.PROGRESS_UNKNOWN, share);
        }
        if (rollout.halted()) {
            return new VersionRouter.EligibleUpstreams(
                    oldVersions, oldVersions, oldVersions, VersionRouter.Assignment.OLD_SHARE, share);
        }
        final Optional<Boolean> staysOnNewVersion = sessions.staysOnNewVersion(session);
        final boolean keepsSessions = rollout.keepsSessionsOnOldVersion(now);
        if (staysOnNewVersion.isPresent() && staysOnNewVersion.get()) {
            return new VersionRouter.EligibleUpstreams(
                    canaries(members, share), newVersion, all, VersionRouter.Assignment.SESSION_ON_NEW, share);
        }
        if (staysOnNewVersion.isPresent() && keepsSessions) {
            return new VersionRouter.EligibleUpstreams(
                    oldVersions, oldVersions, all, VersionRouter.Assignment.SESSION_ON_OLD, share);
        }
        if (SessionVersions.fraction(session) < share) {
            return new VersionRouter.EligibleUpstreams(
                    canaries(members, share), all, all, VersionRouter.Assignment.NEW_SHARE, share);
        }
        return new VersionRouter.EligibleUpstreams(
                oldVersions, keepsSessions ? oldVersions : all, all, VersionRouter.Assignment.OLD_SHARE, share);
    }

    /**
     * Returns the upstreams of the new version that the share of the sessions is sent to: as many that each gets about the load
     * of an old one. On idle upstreams a slow version answers as fast as a sound one under load.
     */
    private Predicate<Upstream> canaries(List<UpstreamState> members, double share) {
        final List<String> ids = members.stream()
                .map(UpstreamState::upstream)
                .filter(this::isNewVersion)
                .map(Upstream::id)
                .sorted(Comparator.comparingLong(Hashing::hash64).thenComparing(Comparator.naturalOrder()))
                .toList();
        final Set<String> chosen = Set.copyOf(ids.subList(0, (int) Math.ceil(share * ids.size())));
        return upstream -> chosen.contains(upstream.id());
    }

    /** Records the version of a session. Before the canary starts, the other gateways are told at once. */
    void recordSession(String session, String version, long now) {
        final boolean newVersion = version.equals(rollout.version());
        if ((newVersion || rollout.keepsSessionsOnOldVersion(now))
                && sessions.record(session, newVersion, rollout.scheduledShare())
                && rollout.share(now) == 0) {
            scheduleCounts(now + SESSION_REPORT_DELAY_NANOS);
        }
    }

    void add(AnswerObserver observer) {
        observers.add(observer);
    }

    void remove(AnswerObserver observer) {
        observers.remove(observer);
    }

    /** Counts the answers in progress whose pace is known by now. */
    void countJudgedAnswers(long now) {
        List.copyOf(observers).forEach(observer -> observer.countIfJudged(now));
    }

    /** Returns the number of answers of the new version that are later than expected and not yet counted. */
    int lateOnNewVersion(long now) {
        return (int) observers.stream()
                .filter(observer -> observer.lateOnNewVersion(now))
                .count();
    }

    /** Returns whether the share differs from the one at the previous call. */
    boolean shareChanged(long now) {
        final double share = rollout.share(now);
        final boolean changed = share != loggedShare;
        loggedShare = share;
        return changed;
    }

    boolean statusDue(long now) {
        return now >= nextStatusNanos;
    }

    void deferStatus(long untilNanos) {
        nextStatusNanos = untilNanos;
    }

    boolean countsDue(long now) {
        return now >= nextCountsNanos;
    }

    /** Records that counts are written now; the next ones are due after an interval. */
    void deferCounts(long now, long intervalNanos) {
        publishedNanos = now;
        nextCountsNanos = now + intervalNanos;
    }

    /** Returns the time at which counts were written last. */
    long publishedNanos() {
        return publishedNanos;
    }

    /** Returns whether counts hold more answers that speak against the new version than those that were written last. */
    boolean hasNewFailures(RolloutCounts counts) {
        return failures(counts) > publishedCounts.map(ActiveRollout::failures).orElse(0.0);
    }

    private static double failures(RolloutCounts counts) {
        return counts.routes().values().stream()
                .map(RouteCounts::after)
                .mapToDouble(after -> after.errors() + after.slow())
                .sum();
    }

    /** Makes the counts due at a time, unless they are due earlier. */
    void scheduleCounts(long atNanos) {
        nextCountsNanos = Math.min(nextCountsNanos, atNanos);
    }

    boolean published(RolloutCounts counts) {
        return publishedCounts.equals(Optional.of(counts));
    }

    void recordPublished(RolloutCounts counts) {
        publishedCounts = Optional.of(counts);
    }
}
