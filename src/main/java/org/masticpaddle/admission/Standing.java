package org.masticpaddle.admission;

/** Standing of an organisation, or of one of its requests, against its fair share of a service under pressure. */
enum Standing {
    /** Served as without other organisations above their shares: late rather than not at all. */
    WITHIN_SHARE {
        @Override
        double limitMillis(AdmissionCandidate candidate, long now) {
            final double lateMillis = Math.min(
                    LATE_FRACTION * candidate.timeLeftMillis(now), LATE_OBJECTIVES * candidate.objectiveMillis());
            return Math.max(objectiveLimitMillis(candidate, now), lateMillis);
        }
    },
    /** Served from what the others leave: only while new work is expected to start well within its objective. */
    ABOVE_SHARE {
        @Override
        double limitMillis(AdmissionCandidate candidate, long now) {
            return Math.max(
                    0, QUEUED_FRACTION * Math.min(candidate.objectiveLeftMillis(now), candidate.timeLeftMillis(now)));
        }
    };

    /** Fraction of the time left within which an answer has to start so that it can also end. */
    private static final double LATE_FRACTION = 0.5;
    /** Fraction of the objective that organisations above their shares may fill with queued work. */
    private static final double QUEUED_FRACTION = 0.5;

    /** Number of objectives within which an answer has to start, so that patient requests do not fill the queues for all. */
    private static final double LATE_OBJECTIVES = 2;

    /** Returns the limit of a request that is only sent if its answer is expected within its objective. */
    static double objectiveLimitMillis(AdmissionCandidate candidate, long now) {
        final double timeLeftMillis = candidate.timeLeftMillis(now);
        return Math.max(
                0,
                candidate.timeoutMillis() < candidate.objectiveMillis()
                        ? LATE_FRACTION * timeLeftMillis
                        : Math.min(timeLeftMillis, candidate.objectiveLeftMillis(now)));
    }

    /** Returns the longest expected time until the start of the answer at which the request is sent, in milliseconds. */
    abstract double limitMillis(AdmissionCandidate candidate, long now);
}
