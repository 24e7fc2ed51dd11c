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

class VersionChoiceTest {
    private static final VersionName NEXT = new VersionName("small", "2");

    private final VersionSelector choice = new VersionSelector(CascadePolicy.DEFAULT);
    private final Fixtures.Conditions conditions = new Fixtures.Conditions();
    private final RoutingDocument document =
            Fixtures.document(List.of(Fixtures.active(SMALL, 10, 0.8), Fixtures.active(LARGE, 100, 0.95)));

    /** Guards against paying for a better version than the organisation needs, or against delivering a worse one. */
    @Test
    void shouldChooseTheCheapestThatMeetsTheNeed() {
        assertThat(single(0.7).version().name()).isEqualTo(SMALL);
        assertThat(single(0.9).version().name()).isEqualTo(LARGE);
        assertThat(single(0.9).meetsRequiredQuality()).isTrue();
    }

    /** Guards against refusing, or hiding the shortfall, when no version is good enough. */
    @Test
    void shouldMarkTheBestAsBelowTheNeed() {
        assertThat(single(0.99).version().name()).isEqualTo(LARGE);
        assertThat(single(0.99).meetsRequiredQuality()).isFalse();
    }

    /** Guards against a header that sets a quality outside the organisation's rights. */
    @Test
    void shouldClampTheQualityOfTheRequest() {
        assertThat(wish("auto", OptionalDouble.of(-3), 10_000, true).requiredQuality()).isEqualTo(0.0);
        assertThat(wish("auto", OptionalDouble.of(7), 10_000, true).requiredQuality()).isEqualTo(1.0);
        assertThat(wish("auto", OptionalDouble.of(Double.NaN), 10_000, true).requiredQuality())
                .isEqualTo(0.9);
        assertThat(wish("auto", OptionalDouble.of(0.5), 10_000, true).requiredQuality()).isEqualTo(0.5);
    }

    /** Guards against a caller being told the wrong reason, which it would act on. */
    @Test
    void shouldTellWhyItRefuses() {
        assertThat(refusal(document, wish("other", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_ALLOWED);
        assertThat(refusal(document, wish("large", OptionalDouble.empty(), 500, true)))
                .isEqualTo(Reason.NOTHING_IN_TIME);
        final RoutingDocument withdrawn = Fixtures.document(List.of(Fixtures.version(LARGE, 1, 0.9, State.WITHDRAWN)));
        assertThat(refusal(withdrawn, wish("auto", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_ACTIVE);
        conditions.stopped.add(LARGE);
        assertThat(refusal(document, wish("large/1", OptionalDouble.empty(), 10_000, true)))
                .isEqualTo(Reason.NOTHING_HEALTHY);
    }

    /** Guards against a cascade where a second run is forbidden, too late, too dear, or cannot be judged. */
    @Test
    void shouldCascadeOnlyWhenItIsAllowedAndPays() {
        conditions.acceptance = 0.8;
        assertThat(plan(wish("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Cascade.class);
        assertThat(plan(wish("auto", OptionalDouble.empty(), 10_000, false))).isInstanceOf(VersionPlan.Single.class);
        assertThat(plan(wish("auto", OptionalDouble.empty(), 2_100, true))).isInstanceOf(VersionPlan.Single.class);
        conditions.acceptance = 0.15;
        assertThat(plan(wish("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Single.class);
        conditions.acceptance = 0.8;
        conditions.rating = false;
        assertThat(plan(wish("auto", OptionalDouble.empty(), 10_000, true))).isInstanceOf(VersionPlan.Single.class);
    }

    /** Guards against a poor draft being delivered, and against an escalation that misses the deadline. */
    @Test
    void shouldEscalateOnlyForAGainThatIsStillInTime() {
        final VersionPlan.Cascade plan = new VersionPlan.Cascade(
                Fixtures.active(SMALL, 1, 0.5), Fixtures.active(LARGE, 9, 0.95), 0.9, 0.95, 1_000, true);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.92), 0)).isEqualTo(CascadeDecision.DELIVER);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.5), 2_000)).isEqualTo(CascadeDecision.ESCALATE);
        assertThat(CascadeDecision.of(plan, OptionalDouble.empty(), 2_000)).isEqualTo(CascadeDecision.ESCALATE);
        assertThat(CascadeDecision.of(plan, OptionalDouble.of(0.5), 900)).isEqualTo(CascadeDecision.DELIVER_BELOW_THRESHOLD);
    }

    /** Guards against exploration beyond the declared share, in sessions, or while nothing can be learnt. */
    @Test
    void shouldBoundExploration() {
        final Organisation curious = Fixtures.organisation(0.9, 0.05, "small/*", "large/*");
        assertThat(explorations(Fixtures.request(curious))).isIn(com.google.common.collect.Range.closed(420, 580));
        assertThat(explorations(Fixtures.request(curious, "s", true, Optional.empty())))
                .isEqualTo(0);
        conditions.rating = false;
        assertThat(explorations(Fixtures.request(curious))).isEqualTo(0);
    }

    /** Guards against a session that leaves a version which still takes work, though another is cheaper. */
    @Test
    void shouldKeepTheVersionOfASession() {
        final VersionRequest bound =
                Fixtures.request(Fixtures.organisation(0.1, 1, "small/*", "large/*"), "s", true, Optional.of(LARGE));
        final VersionPlan.Single kept = (VersionPlan.Single) plan(bound);
        assertThat(kept.version().name()).isEqualTo(LARGE);
        assertThat(kept.basis()).isEqualTo(Basis.SESSION);
    }

    /** Guards against a session that moves, or runs on a withdrawn version, against the document. */
    @Test
    void shouldEndTheHoldOfASessionAsTheDocumentSays() {
        final VersionRequest bound =
                Fixtures.request(Fixtures.organisation(0.1, 0, "small/*", "large/*"), "s", true, Optional.of(LARGE));
        for (final SessionEnd end : SessionEnd.values()) {
            final RoutingDocument withdrawn = Fixtures.document(
                    List.of(Fixtures.active(SMALL, 10, 0.8), Fixtures.version(LARGE, 100, 0.95, State.WITHDRAWN, end)));
            final VersionPlan plan = choice.choose(withdrawn, bound, conditions, Fixtures.random(1));
            if (end == SessionEnd.REFUSE) {
                assertThat(plan).isEqualTo(new VersionPlan.Refused(Reason.SESSION_ENDED));
            } else {
                assertThat(((VersionPlan.Single) plan).basis()).isEqualTo(Basis.SESSION_MOVED);
            }
        }
    }

    /** Guards against a stage that reaches more sessions than declared, or sessions that flip between versions. */
    @Test
    void shouldGiveTheNewVersionItsShareOfNewSessionsOnly() {
        final Rollout rollout = new Rollout("r", "small", "1", "2", List.of(0.1, 1.0), 1_000, Rollout.State.RUNNING);
        final ModelVersion next = Fixtures.active(NEXT, 10, 0.99);
        final RoutingDocument staged = Fixtures.document(List.of(Fixtures.active(SMALL, 10, 0.8), next), rollout);
        final Organisation organisation = Fixtures.organisation(0.7, 0, "small/*");
        conditions.share = 0.1;
        int reached = 0;
        for (int index = 0; index < 10_000; index++) {
            final VersionRequest request = Fixtures.request(organisation, "s" + index, true, Optional.empty());
            final VersionPlan plan = choice.choose(staged, request, conditions, Fixtures.random(index));
            assertThat(choice.choose(staged, request, conditions, Fixtures.random(-index)))
                    .isEqualTo(plan);
            reached += ((VersionPlan.Single) plan).version().equals(next) ? 1 : 0;
        }
        assertThat(reached).isIn(com.google.common.collect.Range.closed(900, 1_100));
    }

    private int explorations(VersionRequest request) {
        int count = 0;
        final var random = Fixtures.random(11);
        for (int index = 0; index < 10_000; index++) {
            final VersionPlan plan = choice.choose(document, request, conditions, random);
            count += plan instanceof VersionPlan.Single one && one.basis() == Basis.EXPLORATION ? 1 : 0;
        }
        return count;
    }

    private VersionPlan.Single single(double need) {
        return (VersionPlan.Single) plan(Fixtures.request(Fixtures.organisation(need, 0, "small/*", "large/1")));
    }

    private VersionPlan plan(VersionRequest request) {
        return choice.choose(document, request, conditions, Fixtures.random(5));
    }

    private Reason refusal(RoutingDocument from, VersionRequest request) {
        return ((VersionPlan.Refused) choice.choose(from, request, conditions, Fixtures.random(5))).reason();
    }

    private static VersionRequest wish(String model, OptionalDouble quality, long timeLeft, boolean idempotent) {
        return new VersionRequest(
                Fixtures.organisation(0.9, 0, "small/*", "large/*"),
                Fixtures.KIND,
                ModelSelector.parse(model),
                quality,
                idempotent,
                1_000,
                1_000,
                timeLeft,
                "r",
                false,
                Optional.empty());
    }
}
