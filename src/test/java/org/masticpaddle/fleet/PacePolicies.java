package org.masticpaddle.fleet;

import java.util.function.Supplier;

/** Windows that a trial compares: the one in use, and those that were weighed. */
enum PacePolicies {
    /** Nothing is limited. */
    NONE {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return () -> new Weighed(Integer.MAX_VALUE) {
                @Override
                public void onAnswer(double ratio, long millis) {}

                @Override
                public void onFailure(long millis) {}
            };
        }
    },
    /** The window in use. */
    ADAPTIVE {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return windows(gateways, PaceTrial.Upstream.SOUND);
        }

        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways, PaceTrial.Upstream upstream) {
            return () -> new Adaptive(new PaceWindow.Peers(
                    true, 1, FAIR_IN_FLIGHT / gateways, 0, 0, upstream.failureRate(), upstream.slowRate()));
        }
    },
    /** Grows evenly over three seconds, whatever the answers show. */
    SLOW_START_BY_TIME {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return () -> new Weighed(1) {
                @Override
                public boolean allows(int inFlight, long millis) {
                    window = millis < 3_000 ? Math.max(1, FAIR_IN_FLIGHT / gateways * millis / 3_000) : NO_LIMIT;
                    return super.allows(inFlight, millis);
                }

                @Override
                public void onAnswer(double ratio, long millis) {}

                @Override
                public void onFailure(long millis) {}
            };
        }
    },
    /** Grows by one with each window of good answers and is halved by a slow one. */
    ADDITIVE_INCREASE {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return () -> new Weighed(1) {
                @Override
                public void onAnswer(double ratio, long millis) {
                    window = ratio > SLOW_RATIO ? Math.max(1, window / 2) : window + 1 / window;
                }

                @Override
                public void onFailure(long millis) {
                    window = 1;
                }
            };
        }
    },
    /** Scaled by the ratio of the expected to the observed time, and a little more. */
    LATENCY_GRADIENT {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return () -> new Weighed(1) {
                @Override
                public void onAnswer(double ratio, long millis) {
                    window = Math.max(1, 0.8 * window + 0.2 * (window * Math.min(1, 1 / ratio) + Math.sqrt(window)));
                }

                @Override
                public void onFailure(long millis) {
                    window = 1;
                }
            };
        }
    },
    /** One request until the first answer, no limit after it. */
    SINGLE_PROBE {
        @Override
        Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways) {
            return () -> new Weighed(1) {
                @Override
                public void onAnswer(double ratio, long millis) {
                    window = NO_LIMIT;
                }

                @Override
                public void onFailure(long millis) {
                    window = 1;
                }
            };
        }
    };

    static final double FAIR_IN_FLIGHT = 10;
    private static final double SLOW_RATIO = 1.5;
    private static final double NO_LIMIT = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Returns a source of windows, one for each gateway. */
    abstract Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways);

    /** Returns a source of windows whose peers fail and are slow as often as an upstream. */
    Supplier<PaceTrial.PaceWindowPolicy> windows(int gateways, PaceTrial.Upstream upstream) {
        return windows(gateways);
    }

    private abstract static class Weighed implements PaceTrial.PaceWindowPolicy {
        protected double window;

        Weighed(double window) {
            this.window = window;
        }

        @Override
        public boolean allows(int inFlight, long millis) {
            return inFlight < (int) Math.min(Integer.MAX_VALUE, window);
        }
    }

    private static final class Adaptive implements PaceTrial.PaceWindowPolicy {
        private final PaceWindow window = new PaceWindow();

        Adaptive(PaceWindow.Peers peers) {
            window.setPeers(peers);
            window.begin(0);
        }

        @Override
        public boolean allows(int inFlight, long millis) {
            return window.allows(inFlight, millis * NANOS_PER_MILLI);
        }

        @Override
        public void onAnswer(double ratio, long millis) {
            window.onAnswer(PaceTrial.FAIR_MILLIS, ratio * PaceTrial.FAIR_MILLIS, millis * NANOS_PER_MILLI);
        }

        @Override
        public void onError(long millis) {
            window.onErrorResponse(millis * NANOS_PER_MILLI);
        }

        @Override
        public void onFailure(long millis) {
            // The circuit opens, and the window begins anew when it closes.
            window.onFailure(millis * NANOS_PER_MILLI);
            window.begin(millis * NANOS_PER_MILLI);
        }
    }
}
