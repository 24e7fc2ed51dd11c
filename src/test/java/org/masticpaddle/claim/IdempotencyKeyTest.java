package org.masticpaddle.claim;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against accepting keys whose age is unknown or out of range, whose claims the log may no longer retain. */
class IdempotencyKeyTest {
    private static final long NOW_MILLIS = 1_700_000_000_000L;
    private static final Optional<String> NO_HEADER = Optional.empty();

    @Test
    void shouldPreferTheTimeOfAUuidToTheHeader() {
        final String uuid = new AttemptIdGenerator(() -> NOW_MILLIS, () -> -1L).get();
        assertThat(IdempotencyKey.parse("o", uuid, Optional.of("2001-01-01T00:00:00Z")))
                .isEqualTo(new KeyParseResult.Accepted(new IdempotencyKey("o", uuid, NOW_MILLIS)));
        assertThat(AttemptIdGenerator.createdMillis(uuid)).hasValue(NOW_MILLIS);
        assertThat(AttemptIdGenerator.createdMillis("not a uuid")).isEmpty();
    }

    @Test
    void shouldTakeTheTimeOfTheHeader() {
        assertThat(IdempotencyKey.parse("o", "k", Optional.of("2023-11-14T23:13:20.5+01:00")))
                .isEqualTo(new KeyParseResult.Accepted(new IdempotencyKey("o", "k", NOW_MILLIS + 500)));
    }

    @Test
    void shouldReportTheReasonOfARejection() {
        final String version4 = "7d444840-9dc0-41d1-b245-5ffdce74fad2";
        assertThat(parseRejection("", NO_HEADER)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(parseRejection("a\nb", NO_HEADER)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(parseRejection("k".repeat(256), NO_HEADER)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(parseRejection(version4, NO_HEADER)).isEqualTo(KeyRejection.MISSING_TIME);
        assertThat(parseRejection("k", Optional.of("yesterday"))).isEqualTo(KeyRejection.MALFORMED_TIME);
        assertThat(parseRejection("k", Optional.of("+999999999-01-01T00:00:00Z")))
                .isEqualTo(KeyRejection.MALFORMED_TIME);
    }

    @Test
    void shouldRejectAKeyOutsideItsLifetime() {
        final IdempotencyKey key = new IdempotencyKey("o", "k", NOW_MILLIS);
        assertThat(key.checkAge(NOW_MILLIS + 99, 100)).isEmpty();
        assertThat(key.checkAge(NOW_MILLIS + 100, 100)).hasValue(KeyRejection.TOO_OLD);
        assertThat(key.checkAge(NOW_MILLIS - 60_000, 100)).isEmpty();
        assertThat(key.checkAge(NOW_MILLIS - 60_001, 100)).hasValue(KeyRejection.TOO_FAR_AHEAD);
    }

    private static KeyRejection parseRejection(String key, Optional<String> created) {
        return ((KeyParseResult.Rejected) IdempotencyKey.parse("o", key, created)).reason();
    }
}
