package org.masticpaddle.admission;

/** Standing of an organisation, or of one of its requests, against its fair share of a service under pressure. */
enum Standing {
    /** Served as without other organisations above their shares: late rather than not at all. */
    WITHIN_SHARE {
        @Override
        double limitMillis(AdmissionCandidate candidate, long now) {
            final double timeLeftMillis = candidate.timeLeftMillis(now);
            return Math.min(
                    timeLeftMillis, Math.max(candidate.objectiveLeftMillis(now), LATE_FRACTION * timeLeftMillis));
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

    /** Returns the longest expected time until the start of the answer at which the request is sent, in milliseconds. */
    abstract double limitMillis(AdmissionCandidate candidate, long now);
}
