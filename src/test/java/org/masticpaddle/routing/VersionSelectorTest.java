package org.masticpaddle.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;
import org.masticpaddle.document.ModelVersion;
import org.masticpaddle.document.ModelVersion.SessionEnd;
import org.masticpaddle.document.ModelVersion.State;
import org.masticpaddle.document.Organisation;
import org.masticpaddle.document.Rollout;
import org.masticpaddle.document.RoutingDocument;
import org.masticpaddle.document.VersionName;
import org.masticpaddle.routing.VersionPlan.Basis;
import org.masticpaddle.routing.VersionPlan.Reason;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.routing.Fixtures.LARGE;
import static org.masticpaddle.routing.Fixtures.SMALL;

class VersionSelectorTest {
    private static final VersionName NEW_SMALL = new VersionName("small", "2");

    private final VersionSelector selector = new VersionSelector(CascadePolicy.DEFAULT);
    private final Fixtures.Conditions conditions = new Fixtures.Conditions();
    private final RoutingDocument document =
            Fixtures.document(List.of(Fixtures.active(SMALL, 10, 0.8), Fixtures.active(LARGE, 100, 0.95)));

    /**
     * Guards against a version that is more expensive than the required quality justifies, and against one below it.
     */
    @Test
    void shouldChooseTheCheapestVersionThatMeetsTheRequiredQuality() {
        assertThat(singlePlan(0.7).version().name()).isEqualTo(SMALL);
        assertThat(singlePlan(0.9).version().name()).isEqualTo(LARGE);
        assertThat(singlePlan(0.9).meetsRequiredQuality()).isTrue();
    }

    /** Guards against rejecting a request, or hiding the shortfall, when no version meets the required quality. */
    @Test
    void shouldMarkTheBestVersionAsBelowTheRequiredQuality() {
        assertThat(singlePlan(0.99).version().name()).isEqualTo(LARGE);
        assertThat(singlePlan(0.99).meetsRequiredQuality()).isFalse();
    }

    /** Guards against a header that sets a quality outside the range 0 to 1. */
    @Test
    void shouldClampTheRequestedQuality() {
        assertThat(request("auto", OptionalDouble.of(-3), 10_000, true).requiredQuality())
                .isEqualTo(0.0);
        assertThat(request("auto", OptionalDouble.of(7), 10_000, true).requiredQuality())
                .isEqualTo(1.0);
        assertThat(request("auto", OptionalDouble.of(Double.NaN), 10_000, true).requiredQuality())
                .isEqualTo(0.9);
        assertThat(request("auto", OptionalDouble.of(0.5), 10_000, true).requiredQuality())
                .isEqualTo(0.5);
    }

    /** Guards against a wrong rejection reason, on which the caller would act. */
    @Test
    void shouldReportTheReasonOfARejection() {
        assertThat(rejectionReason(document, request("other", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_ALLOWED);
        assertThat(rejectionReason(document, request("large", OptionalDouble.empty(), 500, true)))
                .isEqualTo(Reason.NOTHING_IN_TIME);
        final RoutingDocument documentWithWithdrawn =
                Fixtures.document(List.of(Fixtures.version(LARGE, 1, 0.9, State.WITHDRAWN)));
        assertThat(rejectionReason(documentWithWithdrawn, request("auto", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_ACTIVE);
        conditions.stopped.add(LARGE);
        assertThat(rejectionReason(document, request("large/1", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_HEALTHY);
    }

    /**
     * Guards against a cascade whose second run is forbidden, late or too expensive, or whose draft cannot be judged.
     */
    @Test
    void shouldCascadeOnlyWhenAllowedAndCheaper() {
        conditions.acceptanceProbability = 0.8;
        assertThat(plan(request("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Cascade.class);
        assertThat(plan(request("auto", OptionalDouble.empty(), 10_000, false))).isInstanceOf(VersionPlan.Single.class);
        assertThat(plan(request("auto", OptionalDouble.empty(), 2_100, true))).isInstanceOf(VersionPlan.Single.class);
        conditions.acceptanceProbability = 0.15;
        assertThat(plan(request("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Single.class);
        conditions.acceptanceProbability = 0.8;
        conditions.ratingAvailable = false;
        assertThat(plan(request("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Single.class);
    }

    /** Guards against delivery of a poor draft, and against an escalation that misses the deadline. */
    @Test
    void shouldEscalateOnlyForHigherQualityBeforeTheDeadline() {
        final VersionPlan.Cascade plan = new VersionPlan.Cascade(
                Fixtures.active(SMALL, 1, 0.5), Fixtures.active(LARGE, 9, 0.95), 0.9, 0.95, 1_000, true);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.92), 0)).isEqualTo(CascadeDecision.DELIVER);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.5), 2_000)).isEqualTo(CascadeDecision.ESCALATE);
        assertThat(CascadeDecision.of(plan, OptionalDouble.empty(), 2_000)).isEqualTo(CascadeDecision.ESCALATE);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.5), 900))
                .isEqualTo(CascadeDecision.DELIVER_BELOW_THRESHOLD);
    }

    /** Guards against exploration beyond the declared share, in sessions, or without ratings. */
    @Test
    void shouldLimitExploration() {
        final Organisation exploring = Fixtures.organisation(0.9, 0.05, "small/*", "large/*");
        assertThat(countExplorations(Fixtures.request(exploring)))
                .isIn(com.google.common.collect.Range.closed(420, 580));
        assertThat(countExplorations(Fixtures.request(exploring, "s", true, Optional.empty())))
                .isEqualTo(0);
        conditions.ratingAvailable = false;
        assertThat(countExplorations(Fixtures.request(exploring))).isEqualTo(0);
    }

    /** Guards against a session that switches to a cheaper version while its own still accepts requests. */
    @Test
    void shouldKeepTheVersionOfASession() {
        final VersionRequest boundRequest =
                Fixtures.request(Fixtures.organisation(0.1, 1, "small/*", "large/*"), "s", true, Optional.of(LARGE));
        final VersionPlan.Single kept = (VersionPlan.Single) plan(boundRequest);
        assertThat(kept.version().name()).isEqualTo(LARGE);
        assertThat(kept.basis()).isEqualTo(Basis.SESSION);
    }

    /** Guards against a session that runs on a withdrawn version, or moves although the document forbids it. */
    @Test
    void shouldEndOrMoveASessionAsDeclaredInTheDocument() {
        final VersionRequest boundRequest =
                Fixtures.request(Fixtures.organisation(0.1, 0, "small/*", "large/*"), "s", true, Optional.of(LARGE));
        for (final SessionEnd end : SessionEnd.values()) {
            final RoutingDocument documentWithWithdrawn = Fixtures.document(
                    List.of(Fixtures.active(SMALL, 10, 0.8), Fixtures.version(LARGE, 100, 0.95, State.WITHDRAWN, end)));
            final VersionPlan plan =
                    selector.choose(documentWithWithdrawn, boundRequest, conditions, Fixtures.random(1));
            if (end == SessionEnd.REFUSE) {
                assertThat(plan).isEqualTo(new VersionPlan.Refused(Reason.SESSION_ENDED));
            } else {
                assertThat(((VersionPlan.Single) plan).basis()).isEqualTo(Basis.SESSION_MOVED);
            }
        }
    }

    /**
     * Guards against a rollout stage that reaches more sessions than declared, or sessions that alternate between
     * versions.
     */
    @Test
    void shouldSendOnlyTheDeclaredShareOfNewSessionsToTheNewVersion() {
        final Rollout rollout = new Rollout("r", "small", "1", "2", List.of(0.1, 1.0), 1_000, Rollout.State.RUNNING);
        final ModelVersion newVersion = Fixtures.active(NEW_SMALL, 10, 0.99);
        final RoutingDocument documentWithRollout =
                Fixtures.document(List.of(Fixtures.active(SMALL, 10, 0.8), newVersion), rollout);
        final Organisation organisation = Fixtures.organisation(0.7, 0, "small/*");
        conditions.rolloutShare = 0.1;
        int newVersionSessions = 0;
        for (int index = 0; index < 10_000; index++) {
            final VersionRequest request = Fixtures.request(organisation, "s" + index, true, Optional.empty());
            final VersionPlan plan = selector.choose(documentWithRollout, request, conditions, Fixtures.random(index));
            assertThat(selector.choose(documentWithRollout, request, conditions, Fixtures.random(-index)))
                    .isEqualTo(plan);
            newVersionSessions += ((VersionPlan.Single) plan).version().equals(newVersion) ? 1 : 0;
        }
        assertThat(newVersionSessions).isIn(com.google.common.collect.Range.closed(900, 1_100));
    }

    private int countExplorations(VersionRequest request) {
        int count = 0;
        final var random = Fixtures.random(11);
        for (int index = 0; index < 10_000; index++) {
            final VersionPlan plan = selector.choose(document, request, conditions, random);
            count += plan instanceof VersionPlan.Single single && single.basis() == Basis.EXPLORATION ? 1 : 0;
        }
        return count;
    }

    private VersionPlan.Single singlePlan(double requiredQuality) {
        return (VersionPlan.Single)
                plan(Fixtures.request(Fixtures.organisation(requiredQuality, 0, "small/*", "large/1")));
    }

    private VersionPlan plan(VersionRequest request) {
        return selector.choose(document, request, conditions, Fixtures.random(5));
    }

    private Reason rejectionReason(RoutingDocument routingDocument, VersionRequest request) {
        return ((VersionPlan.Refused) selector.choose(routingDocument, request, conditions, Fixtures.random(5)))
                .reason();
    }

    private static VersionRequest request(
            String model, OptionalDouble quality, long timeLeftMillis, boolean idempotent) {
        return new VersionRequest(
                Fixtures.organisation(0.9, 0, "small/*", "large/*"),
                Fixtures.KIND,
                ModelSelector.parse(model),
                quality,
                idempotent,
                1_000,
                1_000,
                timeLeftMillis,
                "r",
                false,
                Optional.empty());
    }
}
