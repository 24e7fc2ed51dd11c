package org.masticpaddle.claim;

import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Guards against keys whose age is unknown or wrong, which the log could no longer protect. */
class IdempotencyKeyTest {
    private static final long NOW = 1_700_000_000_000L;
    private static final Optional<String> NONE = Optional.empty();

    @Test
    void shouldTakeTheTimeOfAUuidBeforeTheHeader() {
        final String uuid = new AttemptIdGenerator(() -> NOW, () -> -1L).get();
        assertThat(IdempotencyKey.parse("o", uuid, Optional.of("2001-01-01T00:00:00Z")))
                .isEqualTo(new KeyParseResult.Accepted(new IdempotencyKey("o", uuid, NOW)));
        assertThat(AttemptIdGenerator.createdMillis(uuid)).hasValue(NOW);
        assertThat(AttemptIdGenerator.createdMillis("not a uuid")).isEmpty();
    }

    @Test
    void shouldTakeTheTimeOfTheHeader() {
        assertThat(IdempotencyKey.parse("o", "k", Optional.of("2023-11-14T23:13:20.5+01:00")))
                .isEqualTo(new KeyParseResult.Accepted(new IdempotencyKey("o", "k", NOW + 500)));
    }

    @Test
    void shouldNameWhatIsWrong() {
        final String version4 = "7d444840-9dc0-41d1-b245-5ffdce74fad2";
        assertThat(refusal("", NONE)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(refusal("a\nb", NONE)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(refusal("k".repeat(256), NONE)).isEqualTo(KeyRejection.MALFORMED_KEY);
        assertThat(refusal(version4, NONE)).isEqualTo(KeyRejection.MISSING_TIME);
        assertThat(refusal("k", Optional.of("yesterday"))).isEqualTo(KeyRejection.MALFORMED_TIME);
        assertThat(refusal("k", Optional.of("+999999999-01-01T00:00:00Z"))).isEqualTo(KeyRejection.MALFORMED_TIME);
    }

    @Test
    void shouldRefuseAKeyOutsideItsLifetime() {
        final IdempotencyKey key = new IdempotencyKey("o", "k", NOW);
        assertThat(key.refusal(NOW + 99, 100)).isEmpty();
        assertThat(key.refusal(NOW + 100, 100)).hasValue(KeyRejection.TOO_OLD);
        assertThat(key.refusal(NOW - 60_000, 100)).isEmpty();
        assertThat(key.refusal(NOW - 60_001, 100)).hasValue(KeyRejection.TOO_FAR_AHEAD);
    }

    private static KeyRejection refusal(String key, Optional<String> created) {
        return ((KeyParseResult.Rejected) IdempotencyKey.parse("o", key, created)).reason();
    }
}
