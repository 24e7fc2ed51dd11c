package org.masticpaddle.gateway;

import java.net.URI;
import java.util.Objects;
import java.util.stream.Stream;

import org.apache.commons.rng.UniformRandomProvider;
import org.masticpaddle.control.ControlCodec;
import org.masticpaddle.control.HistoryChange;
import org.masticpaddle.control.KeyedFollower;
import org.masticpaddle.control.KeyedRecord;
import org.masticpaddle.control.LogPosition;
import org.masticpaddle.control.LogStream;
import org.masticpaddle.control.OperatorRecord;
import org.masticpaddle.control.SharedLog;
import org.masticpaddle.control.StoreCadence;
import org.masticpaddle.control.StreamHealth;
import org.masticpaddle.control.UndecodableRecordException;
import org.masticpaddle.decisions.Decision;
import org.masticpaddle.decisions.DecisionLog;
import org.masticpaddle.fleet.RegistryChange;
import org.masticpaddle.fleet.Upstream;
import org.masticpaddle.kernel.Scheduler;

/**
 * Follows the shared log and applies its records to the routing table, the rollouts, the evacuated failure domains and the
 * upstream registry of a gateway.
 *
 * <p>Invariant: a record that cannot be decoded affects its own key only. Runs on the event loop.
 */
final class ControlLogFollower {
    private final GatewayState state;
    private final ControlCodec codec;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private final ChangeListener listener;
    private final EvacuationOrders evacuations;
    private final KeyedFollower operatorFollower;
    private final KeyedFollower upstreamFollower;

    /**
     * Creates a follower that is not started.
     *
     * @param state state that the records are applied to
     * @param sharedLog log that is followed
     * @param codec decoder of the log's records
     * @param scheduler clock and timers of the event loop
     * @param random source of the jitter of retries
     * @param log decision log
     * @param listener called for changes that concern other components
     */
    ControlLogFollower(
            GatewayState state,
            SharedLog sharedLog,
            ControlCodec codec,
            Scheduler scheduler,
            UniformRandomProvider random,
            DecisionLog log,
            ChangeListener listener) {
        this.state = Objects.requireNonNull(state, "state is null");
        this.codec = Objects.requireNonNull(codec, "codec is null");
        this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
        this.log = Objects.requireNonNull(log, "log is null");
        this.listener = Objects.requireNonNull(listener, "listener is null");
        evacuations = new EvacuationOrders(state.registry(), listener::upstreamClosed, scheduler::nanos, log);
        final StoreCadence cadence = state.bounds().storeCadence();
        operatorFollower = new KeyedFollower(
                sharedLog,
                LogStream.OPERATOR,
                cadence.operatorStream(),
                scheduler,
                random,
                new LoggedStream(LogStream.OPERATOR, "log/operator", new OperatorListener(), scheduler::nanos, log),
                error -> log.writeError("log/operator", error));
        upstreamFollower = new KeyedFollower(
                sharedLog,
                LogStream.UPSTREAMS,
                cadence.upstreamList(),
                scheduler,
                random,
                new LoggedStream(LogStream.UPSTREAMS, "log/upstreams", new UpstreamListener(), scheduler::nanos, log),
                error -> log.writeError("log/upstreams", error));
    }

    void start() {
        operatorFollower.start();
        upstreamFollower.start();
    }

    /** Returns the health of the operator's stream and of the list; may be called by any thread. */
    Stream<StreamHealth> health() {
        return Stream.of(operatorFollower, upstreamFollower).map(KeyedFollower::health);
    }

    /**
     * Adapts the timing of the reads to the limits in force, and the reads to the era of the log.
     *
     * @param successorsAwaited whether the successors of lost upstreams may be listed soon
     */
    void updateTiming(boolean successorsAwaited) {
        final StoreCadence cadence = state.bounds().storeCadence();
        operatorFollower.setTiming(cadence.operatorStream());
        upstreamFollower.setTiming(successorsAwaited ? cadence.awaitedUpstreamList() : cadence.upstreamList());
        operatorFollower.followEra();
        upstreamFollower.followEra();
    }

    /** Removes upstreams whose entries were not renewed within the grace period after an outage of the log. */
    void removeExpiredUpstreams() {
        final long now = scheduler.nanos();
        state.registry()
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

    private void logIgnored(KeyedRecord keyed, UndecodableRecordException error) {
        log.write(Decision.RECORD_IGNORED, "key", keyed.key(), "offset", keyed.offset(), "reason", error.getMessage());
    }

    private LogPosition position(KeyedRecord operatorRecord) {
        return new LogPosition(operatorFollower.era(), operatorRecord.offset());
    }

    private final class OperatorListener implements KeyedFollower.Listener {
        @Override
        public void onRecord(KeyedRecord keyed) {
            try {
                final OperatorRecord decoded = codec.operatorRecord(keyed);
                if (decoded instanceof OperatorRecord.Configuration configuration) {
                    if (state.applyTable(configuration.table(), position(keyed))) {
                        log.write(
                                Decision.CONFIGURATION_APPLIED,
                                "version",
                                configuration.table().version(),
                                "offset",
                                keyed.offset());
                    }
                } else {
                    evacuations.onOperatorRecord(decoded, keyed.offset());
                    listener.rolloutRecord(decoded, keyed.offset());
                }
            } catch (UndecodableRecordException e) {
                logIgnored(keyed, e);
            }
        }

        @Override
        public void onHistoryReplaced(HistoryChange change) {
            evacuations.onHistoryReplaced();
            listener.orderHistoryReplaced();
        }

        @Override
        public void onCaughtUp(long nanos) {
            state.recordConfirmation(nanos);
            listener.ordersListed();
        }

        @Override
        public void onRestoreSettled() {
            listener.ordersSettled();
        }

        @Override
        public void onAvailable() {
            upstreamFollower.retry();
            listener.logAvailable();
        }
    }

    private final class UpstreamListener implements KeyedFollower.Listener {
        /** Whether the records belong to a listing that may be older than what is known. */
        private boolean restoring;

        @Override
        public void onRecord(KeyedRecord keyed) {
            if (keyed.tombstone()) {
                remove(codec.upstreamId(keyed), "dropped");
                return;
            }
            try {
                final Upstream upstream = codec.upstream(keyed);
                final RegistryChange change = restoring
                        ? state.registry().applyRestoredEntry(upstream, scheduler.nanos())
                        : state.registry().applyEntry(upstream, scheduler.nanos());
                listener.upstreamListed(upstream);
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
                    listener.upstreamClosed(upstream.origin());
                }
            } catch (UndecodableRecordException e) {
                logIgnored(keyed, e);
                remove(codec.upstreamId(keyed), "undecodable");
            }
        }

        private void remove(String id, String reason) {
            final URI origin = state.registry()
                    .find(id)
                    .map(upstreamState -> upstreamState.upstream().origin())
                    .orElse(null);
            final RegistryChange change = state.registry().applyRemoval(id, scheduler.nanos());
            if (change != RegistryChange.UNCHANGED) {
                log.write(Decision.UPSTREAM_CHANGED, "upstream", id, "change", change, "reason", reason);
                if (change == RegistryChange.REMOVED) {
                    listener.upstreamClosed(origin);
                }
            }
        }

        @Override
        public void onHistoryReplaced(HistoryChange change) {
            restoring = true;
        }

        @Override
        public void onCaughtUp(long nanos) {
            restoring = false;
            state.markUpstreamsListed();
        }

        @Override
        public void onUnavailable(String reason) {
            state.registry().onOutageStart();
        }

        @Override
        public void onAvailable() {
            state.registry().onOutageEnd(scheduler.nanos());
        }
    }

    /** Receives changes that concern other components of the gateway. */
    interface ChangeListener {
        /**
         * Called when an entry of the list was applied.
         *
         * @param upstream decoded entry, which the registry may have ignored as stale
         */
        void upstreamListed(Upstream upstream);

        /**
         * Called when an upstream drains, was removed, was replaced by a new incarnation or is evacuated.
         *
         * @param origin origin of the upstream, whose idle connections must not be used again
         */
        void upstreamClosed(URI origin);

        /**
         * Called for a rollout order or its withdrawal.
         *
         * @param order the decoded record
         * @param offset offset of the record in the operators' stream, which identifies the order
         */
        void rolloutRecord(OperatorRecord order, long offset);

        /** Called when the operators' stream has begun another history, before the first order of it. */
        void orderHistoryReplaced();

        /** Called when all orders that the log holds have been passed on. */
        void ordersListed();

        /** Called when the operator has had the time to write the orders again that the log has lost. */
        void ordersSettled();

        /** Called when the log responds again, so that followers of other streams need not wait to repeat failed requests. */
        void logAvailable();
    }
}
