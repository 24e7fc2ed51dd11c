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
class ResponseVerdictTest {
    private static final Route LOOKUP = route(RequestKind.IDEMPOTENT);
    private static final Route BOOKING = route(RequestKind.NON_IDEMPOTENT);

    @Test
    void shouldRelayASignedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, true)).isEqualTo(ResponseVerdict.RELAY);
    }

    @Test
    void shouldNotRelayAnAnswerToAnotherRequest() {
        assertThat(verdict(BOOKING, 200, "other", false, true)).isEqualTo(ResponseVerdict.SPOILT);
    }

    @Test
    void shouldNotRelayAnUnsignedOrEncodedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, false)).isEqualTo(ResponseVerdict.SPOILT);
        assertThat(ResponseVerdict.of(LOOKUP, "id", 200, true, facts("id", false, true)))
                .isEqualTo(ResponseVerdict.SPOILT);
    }

    @Test
    void shouldBelieveOnlyAStatementThatTheRequestWasNotRun() {
        assertThat(verdict(BOOKING, 503, "id", true, false)).isEqualTo(ResponseVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 421, "id", false, false)).isEqualTo(ResponseVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 503, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
        assertThat(verdict(BOOKING, 429, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
    }

    @Test
    void shouldRelayAFailureOfWorkThatMustNotBeRepeated() {
        assertThat(verdict(BOOKING, 500, "id", false, true)).isEqualTo(ResponseVerdict.RELAY);
        assertThat(verdict(LOOKUP, 500, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
    }

    static Route route(RequestKind kind) {
        return new Route(
                "r", "h", "/", kind, false, 1_000, 500, 0, 1, true, 2, List.of(new Route.Target("s", 1)), List.of());
    }

    private static ResponseVerdict verdict(Route route, int status, String id, boolean notRun, boolean signed) {
        return ResponseVerdict.of(route, "id", status, false, facts(id, notRun, signed));
    }

    private static ResponseMetadata facts(String id, boolean notRun, boolean signed) {
        return new ResponseMetadata(
                Optional.of(id), notRun, signed, Optional.empty(), OptionalInt.empty(), OptionalLong.empty());
    }
}
