package org.masticpaddle.gateway;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.KeyedFollower;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.control.UndecodableRecordException;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.RegistryChange;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.Scheduler;

/**
 * Keeps the configuration, the roll-out orders and the upstreams of a gateway current from the shared log.
 *
 * <p>Invariant: a record that cannot be decoded changes nothing but its own key. Runs on the event loop.
 */
final class ControlLogFollower {
    /** Time for which a read waits at the log; bounds how long a silent connection goes unnoticed. */
    private static final Duration OPERATOR_WAIT = Duration.ofMillis(1_000);
    /** Pause between reads of the upstreams, a small part of the time in which a leaving one must get no work. */
    private static final Duration UPSTREAM_PAUSE = Duration.ofMillis(600);

    private final GatewayState state;
    private final ControlCodec codec;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final ChangeListener effects;
    private final List<KeyedFollower> followers;

    /**
     * Creates the duty.
     *
     * @param state knowledge of the gateway
     * @param shared the log
     * @param codec translation of its records
     * @param scheduler time and timers of the event loop
     * @param random source of jitter
     * @param log log of decisions
     * @param effects receives what concerns other parts
     */
    ControlLogFollower(
            GatewayState state,
            SharedLog shared,
            ControlCodec codec,
            Scheduler scheduler,
            UniformRandomProvider random,
            DecisionLog log,
            ChangeListener effects) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.effects = Objects.requireNonNull(effects, "effects is null");
        followers = List.of(
                new KeyedFollower(
                        shared,
                        LogStream.OPERATOR,
                        OPERATOR_WAIT,
                        Duration.ZERO,
                        scheduler,
                        random,
                        new OperatorListener()),
                new KeyedFollower(
                        shared,
                        LogStream.UPSTREAMS,
                        Duration.ZERO,
                        UPSTREAM_PAUSE,
                        scheduler,
                        random,
                        new UpstreamListener()));
    }

    void start() {
        followers.forEach(KeyedFollower::start);
    }

    void stop() {
        followers.forEach(KeyedFollower::stop);
    }

    /** Drops upstreams that have not returned after an outage. */
    void expire() {
        final long now = scheduler.nanos();
        state.roster()
                .expire(now)
                .forEach(id -> log.write(
                        Decision.UPSTREAM_CHANGED,
                        "upstream",
                        id,
                        "change",
                        RegistryChange.REMOVED,
                        "after",
                        "outage"));
    }

    private void ignored(KeyedRecord keyed, UndecodableRecordException error) {
        log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", error.getMessage());
    }

    private final class OperatorListener implements KeyedFollower.Listener {
        @Override
        public void onRecord(KeyedRecord keyed) {
            try {
                final OperatorRecord decoded = codec.operatorRecord(keyed);
                if (decoded instanceof OperatorRecord.Configuration configuration) {
                    if (state.accept(configuration.table())) {
                        log.write(
                                Decision.CONFIGURATION_APPLIED,
                                "version",
                                configuration.table().version(),
                                "offset",
                                keyed.offset());
                    }
                } else {
                    effects.ordered(decoded, keyed.offset());
                }
            } catch (UndecodableRecordException e) {
                ignored(keyed, e);
            }
        }

        @Override
        public void onCaughtUp(long nanos) {
            state.confirmed(nanos);
        }

        @Override
        public void onUnavailable(String reason) {
            log.write(Decision.DEPENDENCY_LOST, "dependency", "log/operator", "reason", reason);
        }

        @Override
        public void onAvailable() {
            log.write(Decision.DEPENDENCY_RECOVERED, "dependency", "log/operator");
        }

        @Override
        public void onHistoryLost() {
            log.write(Decision.HISTORY_LOST, "stream", LogStream.OPERATOR);
        }
    }

    private final class UpstreamListener implements KeyedFollower.Listener {
        @Override
        public void onRecord(KeyedRecord keyed) {
            if (keyed.tombstone()) {
                drop(codec.upstreamId(keyed), "dropped");
                return;
            }
            try {
                final Upstream upstream = codec.upstream(keyed);
                final RegistryChange change = state.roster().applyEntry(upstream, scheduler.nanos());
                if (change != RegistryChange.UNCHANGED) {
                    log.write(
                            Decision.UPSTREAM_CHANGED,
                            "upstream",
                            upstream.id(),
                            "service",
                            upstream.service(),
                            "version",
                            upstream.version(),
                            "origin",
                            upstream.origin(),
                            "change",
                            change,
                            "offset",
                            keyed.offset());
                }
                if (change == RegistryChange.LEAVING || change == RegistryChange.REBORN) {
                    effects.gone(upstream.origin());
                }
            } catch (UndecodableRecordException e) {
                ignored(keyed, e);
                drop(codec.upstreamId(keyed), "undecodable");
            }
        }

        private void drop(String id, String reason) {
            final URI origin = state.roster()
                    .find(id)
                    .map(known -> known.upstream().origin())
                    .orElse(null);
            final RegistryChange change = state.roster().applyRemoval(id, scheduler.nanos());
            if (change != RegistryChange.UNCHANGED) {
                log.write(Decision.UPSTREAM_CHANGED, "upstream", id, "change", change, "reason", reason);
                if (change == RegistryChange.REMOVED) {
                    effects.gone(origin);
                }
            }
        }

        @Override
        public void onCaughtUp(long nanos) {
            state.rosterRead();
        }

        @Override
        public void onUnavailable(String reason) {
            state.roster().onOutageStart();
            log.write(Decision.DEPENDENCY_LOST, "dependency", "log/upstreams", "reason", reason);
        }

        @Override
        public void onAvailable() {
            state.roster().onOutageEnd(scheduler.nanos());
            log.write(Decision.DEPENDENCY_RECOVERED, "dependency", "log/upstreams");
        }

        @Override
        public void onHistoryLost() {
            log.write(Decision.HISTORY_LOST, "stream", LogStream.UPSTREAMS);
        }
    }

    /** What the records mean for other parts of the gateway. */
    interface ChangeListener {
        /** Takes the origin of an upstream that gets no more work. */
        void gone(URI origin);

        /** Takes a roll-out order or its withdrawal, and the offset of its record. */
        void ordered(OperatorRecord order, long offset);
    }
}
