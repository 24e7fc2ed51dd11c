package org.masticpaddle.claim;

import java.time.DateTimeException;
import java.time.OffsetDateTime;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;

import org.masticpaddle.wire.Hashing;

/**
 * Idempotency key of an organisation, with its creation time. Immutable and thread-safe.
 *
 * @param organisation organisation that sent the key
 * @param key the key, unique within the organisation
 * @param createdMillis time the key was created, in milliseconds since 1970
 */
public record IdempotencyKey(String organisation, String key, long createdMillis) {
    /**
     * Maximum time in milliseconds by which a creation time may lie in the future, as clocks of callers may be ahead.
     */
    public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

    private static final int MAX_KEY_CHARS = 255;

    /** Checks the arguments. */
    public IdempotencyKey {
        Objects.requireNonNull(organisation, "organisation is null");
        Objects.requireNonNull(key, "key is null");
    }

    /**
     * Parses the headers of a request. The timestamp in a UUID of version 7 takes precedence over the header, so that a
     * caller cannot extend the lifetime of such a key.
     *
     * @param organisation organisation that sent the request
     * @param key value of {@code Idempotency-Key}
     * @param created value of {@code Idempotency-Key-Created}, empty if the header is missing
     * @return the key, or the reason for its rejection; the age is not checked
     */
    public static KeyParseResult parse(String organisation, String key, Optional<String> created) {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS || key.chars().anyMatch(Character::isISOControl)) {
            return new KeyParseResult.Rejected(KeyRejection.MALFORMED_KEY);
        }
        final Optional<UUID> uuid = AttemptIdGenerator.parseVersion7(key);
        if (uuid.isPresent()) {
            return new KeyParseResult.Accepted(
                    new IdempotencyKey(organisation, key, AttemptIdGenerator.timestampMillis(uuid.get())));
        }
        if (created.isEmpty()) {
            return new KeyParseResult.Rejected(KeyRejection.MISSING_TIME);
        }
        try {
            final long millis = OffsetDateTime.parse(created.get()).toInstant().toEpochMilli();
            return new KeyParseResult.Accepted(new IdempotencyKey(organisation, key, millis));
        } catch (DateTimeException | ArithmeticException e) {
            return new KeyParseResult.Rejected(KeyRejection.MALFORMED_TIME);
        }
    }

    /**
     * Checks that the key is within its lifetime.
     *
     * @param nowMillis current time in milliseconds since 1970
     * @param lifetimeMillis key lifetime in milliseconds
     * @return the reason for a rejection, empty if the key may be used
     */
    public Optional<KeyRejection> checkAge(long nowMillis, long lifetimeMillis) {
        if (createdMillis <= nowMillis - lifetimeMillis) {
            return Optional.of(KeyRejection.TOO_OLD);
        }
        if (createdMillis > nowMillis + MAX_CLOCK_SKEW_MILLIS) {
            return Optional.of(KeyRejection.TOO_FAR_AHEAD);
        }
        return Optional.empty();
    }

    /**
     * Returns the partition for the claims of this key. It does not depend on the creation time.
     *
     * @param partitions number of partitions
     * @return number from 0 to {@code partitions - 1}
     */
    public int partition(int partitions) {
        return (int) Math.floorMod(Hashing.hash64(organisation + '\n' + key), (long) partitions);
    }
}
