package org.masticpaddle.gateway;

import java.util.Objects;
import java.util.Set;

import org.masticpaddle.fleet.ReportChange;
import org.masticpaddle.fleet.UpstreamState;

/**
 * Records what upstreams say of themselves in the responses to one request.
 *
 * <p>Invariant: what an instance says that has answered in the place of another one is ignored. Used on the event loop only.
 */
final class UpstreamReportRecorder {
    /** HTTP status of an instance that is not the one that the request names. */
    private static final int MISDIRECTED = 421;
    /** HTTP status of an upstream that rejects a request. */
    private static final int UNAVAILABLE = 503;

    private final GatewayContext context;
    private final RequestDecisions decisions;

    UpstreamReportRecorder(GatewayContext context, RequestDecisions decisions) {
        this.context = Objects.requireNonNull(context, "context is null");
        this.decisions = Objects.requireNonNull(decisions, "decisions is null");
    }

    /** Records the report in the head of a response. */
    void record(Attempt responding, ResponseMetadata metadata) {
        if (responding.status() == MISDIRECTED) {
            return;
        }
        final long now = context.scheduler().nanos();
        final UpstreamState upstream = responding.upstream();
        final Set<ReportChange> changes =
                upstream.onReport(metadata.self(), metadata.signed(), responding.status() == UNAVAILABLE, now);
        if (changes.contains(ReportChange.LIMIT)) {
            context.state().limits().pace(upstream, now);
        }
        if (changes.contains(ReportChange.LEAVING)) {
            context.client().closeIdle(upstream.upstream().origin());
        }
        changes.forEach(change -> decisions.upstreamReported(responding, metadata, change));
        for (int count = 0; count < metadata.self().unreadableValues(); count++) {
            context.counters().add(GatewayCounters.Counter.UNREADABLE_VALUES);
        }
    }
}
