package org.masticpaddle.routes;

/**
 * Kind of the requests of a route: whether a failed attempt may be retried and how the answer is relayed. Immutable.
 */
public enum RequestKind {
    /** May run any number of times; the answer is relayed when it is complete. */
    IDEMPOTENT {
        @Override
        public boolean repeatable(boolean resumable) {
            return true;
        }

        @Override
        public boolean streamed() {
            return false;
        }
    },
    /** Must run at most once; the answer is relayed when it is complete. */
    NON_IDEMPOTENT {
        @Override
        public boolean repeatable(boolean resumable) {
            return false;
        }

        @Override
        public boolean streamed() {
            return false;
        }
    },
    /** Answered by numbered events, which are relayed as they arrive; must run at most once unless it is resumable. */
    STREAM {
        @Override
        public boolean repeatable(boolean resumable) {
            return resumable;
        }

        @Override
        public boolean streamed() {
            return true;
        }
    };

    /**
     * Returns whether an attempt that may have run can be retried.
     *
     * @param resumable whether the route allows a stream to resume at another upstream
     * @return {@code true} if a second run has no unwanted effect
     */
    public abstract boolean repeatable(boolean resumable);

    /**
     * Returns whether the answer is relayed event by event.
     *
     * @return {@code true} for streams, {@code false} if the answer is relayed as a whole
     */
    public abstract boolean streamed();
}
