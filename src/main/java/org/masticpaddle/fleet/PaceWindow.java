package org.masticpaddle.fleet;

/**
 * Window of concurrent requests of one gateway at an upstream that has just started or recovered, which opens and closes by what
 * its answers show.
 *
 * <p>Load pattern: an upstream that is new or was away looks empty, while it may still be slow. The window begins with one request
 * and grows by one with each answer that is about as fast, against its expected time, as those of the peers; the first slower one
 * ends the fast growth until as many good answers as the window allows have followed, and shrinks the window; so does a
 * queue that is longer than the peers'. Errors and slow answers that the peers have as often do not. Slow answers to requests that were sent before the
 * window shrank do not shrink it again. A loss or rejection closes it to one. The window ends once it is twice what the
 * peers have in flight, or a report shows that the upstream bears as much as they do.
 *
 * <p>Invariants: at least one request is always allowed; nothing is limited while no peer can take the work, nor later than 8 s
 * after the start, so that a really slow upstream shows what it is. Not thread-safe: confined to the thread of its owner.
 */
public final class PaceWindow {
    /** Time after a start or recovery from which nothing is limited. */
    static final long MAX_NANOS = 8_000_000_000L;

    private static final double FIRST_WINDOW = 1;
    /** Growth with each good answer after a slow one. */
    private static final double SLOW_GROWTH = 0.5;
    /** Factor of the window at a slow answer. */
    private static final double SHRINKING = 0.7;
    /** Ratio to the peers' queue above which one is long. */
    private static final double LONG_RATIO = 1.5;
    /** Ratio of the window to the requests in flight at a peer at which the window ends. */
    private static final double OPEN_RATIO = 2;
    /** Part of the peers' load that an upstream bears whose window is no longer needed. */
    private static final double BORNE_LOAD = 0.75;

    private static final double NANOS_PER_MILLI = 1e6;

    private boolean pacing;
    private boolean slowSeen;
    /** Number of good answers since the last slow one. */
    private double goodAnswers;

    private final RateComparison slowAnswers = new RateComparison();
    private final RateComparison errors = new RateComparison();

    private double window = FIRST_WINDOW;
    private long sinceNanos;
    private long shrunkNanos;
    private Peers peers = Peers.NONE;

    PaceWindow() {}

    /** Starts with the smallest window, since the upstream has just started. */
    void begin(long now) {
        begin(0, now);
    }

    /** Starts with a window of the requests that have survived, since the upstream has recovered. */
    void begin(int inFlight, long now) {
        pacing = true;
        slowSeen = false;
        goodAnswers = 0;
        slowAnswers.reset();
        errors.reset();
        window = Math.max(FIRST_WINDOW, inFlight);
        sinceNanos = now;
        shrunkNanos = now;
    }

    /**
     * Sets what the upstream is compared with.
     *
     * @param newPeers upstreams of the same service without a window, {@link Peers#NONE} to limit nothing
     */
    public void setPeers(Peers newPeers) {
        peers = newPeers;
    }

    /**
     * Returns whether the upstream has started or recovered a short time ago and has not shown yet that it is as good as its peers.
     *
     * @param now current time in nanoseconds
     * @return whether it is no peer to compare others with
     */
    public boolean started(long now) {
        return pacing && now - sinceNanos < MAX_NANOS;
    }

    /**
     * Returns whether the upstream has a window now.
     *
     * @param now current time in nanoseconds
     * @return whether the number of its requests is limited
     */
    public boolean active(long now) {
        return peers.open() && started(now);
    }

    /** Returns whether another request may be sent. */
    boolean allows(int inFlight, long now) {
        return !active(now) || inFlight < (int) window;
    }

    /** Records the time to the start of an answer; a time that was not expected shows nothing. */
    void onAnswer(double expectedMillis, double actualMillis, long now) {
        if (!pacing || expectedMillis <= 0) {
            return;
        }
        final boolean slow =
                actualMillis / expectedMillis > ObservedPerformance.SLOW_RATIO * Math.max(1, peers.latencyRatio());
        slowAnswers.record(slow);
        errors.record(false);
        if (slow) {
            if (slowAnswers.moreOftenThan(peers.slowRate()) && now - actualMillis * NANOS_PER_MILLI >= shrunkNanos) {
                shrink(now);
            }
            return;
        }
        goodAnswers++;
        slowSeen &= goodAnswers < window;
        window += slowSeen ? SLOW_GROWTH : 1;
        pacing = window < OPEN_RATIO * Math.max(1, peers.ownInFlight());
    }

    /** Records an error response. */
    void onErrorResponse(long now) {
        errors.record(true);
        if (errors.moreOftenThan(peers.failureRate())) {
            shrink(now);
        }
    }

    /** Records a rejection or a loss. */
    void onFailure(long now) {
        window = FIRST_WINDOW;
        shrink(now);
    }

    private void shrink(long now) {
        slowSeen = true;
        goodAnswers = 0;
        slowAnswers.reset();
        errors.reset();
        window = Math.max(FIRST_WINDOW, SHRINKING * window);
        shrunkNanos = now;
    }

    /** Records the load of the upstream by all gateways. */
    void onReport(ReportedLoad load, long now) {
        if (!pacing) {
            return;
        }
        if (load.waiting() > LONG_RATIO * peers.waiting()) {
            shrink(now);
        } else if (peers.inFlight() > 0 && load.running() + load.waiting() >= BORNE_LOAD * peers.inFlight()) {
            pacing = false;
        }
    }

    /**
     * What the peers of an upstream show, as means of those without a window. Immutable.
     *
     * @param open whether one of them can take a request
     * @param latencyRatio ratio of the observed to the expected time to the start of an answer
     * @param ownInFlight requests in flight from this gateway
     * @param inFlight requests in flight from all gateways by recent reports, 0 if unknown
     * @param waiting those of them that wait
     * @param failureRate rate of requests that fail
     * @param slowRate rate of answers that begin much later than usual there
     */
    public record Peers(
            boolean open,
            double latencyRatio,
            double ownInFlight,
            double inFlight,
            double waiting,
            double failureRate,
            double slowRate) {
        /** No peers, or none to be compared with. */
        public static final Peers NONE = new Peers(false, 1, 0, 0, 0, 0, 0);
    }
}
