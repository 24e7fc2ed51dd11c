package org.masticpaddle.admission;

import java.util.Objects;

/** What becomes of a request that an upstream could get. */
public sealed interface Verdict {
    /** The request is sent now. */
    enum Send implements Verdict {
        /** The only instance. */
        INSTANCE
    }

    /**
     * The request waits and is decided on again. Immutable.
     *
     * @param millis time until the next decision
     */
    record Wait(long millis) implements Verdict {}

    /**
     * The request is rejected without having run. Immutable.
     *
     * @param reason why it is rejected
     * @param limitMillis longest expected time until the start of the answer at which it would have been sent
     * @param retryAfterMillis time after which room is expected
     * @param spreadMillis time over which the returns of the rejected callers are to be spread, from that moment on
     */
    record Reject(RejectionReason reason, double limitMillis, double retryAfterMillis, double spreadMillis)
            implements Verdict {
        /** Checks the arguments. */
        public Reject {
            Objects.requireNonNull(reason, "reason is null");
        }
    }
}
