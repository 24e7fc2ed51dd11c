package org.masticpaddle.routes;

/** What a request of a route may be put through when an attempt fails. Immutable. */
public enum RequestKind {
    /** May run any number of times; the answer is relayed once it is whole. */
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
    /** Runs at most once; the answer is relayed once it is whole. */
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
    /** A sequence of numbered events, relayed as they arrive; runs at most once unless it can be resumed. */
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
     * Tells whether an attempt that may have run can be followed by another.
     *
     * @param resumable whether the route lets a stream go on at another upstream
     * @return {@code true} if a second run does no harm
     */
    public abstract boolean repeatable(boolean resumable);

    /**
     * Tells whether the answer is relayed event by event.
     *
     * @return {@code true} for streams
     */
    public abstract boolean streamed();
}
