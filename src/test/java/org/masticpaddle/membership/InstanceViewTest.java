package org.masticpaddle.membership;

import java.net.URI;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.masticpaddle.platform.Instance;
import org.masticpaddle.platform.InstanceChanges;
import org.masticpaddle.wire.LoadReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against new requests to instances that are listed as leaving, draining or rejecting, and against late messages
 * that overwrite newer ones.
 */
class InstanceViewTest {
    private static final long MAX_AGE_MILLIS = 30_000;

    private final InstanceView view = new InstanceView(MAX_AGE_MILLIS);

    @Property(tries = 500, seed = "20261204")
    void shouldNeverAcceptRequestsForALeavingOrDrainingMember(@ForAll("steps") List<Step> steps) {
        final InstanceView generatedView = new InstanceView(MAX_AGE_MILLIS);
        final Map<String, Long> highestDrainingIncarnation = new HashMap<>();
        final Map<String, Instance.State> states = new HashMap<>();
        long version = 0;
        for (final Step step : steps) {
            final String id = "i" + step.instance;
            if (step.state != null) {
                generatedView.apply(changes(++version, false, instance(id, step.state)), version);
                states.put(id, step.state);
            } else {
                generatedView.observe(id, new Observation.Reported(report(step.incarnation, step.draining)), version);
                if (step.draining && generatedView.find(id).isPresent()) {
                    highestDrainingIncarnation.merge(id, step.incarnation, Math::max);
                }
            }
            for (final Member member : generatedView.members()) {
                if (member.accepts()) {
                    assertThat(states.get(member.instance().id())).isEqualTo(Instance.State.LIVE);
                    assertThat(member.incarnation())
                            .isGreaterThan(highestDrainingIncarnation.getOrDefault(
                                    member.instance().id(), 0L));
                }
            }
        }
    }

    @Test
    void shouldResetLoadRejectionsAndFailuresOnANewIncarnation() {
        view.apply(changes(1, true, instance("a", Instance.State.LIVE)), 0);
        view.observe("a", new Observation.Reported(report(5, false)), 0);
        for (int index = 0; index < Member.MAX_FAILURES; index++) {
            view.observe("a", new Observation.Unreachable(), 0);
        }
        view.observe("a", new Observation.Rejected(5), 0);
        assertThat(member("a").accepts()).isFalse();
        view.observe("a", new Observation.Draining(6), 1);
        assertThat(member("a").failures()).isEqualTo(0);
        assertThat(member("a").load().isEmpty()).isTrue();
        view.observe("a", new Observation.Reported(report(5, false)), 2);
        assertThat(member("a").accepts()).isFalse();
        view.observe("a", new Observation.Reported(report(7, false)), 3);
        assertThat(member("a").accepts()).isTrue();
    }

    @Test
    void shouldNotClearARejectionByAReportSentBeforeIt() {
        view.apply(changes(1, true, instance("a", Instance.State.LIVE)), 0);
        view.observe("a", new Observation.Rejected(5), 100);
        view.observe("a", new Observation.Reported(report(5, false)), 110);
        assertThat(member("a").accepts()).isFalse();
        view.observe("a", new Observation.Reported(report(5, false)), 5000);
        assertThat(member("a").accepts()).isTrue();
    }

    @Test
    void shouldKeepAnUnlistedInstanceWhileItReports() {
        view.apply(changes(1, true, instance("a", Instance.State.LIVE)), 0);
        view.observe("a", new Observation.Reported(report(5, false)), 10);
        view.apply(changes(2, true), 20);
        assertThat(member("a").accepts()).isTrue();
        view.observe("a", new Observation.Reported(report(5, false)), MAX_AGE_MILLIS);
        view.expire(MAX_AGE_MILLIS + 100);
        assertThat(member("a").accepts()).isTrue();
        view.expire(2 * MAX_AGE_MILLIS + 100);
        assertThat(view.find("a").isPresent()).isFalse();
    }

    @Test
    void shouldIgnoreOutdatedListChanges() {
        view.apply(changes(5, true, instance("a", Instance.State.LEAVING)), 0);
        assertThat(view.apply(changes(4, false, instance("a", Instance.State.LIVE)), 1))
                .isFalse();
        assertThat(member("a").eligible()).isFalse();
    }

    @Test
    void shouldNotAcceptRequestsOnAnExpiredReport() {
        view.apply(changes(1, true, instance("a", Instance.State.LIVE)), 0);
        view.observe("a", new Observation.Reported(report(5, false)), 0);
        view.expire(MAX_AGE_MILLIS + 1);
        assertThat(member("a").accepts()).isFalse();
        assertThat(member("a").eligible()).isTrue();
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        final Arbitrary<Instance.State> states =
                Arbitraries.of(Instance.State.class).injectNull(0.6);
        return Combinators.combine(
                        Arbitraries.integers().between(0, 2),
                        states,
                        Arbitraries.longs().between(1, 4),
                        Arbitraries.of(true, false))
                .as(Step::new)
                .list()
                .ofMaxSize(40);
    }

    private Member member(String id) {
        return view.find(id).orElseThrow();
    }

    private static InstanceChanges changes(long version, boolean complete, Instance... instances) {
        return new InstanceChanges(version, complete, List.of(instances));
    }

    private static Instance instance(String id, Instance.State state) {
        return new Instance(id, "llm", "r", "d", URI.create("http://127.0.0.1:1"), state);
    }

    private static LoadReport report(long incarnation, boolean draining) {
        return new LoadReport(incarnation, draining, true, 0, 0, 8, List.of(), 0);
    }

    record Step(int instance, Instance.State state, long incarnation, boolean draining) {}
}
