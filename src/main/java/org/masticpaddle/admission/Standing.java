package org.masticpaddle.admission;

/** Standing of an organisation, or of one of its requests, against its fair share of a service under pressure. */
enum Standing {
    /** Served as without other organisations above their shares: late rather than not at all. */
    WITHIN_SHARE {
        @Override
        double limitMillis(AdmissionCandidate candidate, boolean placeFree, long now) {
            final double timeLeftMillis = candidate.timeLeftMillis(now);
            return Math.min(
                    timeLeftMillis, Math.max(candidate.objectiveLeftMillis(now), LATE_FRACTION * timeLeftMillis));
        }
    },
    /**
     * Served from what the others leave: in free places while the objective can be met, and in queued ones only while new work
     * is expected to start well within it.
     */
    ABOVE_SHARE {
        @Override
        double limitMillis(AdmissionCandidate candidate, boolean placeFree, long now) {
            return Math.max(
                    0,
                    (placeFree ? 1 : QUEUED_FRACTION)
                            * Math.min(candidate.objectiveLeftMillis(now), candidate.timeLeftMillis(now)));
        }
    };

    /** Fraction of the time left within which an answer has to start so that it can also end. */
    private static final double LATE_FRACTION = 0.5;
    /** Fraction of the objective that organisations above their shares may fill with queued work. */
    private static final double QUEUED_FRACTION = 0.5;

    /**
     * Returns the longest expected time until the start of the answer at which the request is sent, in milliseconds.
     *
     * @param placeFree whether it would be begun without being queued
     */
    abstract double limitMillis(AdmissionCandidate candidate, boolean placeFree, long now);
}
