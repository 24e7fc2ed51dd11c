package org.masticpaddle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.Route;

import static com.google.common.truth.Truth.assertThat;

/** Guards against relaying what is no answer to the request, and against calling work "not run" that may have run. */
class AnswerVerdictTest {
    private static final Route LOOKUP = route(RequestKind.IDEMPOTENT);
    private static final Route BOOKING = route(RequestKind.NON_IDEMPOTENT);

    @Test
    void shouldRelayASignedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, true)).isEqualTo(AnswerVerdict.RELAY);
    }

    @Test
    void shouldNotRelayAnAnswerToAnotherRequest() {
        assertThat(verdict(BOOKING, 200, "other", false, true)).isEqualTo(AnswerVerdict.SPOILT);
    }

    @Test
    void shouldNotRelayAnUnsignedOrEncodedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, false)).isEqualTo(AnswerVerdict.SPOILT);
        assertThat(AnswerVerdict.of(LOOKUP, "id", 200, true, facts("id", false, true)))
                .isEqualTo(AnswerVerdict.SPOILT);
    }

    @Test
    void shouldBelieveOnlyAStatementThatTheRequestWasNotRun() {
        assertThat(verdict(BOOKING, 503, "id", true, false)).isEqualTo(AnswerVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 421, "id", false, false)).isEqualTo(AnswerVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 503, "id", false, true)).isEqualTo(AnswerVerdict.FAILED);
        assertThat(verdict(BOOKING, 429, "id", false, true)).isEqualTo(AnswerVerdict.FAILED);
    }

    @Test
    void shouldRelayAFailureOfWorkThatMustNotBeRepeated() {
        assertThat(verdict(BOOKING, 500, "id", false, true)).isEqualTo(AnswerVerdict.RELAY);
        assertThat(verdict(LOOKUP, 500, "id", false, true)).isEqualTo(AnswerVerdict.FAILED);
    }

    static Route route(RequestKind kind) {
        return new Route(
                "r", "h", "/", kind, false, 1_000, 500, 0, 1, true, 2, List.of(new Route.Target("s", 1)), List.of());
    }

    private static AnswerVerdict verdict(Route route, int status, String id, boolean notRun, boolean signed) {
        return AnswerVerdict.of(route, "id", status, false, facts(id, notRun, signed));
    }

    private static AnswerFacts facts(String id, boolean notRun, boolean signed) {
        return new AnswerFacts(
                Optional.of(id), notRun, signed, Optional.empty(), OptionalInt.empty(), OptionalLong.empty());
    }
}
