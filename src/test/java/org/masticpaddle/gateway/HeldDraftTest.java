package org.masticpaddle.gateway;

import java.util.List;
import java.util.function.Consumer;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticpaddle.routing.EscalationPolicy;

import static com.google.common.truth.Truth.assertThat;
import static org.masticpaddle.gateway.EscalatedExchange.LARGE;
import static org.masticpaddle.gateway.EscalatedExchange.SMALL;

/** Guards against callers that get an error, since they were to get a better answer than the draft that an upstream had made. */
class HeldDraftTest {
    private static final int EVENTS = 3;
    private static final String DRAFT = whole(SMALL);

    /** All interleavings of the events of both attempts, the caller and the time. */
    @Property(tries = 20_000)
    void shouldGiveOneWholeAnswerOfOneModelWhateverHappens(@ForAll @Size(max = 25) List<Step> steps) {
        final EscalatedExchange exchange = escalated();
        boolean draftWhole = false;
        boolean left = false;
        for (final Step step : steps) {
            left |= step == Step.CALLER_LEAVES;
            step.action.accept(exchange);
            draftWhole |=
                    exchange.answers.get(0).whole() && exchange.answers.get(0).events() >= 1;
        }
        final boolean largeBegan =
                exchange.answers.stream().anyMatch(each -> each.model.equals(LARGE) && each.events() > 0);
        exchange.scheduler.advance(2 * EscalatedExchange.TIMEOUT_MILLIS);
        final String text = exchange.caller.text();
        final String marked = text.replace("\n", "");
        assertThat(marked).doesNotContainMatch("data:small.*data:large|data:large.*data:small");
        assertThat(text).doesNotContain("answer 503");
        assertThat(text.split("end;|cut;|answer \\d+;", -1).length - 1).isAtMost(1);
        if (!left) {
            assertThat(marked).containsMatch("(end|cut|answer \\d+);$");
            if (draftWhole && !largeBegan) {
                assertThat(text).startsWith("begin 200;");
                assertThat(text).contains(EscalatedExchange.text(SMALL, 1));
                assertThat(text).endsWith("end;");
            }
        }
        exchange.answers.forEach(each -> assertThat(each.ended()).isTrue());
        exchange.state
                .registry()
                .members("s")
                .forEach(each -> assertThat(each.inFlight()).isEqualTo(0));
        assertThat(exchange.memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void shouldDeliverTheAnswerOfTheLargestModel() {
        final EscalatedExchange exchange = escalated();
        answer(exchange, SMALL);
        exchange.answer(LARGE).orElseThrow().begin(90);
        answer(exchange, LARGE);
        assertThat(exchange.caller.text()).isEqualTo(whole(LARGE));
        assertThat(exchange.counters.value(GatewayCounters.Counter.DRAFTS_RECOVERED))
                .isEqualTo(0);
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"LARGE_IS_FULL", "LARGE_FAILS", "LARGE_IS_LOST", "LARGE_REJECTS", "LARGE_ENDS_AT_ONCE"})
    void shouldDeliverTheDraftIfTheLargestModelGivesNoAnswer(Step step) {
        final EscalatedExchange exchange = escalated();
        answer(exchange, SMALL);
        assertThat(exchange.caller.text()).isEmpty();
        step.action.accept(exchange);
        assertThat(exchange.caller.text()).isEqualTo(DRAFT);
        assertThat(exchange.counters.value(GatewayCounters.Counter.DRAFTS_RECOVERED))
                .isEqualTo(1);
    }

    @ParameterizedTest
    @EnumSource(
            value = Step.class,
            names = {"LARGE_IS_FULL", "LARGE_FAILS", "LARGE_IS_LOST"})
    void shouldRelayADraftThatGoesOn(Step step) {
        final EscalatedExchange exchange = escalated();
        exchange.answers.get(0).event();
        step.action.accept(exchange);
        assertThat(exchange.caller.text()).isEqualTo("begin 200;" + EscalatedExchange.text(SMALL, 1) + ";");
        exchange.answers.get(0).event();
        exchange.answers.get(0).end();
        assertThat(exchange.caller.text()).endsWith(EscalatedExchange.text(SMALL, 2) + ";end;");
    }

    /** The upstream of the largest model accepts the request and is silent. */
    @Test
    void shouldDeliverTheDraftBeforeTheDeadlineIfTheLargestModelIsSilent() {
        final EscalatedExchange exchange = escalated();
        answer(exchange, SMALL);
        exchange.scheduler.advance(EscalatedExchange.TIMEOUT_MILLIS - 240);
        assertThat(exchange.caller.text()).isEqualTo(DRAFT);
    }

    @Test
    void shouldDeliverTheDraftIfTheFailureDomainOfTheLargestModelIsEvacuatedMeanwhile() {
        final EscalatedExchange exchange = escalated();
        answer(exchange, SMALL);
        List.of("a", "b").forEach(domain -> exchange.state.registry().evacuate(domain, 1));
        exchange.scheduler.advance(100);
        assertThat(exchange.caller.text()).isEqualTo(DRAFT);
    }

    @Test
    void shouldDeliverADraftThatIsWholeWhenTheGatewayStops() {
        final EscalatedExchange exchange = escalated();
        answer(exchange, SMALL);
        exchange.forwarder.stop();
        assertThat(exchange.caller.text()).isEqualTo(DRAFT);
    }

    @Test
    void shouldEndBothAttemptsIfTheCallerLeaves() {
        final EscalatedExchange exchange = escalated();
        exchange.answers.get(0).event();
        exchange.caller.disconnect();
        exchange.answers.forEach(each -> assertThat(each.ended()).isTrue());
        assertThat(exchange.memory.heldBytes()).isEqualTo(0);
    }

    @Test
    void shouldGoOnWithTheLargestModelIfTheDraftIsLost() {
        final EscalatedExchange exchange = escalated();
        exchange.answers.get(0).event();
        exchange.answers.get(0).lose();
        exchange.answer(LARGE).orElseThrow().begin(90);
        answer(exchange, LARGE);
        assertThat(exchange.caller.text()).isEqualTo(whole(LARGE));
    }

    /** Both models would run a request that may run only once. */
    @Test
    void shouldNotHoldTheDraftOfARequestThatMayRunOnlyOnce() {
        final EscalatedExchange exchange = new EscalatedExchange(EscalationPolicy.BY_VALUE, false);
        exchange.answers.get(0).begin(10);
        assertThat(exchange.answers.get(0).ended()).isTrue();
    }

    /** Returns an exchange whose draft is doubtful and held. */
    private static EscalatedExchange escalated() {
        final EscalatedExchange exchange = new EscalatedExchange(EscalationPolicy.BY_VALUE, true);
        exchange.scheduler.advance(1);
        exchange.answers.get(0).begin(10);
        assertThat(exchange.answer(LARGE)).isPresent();
        assertThat(exchange.answers.get(0).ended()).isFalse();
        return exchange;
    }

    private static void answer(EscalatedExchange exchange, String model) {
        for (int event = 0; event < EVENTS; event++) {
            exchange.answer(model).orElseThrow().event();
        }
        exchange.answer(model).orElseThrow().end();
    }

    private static String whole(String model) {
        final StringBuilder text = new StringBuilder("begin 200;");
        for (int event = 1; event <= EVENTS; event++) {
            text.append(EscalatedExchange.text(model, event)).append(model.equals(LARGE) ? ";" : "");
        }
        return text.append(model.equals(LARGE) ? "" : ";").append("end;").toString();
    }

    /** What may happen while a draft is held. */
    enum Step {
        DRAFT_EVENT(exchange -> exchange.answers.get(0).event()),
        DRAFT_ENDS(exchange -> exchange.answers.get(0).end()),
        DRAFT_IS_LOST(exchange -> exchange.answers.get(0).lose()),
        LARGE_BEGINS(exchange -> exchange.answer(LARGE).orElseThrow().begin(90)),
        LARGE_EVENT(exchange -> exchange.answer(LARGE).orElseThrow().event()),
        LARGE_ENDS(exchange -> exchange.answer(LARGE).orElseThrow().end()),
        LARGE_ENDS_AT_ONCE(exchange -> {
            exchange.answer(LARGE).orElseThrow().begin(90);
            exchange.answer(LARGE).orElseThrow().end();
        }),
        LARGE_IS_FULL(exchange -> exchange.answer(LARGE).orElseThrow().refuse(503, true)),
        LARGE_FAILS(exchange -> exchange.answer(LARGE).orElseThrow().refuse(500, false)),
        LARGE_REJECTS(exchange -> exchange.answer(LARGE).orElseThrow().refuse(400, false)),
        LARGE_IS_LOST(exchange -> exchange.answer(LARGE).orElseThrow().lose()),
        CALLER_LEAVES(exchange -> exchange.caller.disconnect()),
        TIME_PASSES(exchange -> exchange.scheduler.advance(300));

        private final Consumer<EscalatedExchange> action;

        Step(Consumer<EscalatedExchange> action) {
            this.action = action;
        }
    }
}
