package org.masticpaddle.gateway;

/** Observes one attempt. Used on the event loop only. */
interface AttemptObserver {
    /**
     * Called when events of a stream have arrived.
     *
     * @param events number of events that the attempt has delivered so far, at least 1
     */
    void onEvents(int events);

    /**
     * Called once when the attempt has ended.
     *
     * @param end how it ended
     */
    void onEnd(AttemptEnd end);

    /**
     * Combines two observers.
     *
     * @param first observer that is called first
     * @param second observer that is called second
     * @return observer that passes each call on to both
     */
    static AttemptObserver both(AttemptObserver first, AttemptObserver second) {
        return new AttemptObserver() {
            @Override
            public void onEvents(int events) {
                first.onEvents(events);
                second.onEvents(events);
            }

            @Override
            public void onEnd(AttemptEnd end) {
                first.onEnd(end);
                second.onEnd(end);
            }
        };
    }
}
