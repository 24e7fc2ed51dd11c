package org.masticpaddle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;
import org.masticpaddle.fleet.SelfReport;
import org.masticpaddle.routes.RequestKind;
import org.masticpaddle.routes.Route;

import static com.google.common.truth.Truth.assertThat;

/** Guards against relaying a response to another request, and against reporting a request as not run that may have run. */
class ResponseVerdictTest {
    private static final Route LOOKUP = route(RequestKind.IDEMPOTENT);
    private static final Route BOOKING = route(RequestKind.NON_IDEMPOTENT);

    @Test
    void shouldRelaySignedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, true)).isEqualTo(ResponseVerdict.RELAY);
    }

    @Test
    void shouldNotRelayResponseToAnotherRequest() {
        assertThat(verdict(BOOKING, 200, "other", false, true)).isEqualTo(ResponseVerdict.SPOILT);
    }

    @Test
    void shouldNotBelieveResponseWithoutIdentifierOnKeptConnection() {
        final ResponseMetadata success =
                new ResponseMetadata(Optional.empty(), false, true, OptionalInt.empty(), SelfReport.NONE);
        final ResponseMetadata refusal =
                new ResponseMetadata(Optional.empty(), true, false, OptionalInt.empty(), SelfReport.NONE);
        assertThat(ResponseVerdict.classify(LOOKUP, "id", 200, false, success, true))
                .isEqualTo(ResponseVerdict.SPOILT);
        assertThat(ResponseVerdict.classify(LOOKUP, "id", 503, false, refusal, true))
                .isEqualTo(ResponseVerdict.SPOILT);
        assertThat(ResponseVerdict.classify(LOOKUP, "id", 200, false, success, false))
                .isEqualTo(ResponseVerdict.RELAY);
        assertThat(ResponseVerdict.classify(BOOKING, "id", 503, false, refusal, false))
                .isEqualTo(ResponseVerdict.NOT_RUN);
    }

    @Test
    void shouldNotRelayUnsignedOrEncodedSuccess() {
        assertThat(verdict(LOOKUP, 200, "id", false, false)).isEqualTo(ResponseVerdict.SPOILT);
        assertThat(ResponseVerdict.classify(LOOKUP, "id", 200, true, metadata("id", false, true), true))
                .isEqualTo(ResponseVerdict.SPOILT);
    }

    @Test
    void shouldTreatFailureAsNotRunOnlyIfStated() {
        assertThat(verdict(BOOKING, 503, "id", true, false)).isEqualTo(ResponseVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 421, "id", false, false)).isEqualTo(ResponseVerdict.NOT_RUN);
        assertThat(verdict(BOOKING, 503, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
        assertThat(verdict(BOOKING, 429, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
    }

    @Test
    void shouldRelayFailureOfNonIdempotentRequest() {
        assertThat(verdict(BOOKING, 500, "id", false, true)).isEqualTo(ResponseVerdict.RELAY);
        assertThat(verdict(LOOKUP, 500, "id", false, true)).isEqualTo(ResponseVerdict.FAILED);
    }

    static Route route(RequestKind kind) {
        return new Route(
                "r", "h", "/", kind, false, 1_000, 500, 0, 1, true, 2, List.of(new Route.Target("s", 1)), List.of());
    }

    private static ResponseVerdict verdict(Route route, int status, String id, boolean notRun, boolean signed) {
        return ResponseVerdict.classify(route, "id", status, false, metadata(id, notRun, signed), true);
    }

    private static ResponseMetadata metadata(String id, boolean notRun, boolean signed) {
        return new ResponseMetadata(Optional.of(id), notRun, signed, OptionalInt.empty(), SelfReport.NONE);
    }
}
